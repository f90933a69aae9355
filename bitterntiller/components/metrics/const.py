"""Names of the metrics, and bounds on what is kept of them.

A name ends with the parts that its comment gives, in that order, joined by
dots; metric_name() joins them.
"""

DEFAULT_PREFIX = "bitterntiller"
FLUSH_PERIOD = 1.0
MAX_DATAGRAM_BYTES = 1400
MAX_NAMES = 5000
MAX_UNSENT_TIMINGS = 10000

# Requests.
METRIC_REQUESTS = "requests"  # service, tier, outcome
METRIC_REFUSALS = "refusals"  # tier, reason
METRIC_SHEDS = "sheds"  # tier, reason
METRIC_QUEUE_WAIT = "queue_wait"  # service, tier; timer
METRIC_FIRST_TOKEN = "first_token"  # service, tier; timer
METRIC_DURATION = "duration"  # service, tier; timer
METRIC_TOKENS = "tokens"  # service, tier
METRIC_GOODPUT = "goodput"  # service, tier
METRIC_WASTED_PREFILL = "wasted_prefill"  # service, tier
METRIC_RESUMES = "resumes"  # service, result: mended or failed
METRIC_CUT_STREAMS = "cut_streams"  # service
METRIC_DROPPED_ANSWERS = "dropped_answers"  # service
METRIC_CANCELS = "cancels"  # service
METRIC_CLAIMS = "claims"  # status

# What comes in at the ports.
METRIC_WRONG_KEYS = "wrong_keys"  # port: caller, internal, operator or upstream
METRIC_BAD_INPUT = "bad_input"  # port
METRIC_ANNOUNCEMENTS = "announcements"  # status
METRIC_CONNECTIONS = "connections"  # gauge
METRIC_WAITING_BYTES = "waiting_bytes"  # gauge

# The node and control.
METRIC_LEASE_VALID = "lease_valid"  # gauge, 0 or 1
METRIC_LEASE_LOSSES = "lease_losses"
METRIC_CONFIG_VERSION = "config_version"  # gauge
METRIC_LINK_ERRORS = "link_errors"
METRIC_OWNED_POOLS = "owned_pools"  # gauge
METRIC_ELECTIONS = "elections"
METRIC_FURTHER_LOSSES = "further_losses"  # gauge, on the leader
METRIC_ORDERS = "orders"  # status

# The metrics themselves.
METRIC_DROPPED_METRICS = "dropped_metrics"
