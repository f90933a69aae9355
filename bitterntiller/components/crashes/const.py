"""Constants of the crashes part: bounds, times in seconds and names of metrics."""

QUARANTINE_THRESHOLD = 3
"""Upstreams that end under a request before it is kept from all others."""

FIRST_QUARANTINE_SECONDS = 5.0
"""How long it is kept from upstreams first. Then one copy may run: a request that was
on three upstreams that ended by themselves is served soon after."""

QUARANTINE_SECONDS = 120.0
"""Its quarantine from the next crash on; each further one doubles the time."""

MAX_QUARANTINE_SECONDS = 3600.0
RETENTION_SECONDS = 2 * MAX_QUARANTINE_SECONDS
"""How long a crash is remembered."""

MAX_REQUESTS = 4096
"""Requests that are remembered; the one that has crashed the fewest goes first."""

PROBE_INTERVAL = 0.25
"""Between two refused connections that show that an upstream has ended. One alone may
come of a listening queue that was full for a moment."""

PROBE_TIMEOUT = 0.5
REPORT_TIMEOUT = 1.0
REPORT_RETRY_DELAY = 0.3
SYNC_PERIOD = 10.0
"""Between two exchanges with an owner when there is nothing to tell it."""

OWNER_CHECK_PERIOD = 1.0
"""Between two looks whether a pool has another owner."""

MIN_SAVE_INTERVAL = 0.2
SAVE_RETRY_DELAY = 2.0

FINGERPRINT_BYTES = 8
MAX_KEY_BYTES = 64

METRIC_CRASHES = "crashes.upstream_crashes"
METRIC_QUARANTINED = "crashes.requests_quarantined"
METRIC_CLEARED = "crashes.requests_cleared"
