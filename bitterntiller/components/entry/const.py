"""Constants of the entry role."""

HEADER_AUTHORIZATION = b"authorization"
HEADER_IDEMPOTENCY_KEY = b"idempotency-key"
HEADER_DEADLINE = b"x-deadline-ms"
HEADER_TIER = b"x-tier"
HEADER_REQUEST_ID = b"x-request-id"
HEADER_OUTCOME = b"x-outcome"
HEADER_RATE_LIMIT = b"x-rate-limit"
HEADER_ADMITTED = b"x-admitted"
HEADER_RETRY_AFTER = b"retry-after"
HEADER_LAST_EVENT_ID = b"last-event-id"

# Headers that concern one connection only, or that the entry host sets itself.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"host",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
OWN_HEADERS = frozenset(
    {
        HEADER_AUTHORIZATION,
        HEADER_DEADLINE,
        HEADER_IDEMPOTENCY_KEY,
        HEADER_OUTCOME,
        HEADER_REQUEST_ID,
        HEADER_TIER,
    }
)

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})

BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 256
MAX_TOKENS = 10_000_000
MIN_PREFIX_BYTES = 256
MAX_PREFIXES = 12
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_KEY_LENGTH = 255

BUFFERED_BYTES = 256 * 1024
"""A routed answer that is no stream is held until it is whole, up to this size.

A broken one can then be had of another upstream, or be told as a failure instead of a
cut; larger ones are passed on as they come, so that few of them can't fill the memory.
"""

MIN_STREAM_IDLE_TIMEOUT = 1.0
"""Seconds of silence that a resumable stream is granted at least before it goes on
elsewhere; a long prefill of another request stops an engine's output for about half."""

RESPONSE_TIMEOUT_OBJECTIVES = 2.5
MIN_RESPONSE_TIMEOUT = 1.0
"""How long a repeatable request waits for the head of an answer: in objectives of its
route, and in seconds at least. Beyond it an answer is worth little, while another
upstream can still serve the request before its caller gives up."""

MIN_TIMEOUT = 0.001
"""Seconds; a timeout of none at all would be read as already over."""

DRAIN_IDLE_TIMEOUT = 0.2
DRAIN_MAX_CHUNKS = 8
"""Seconds and parts within which the body of an unused answer must end."""

REPORT_PERIOD = 0.1
BUSY_REPORT_PERIOD = 0.5
IDLE_REPORT_PERIOD = 2.0
"""Seconds between reports to an owner: while a request has waited for it that long,
while requests run here or there is something to tell, and else.

A request that waits shows a lost owner as soon as frequent reports would; one that is
answered within a tenth of a second, as nearly all are, costs no report.
"""

REPORT_TIMEOUT = 0.3
SUSPECT_RETRY_PERIOD = 0.5
"""Seconds until an owner counts as lost, and until a lost one is asked again. A loss
shows in 0.4 s to a request that waits, within the half second that grants may pause; an
owner that stands still for 0.2 s, as at the cutting of a log, is not taken for lost.
"""

MAX_IDLE_CONNECTIONS = 8
PRUNE_PERIOD = 1.0
"""Idle connections kept to one upstream, and seconds between two looks for old ones."""

RETRY_BUDGET_FRACTION = 0.8
RETRY_BUDGET_BASE_FRACTION = 0.5
"""Parts of the deployment's budget of retries that its hosts use.

The rest covers hosts that are started anew, whose budgets begin full.
"""

GRANT_MARGIN = 0.05
OWNER_WAIT = 10.0
OWNER_POLL = 0.1
IDLE_OWNER_POLL = 1.0
"""Seconds between two looks at the lease and at the owners of pools, with live requests
and without; a request that comes ends the longer one."""

REREGISTER_AFTER = 2.0
PROGRESS_PERIOD = 0.5
LIVE_PERIOD = 5.0
ENDED_PERIOD = 0.5
"""Seconds between two messages about what has ended; each ending is in some five."""

RESUME_ATTEMPTS = 4
RESUME_DELAY = 0.1
CANCEL_TIMEOUT = 2.0
DEFAULT_RETRY_AFTER = 1.0
NO_LEASE_RETRY_AFTER = 1.0
NO_LEASE_JITTER = (0.5, 2.0)
"""Seconds, and the least and the most that they are multiplied by, so that callers who
were refused together do not come back at one moment.

Control that was started anew leads 0.2 s after a quorum of it is up and grants leases
0.2 s after that; the rest is for hosts that are up later.
"""

LEASE_WAIT = 0.35
LEASE_WAIT_WINDOW = 3.0
"""Seconds that a request waits for a lease, and after the loss of the lease or the
start of this host in which it does.

A lease that is due comes within tenths of a second, and the request is then served in
time. Its body is not read meanwhile, which callers bear for a second.
"""

LEASE_POLL = 0.02
"""Seconds between two looks at a lease that is waited for."""
DRAIN_POLL = 0.05
SETTLE_WAIT = 3.0

RETRIES_PER_REQUEST = 0.2
MAX_RETRY_RESERVE = 20.0
"""The retries that an idle pool keeps in reserve."""

METRIC_RETRIES = "entry.retries"
METRIC_RETRIES_REFUSED = "entry.retries_refused"
METRIC_REQUESTS = "entry.requests"
METRIC_TIME_TO_FIRST = "entry.time_to_first_byte"
METRIC_QUEUE_WAIT = "entry.queue_wait"
METRIC_TOKENS = "entry.tokens"
METRIC_GOODPUT = "entry.goodput"
METRIC_WASTED_PREFILL = "entry.wasted_prefill_tokens"
METRIC_RESUMES = "entry.resumes"
METRIC_RESUME_FAILED = "entry.resume_failed"
METRIC_CUT = "entry.cut"
METRIC_REFUSED = "entry.refused"
METRIC_LATE_RESPONSES = "entry.late_answers_dropped"
METRIC_CALLER_GONE = "entry.caller_gone"
METRIC_CLAIMS_FOLLOWED = "entry.claims_followed"
METRIC_CLAIMS_UNSETTLED = "entry.claims_unsettled"
METRIC_OWNERS_LOST = "entry.owners_lost"
METRIC_STALE_GRANTS = "entry.stale_grants"
METRIC_EXPIRED_GRANTS = "entry.lapsed_grants"
