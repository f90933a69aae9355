"""Names and bounds of the rollouts part."""

LABEL_VERSION = "version"
"""Label of an upstream with the version of its software."""

STATE_READY = "ready"
"""What a registered upstream says that takes requests."""

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
"""For how long after an order the same order counts as its repetition.

Later, the order of a version that was reverted starts another rollout.
"""

MAX_SERVICES = 1024
"""Services whose last rollout is kept."""

MAX_CELLS = 20_000
"""Cells of evidence that one rollout may keep in the log's state."""

EVALUATION_PERIOD = 0.1
IDLE_PERIOD = 0.5
"""Seconds between two looks of the leader at rollouts under way, and without any."""

REPORT_PERIOD = 0.25
"""Seconds between two reports of an owner on a rollout under way."""

REPORT_TIMEOUT = 0.8
MAX_ALLOWED = 64
"""Requests that an owner asks to send to the new version at once, at most."""

ALLOWANCE_SECONDS = 1.0
"""How long an allowance may be used, counted from the sending of the report for it.

An owner without contact to control sends nothing more to the new version after that.
"""

OLD_RUNNING_MAX_AGE = 1.0
"""An owner's count of what runs on the old version holds for so long."""

CANARY_UPSTREAMS = 4
"""Upstreams of the new version that are judged; others get what has no room there."""

METRIC_ORDERS = "rollouts.orders"
METRIC_VERDICTS = "rollouts.verdicts"
METRIC_EXPOSED = "rollouts.exposed"
"""Counters: orders by status, verdicts by phase, requests sent to a new version."""
