"""Keys of a settings file, and its fixed and default values."""

CONF_HOST = "host"
CONF_ZONE = "zone"
CONF_REGION = "region"
CONF_ROLES = "roles"
CONF_LISTEN = "listen"
CONF_CALLER = "caller"
CONF_INTERNAL = "internal"
CONF_ADVERTISED = "advertised"
CONF_METRICS = "metrics"
CONF_OPERATOR = "operator"
CONF_UPSTREAM = "upstream"
CONF_KEYS = "keys"
CONF_CONTROL = "control"
CONF_ADDRESSES = "addresses"
CONF_BOOTSTRAP = "bootstrap"
CONF_SNAPSHOT_ENTRIES = "snapshot_entries"
CONF_DATA_FOLDER = "data_folder"
CONF_STATSD = "statsd"
CONF_LIMITS = "limits"
CONF_TIMINGS = "timings"
CONF_LOG_LEVEL = "log_level"
CONF_DISPATCH = "dispatch"
CONF_UNEVEN_UPSTREAMS = "uneven_upstreams"

CONF_RESERVED_FRACTION = "reserved_fraction"

ROLE_ENTRY = "entry"
ROLE_DISPATCH = "dispatch"
ROLE_CONTROL = "control"
ROLES = (ROLE_ENTRY, ROLE_DISPATCH, ROLE_CONTROL)

LOG_LEVELS = ("debug", "info", "warning", "error")
DEFAULT_LOG_LEVEL = "info"
UNEVEN_UPSTREAMS = ("off", "stated", "on")
DEFAULT_UNEVEN_UPSTREAMS = "off"
DEFAULT_REGION = "main"
DEFAULT_SNAPSHOT_ENTRIES = 10000

UNSPECIFIED_IP = "0.0.0.0"
