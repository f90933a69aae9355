"""Constants of the dispatch component."""

KIND_ENGINE = "engine"
KIND_PLAIN = "plain"

ORDER_FIFO = "fifo"
ORDER_EARLIEST_DEADLINE = "earliest-deadline"
ORDER_LEAST_SLACK = "least-slack"
ORDER_SHORTEST = "shortest-with-ageing"

UNEVEN_OFF = "off"
UNEVEN_STATED = "stated"
UNEVEN_ON = "on"
"""When the parts for upstreams of uneven speed are in effect for a pool; with "stated",
from the first response of one of its upstreams that states a work time."""

DEFAULT_GRANT_SECONDS = 1.0
DEFAULT_GRANT_GRACE_SECONDS = 0.5
DEFAULT_SILENCE_SECONDS = 3.0
DEFAULT_NO_UPSTREAM_SECONDS = 3.0
DEFAULT_ORDER = ORDER_SHORTEST
DEFAULT_AGEING = 2.0
DEFAULT_LONG_FACTOR = 4.0
DEFAULT_LONG_SLOTS = 0.75
DEFAULT_WAIT_SHARE = 0.6
DEFAULT_MARGIN = 0.5
DEFAULT_PREFIX_WEIGHT = 1.0
DEFAULT_PREFILL_WINDOW = 0.25
DEFAULT_LONG_PREFILLS = 0.6
DEFAULT_GUARD = 0.5
DEFAULT_GUARD_HIGHER = 1.3
DEFAULT_HEADROOM = 0.1
DEFAULT_OPTIMISM = 0.4
DEFAULT_LOWER_SHARE = 0.05
"""Fraction of the slots that each lower tier may get before the tiers above it, so that
a long overload by higher tiers starves no tier."""

DEFAULT_MAX_WAITING = 50_000
DEFAULT_SAMPLES = 4

MIN_RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 60.0
RETRY_JITTER = 0.2

HOUSEKEEPING_SECONDS = 0.25
IDLE_WAKE_SECONDS = 1.0
PARK_SECONDS = 0.25
"""Maximum time for which a request is parked, and minimum time between two checks of a
waiting request without start_by; see START_CHECK_SECONDS for those with it."""

FORGET_UPSTREAM_SECONDS = 60.0
"""How long the state of an unusable upstream is kept: longer than a network cut or a
restart of its process takes, after which its speed would have to be learned again."""

MAX_RETURNS = 3
"""Number of returned grants after which a request that every upstream returned is
refused."""

MAX_TRIMMED = 64
"""Maximum number of requests that one housekeeping sheds."""

MAX_SKIPS = 8
"""Maximum number of requests that one run of the grant loop parks."""

SCAN_ALL_UP_TO = 12
"""Pool size up to which all upstreams are candidates for a request."""

PREFIX_CANDIDATES = 4
"""Number of holders of the longest prefix that are candidates in a larger pool."""

PRIOR_PREFILL_TOKENS_PER_SECOND = 4000.0
PRIOR_SECONDS_PER_TOKEN = 0.02

FIRST_PREFIX_TOKENS = 64

MIN_REMAINING = 0.25
"""Least fraction of the expected output that is expected of the rest of a stream, since
one that exceeds its expected output may go on for as long again."""

REASON_EXPIRED = "expired"
REASON_REFUSED_CONNECTION = "refused-connection"
REASON_NOT_ADMITTED = "not-admitted"
REASON_FAILED = "failed"
REASON_LOST_ANSWER = "lost-answer"
REASON_UPSTREAM_SILENT = "upstream-silent"
REASON_UPSTREAM_LEFT = "upstream-left"
REASON_UPSTREAM_PAUSED = "upstream-paused"
REASON_VERSION_WITHDRAWN = "version-withdrawn"
REASON_OTHER_VERSION = "other-version"
OUTCOME_DONE = "done"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_REJECTED = "rejected"
OUTCOME_CALLER_GONE = "caller-gone"

PATH_FAILURES = frozenset(
    {
        REASON_REFUSED_CONNECTION,
        REASON_LOST_ANSWER,
        REASON_UPSTREAM_SILENT,
        OUTCOME_UNKNOWN,
    }
)
"""Failures that the path between the entry host and the upstream can be the cause of.
With any other one, the host got a response."""

LABEL_SHARE = "share"
LABEL_CONCURRENCY = "concurrency"
LABEL_RATE = "rate"

MIN_PAUSE = 0.005
MAX_PAUSE = 0.1
IDLE_PAUSE = 0.5
"""Limits of the pause between two ticks of an owner, in seconds: MIN_PAUSE to
MAX_PAUSE with requests, up to IDLE_PAUSE without. A new request or changed state
ends the idle pause early."""

DEAD_HOSTS_PERIOD = 0.5
DEAD_HOST_SILENCE = 30.0

ANNOUNCE_ACCEPTED = "accepted"
ANNOUNCE_STALE = "stale"
ANNOUNCE_NO_OWNER = "no-owner"

PROBE_SECONDS = 2.0

PLACEMENT_PURPOSE = "placement"
PLACEMENT_TIMEOUT = 2.0
PLACEMENT_OK = "ok"
PLACEMENT_NO_OWNER = "no-owner"
PLACEMENT_NO_LEASE = "no-lease"
PLACEMENT_NO_CONFIGURATION = "no-configuration"

METRIC_GRANTS = "dispatch.grants"
METRIC_REFUSALS = "dispatch.refusals"
METRIC_EJECTIONS = "dispatch.ejections"
METRIC_RETRIES = "dispatch.retries"
METRIC_ORPHANED = "dispatch.orphaned"
METRIC_ENDS_MISSED = "dispatch.ends_missed"
METRIC_QUOTA = "dispatch.quota"
METRIC_QUOTA_WAITS = "dispatch.quota_waits"
