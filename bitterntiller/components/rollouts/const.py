"""Constants of rollouts."""

LABEL_VERSION = "version"
"""Label of an upstream that holds its software version."""

STATE_READY = "ready"
"""State announced by an upstream that accepts requests."""

STATUS_ACCEPTED = "accepted"
STATUS_CONFLICT = "conflict"
STATUS_INVALID = "invalid"
STATUS_OK = "ok"
STATUS_ABSENT = "absent"
STATUS_NOT_LEADER = "not-leader"
STATUS_UNKNOWN = "unknown"

MAX_VERSION_LENGTH = 200
MIN_SECONDS = 1.0
MAX_SECONDS = 86_400.0
"""Bounds of a rollout's time limit."""

DUPLICATE_ORDER_SECONDS = 10.0
"""Time after an order in which the same order counts as a duplicate of it.

After that, an order of a reverted version starts another rollout.
"""

MAX_SERVICES = 1024
"""Maximum number of services whose last rollout is kept."""

MAX_CELLS = 20_000
"""Maximum number of evidence cells per rollout and owner in the replicated state."""

EVALUATION_PERIOD = 0.1
IDLE_PERIOD = 0.5
"""Seconds between two evaluations by the leader, with and without active rollouts."""

REPORT_PERIOD = 0.25
"""Seconds between two reports of an owner on an active rollout."""

REPORT_TIMEOUT = 0.8
MAX_ALLOWED = 64
"""Maximum number of requests in the allowance of one owner."""

ALLOWANCE_SECONDS = 1.0
"""Validity of an allowance, counted from when the report that renewed it was sent.

After that, an owner that can't reach control stops sending to the candidate version.
"""

OLD_RUNNING_MAX_AGE = 1.0
"""Maximum age of an owner's count of the requests that run on the old version."""

CANARY_UPSTREAMS = 4
"""Number of upstreams on which the candidate version is evaluated; its other upstreams
get only the requests for which these have no capacity."""

METRIC_ORDERS = "rollouts.orders"
METRIC_VERDICTS = "rollouts.verdicts"
METRIC_EXPOSED = "rollouts.exposed"
"""Counters: orders by status, verdicts by phase, requests sent to the candidate."""
