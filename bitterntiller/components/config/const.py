"""Keys of a configuration document, and labels with a defined meaning."""

CONF_SERVICES = "services"
CONF_TIERS = "tiers"
CONF_WORKSPACES = "workspaces"
CONF_LABELS = "labels"
CONF_SELECTOR = "selector"
CONF_MATCH = "match"
CONF_EXCLUDE = "exclude"
CONF_KIND = "kind"
CONF_PATHS = "paths"
CONF_IDEMPOTENT_PATHS = "idempotent_paths"
CONF_RANK = "rank"
CONF_DEADLINE_MS = "deadline_ms"
CONF_TOKEN_SHA256 = "token_sha256"
CONF_TIER = "tier"

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"
KINDS = (KIND_ENGINE, KIND_PLAIN)

LABEL_SHARE = "share"
LABEL_CONCURRENCY = "concurrency"
LABEL_RATE = "rate"
LABEL_ORDER_SECONDS = "order_seconds"
LABEL_ORDER_LOADS_AT_ONCE = "order_loads_at_once"

MAX_RANK = 1000
MAX_DEADLINE_MS = 24 * 3600 * 1000
