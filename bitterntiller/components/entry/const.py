"""Constants of the entry role."""

HEADER_AUTHORIZATION = b"authorization"
HEADER_IDEMPOTENCY_KEY = b"idempotency-key"
HEADER_DEADLINE = b"x-deadline-ms"
HEADER_TIER = b"x-tier"
HEADER_REQUEST_ID = b"x-request-id"
HEADER_OUTCOME = b"x-outcome"
HEADER_RATE_LIMIT = b"x-rate-limit"
HEADER_LEAVING = b"x-leaving"
HEADER_ADMITTED = b"x-admitted"
HEADER_INCARNATION = b"x-incarnation"
HEADER_RETRY_AFTER = b"retry-after"
HEADER_LAST_EVENT_ID = b"last-event-id"

# Hop-by-hop headers, and headers that the entry host sets itself.
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

SOUND_OUTPUT_SECONDS = 0.2
"""Time from its first output after which a response shows that the parts of its prompt
don't crash the upstream."""

BUFFERED_BYTES = 256 * 1024
"""Size up to which a routed response that isn't a stream is buffered.

If it breaks off, another upstream can serve the request, or the caller gets an error
instead of a truncated response. Larger ones are relayed as they arrive, so that a few
of them can't fill the memory.
"""

MIN_STREAM_SILENCE = 1.0
"""Seconds without an event after which another upstream is sought for a resumable
stream, at least. A long prefill of another request pauses an engine's output for about
half of that."""

RESPONSE_SILENCE_OBJECTIVES = 2.5
RESPONSE_SILENCE_TIME_FRACTION = 0.5
MIN_RESPONSE_SILENCE = 1.0
"""Time without a response after which another upstream is sought for a repeatable
request: a multiple of the objective of its route, but at most that fraction of its time
left as it was sent, and a minimum in seconds. A later response is worth little, while
another upstream may still be in time."""

MIN_TIMEOUT = 0.001
"""Seconds; a timeout of 0 would count as expired already."""

INCARNATION_SECONDS = 0.5
INCARNATION_BYTES = 256 * 1024
"""Time and bytes within which an upstream names its incarnation."""

MAX_UNNAMED = 4096
"""Incarnations of which it is kept that the upstream names none."""

HEADER_CONTENT_TYPE = b"content-type"
EVENT_STREAM = "text/event-stream"

NO_INCARNATIONS = ("", "0")
"""Incarnations of upstreams that don't state them, and start with a name of their own
each time."""

DRAIN_SECONDS = 0.2
DRAIN_BYTES = 256 * 1024
"""Time and bytes within which the body of a response that isn't relayed must end for
its connection to be reused."""

RESPONSE_GRACE = 0.1
"""Seconds after its deadline in which a response may still end."""

REPORT_PERIOD = 0.1
BUSY_REPORT_PERIOD = 0.5
IDLE_REPORT_PERIOD = 2.0
"""Seconds between reports to an owner: while a request has waited for it that long,
while requests are live or there are unacknowledged changes, and otherwise.

A waiting request detects a lost owner as fast as frequent reports would. A request that
is granted within 0.1 s, as nearly all are, causes no report.
"""

REPORT_TIMEOUT = 0.3
SUSPECT_RETRY_PERIOD = 0.5
"""Seconds without a reply after which an owner is suspected, and until a suspected one
gets the next report. A waiting request detects a loss in 0.4 s, within the 0.5 s for
which grants may pause. A pause of 0.2 s, as when an owner truncates its log, is no
loss.
"""

MAX_FAILED_CONNECTIONS = 8
"""Failed connections after which a request is refused. They are no load on upstreams,
but each one takes the caller's time."""

MAX_IDLE_CONNECTIONS = 8
PRUNE_PERIOD = 1.0
"""Idle connections kept to one upstream; seconds between checks for expired ones."""

RETRY_BUDGET_FRACTION = 0.8
RETRY_BUDGET_BASE_FRACTION = 0.5
"""Fractions of the deployment's retry budget that its hosts use: of the retries earned
by requests, and of those allowed without any.

The rest is a margin for restarted hosts, whose budgets start full.
"""

GRANT_MARGIN = 0.05
OWNER_WAIT = 10.0
OWNER_POLL = 0.1
IDLE_OWNER_POLL = 1.0
"""Seconds between checks of the lease and of the owners of pools, with live requests
and without. A new request ends the longer wait."""

REREGISTER_AFTER = 2.0
PROGRESS_PERIOD = 0.5
LIVE_PERIOD = 5.0
ENDED_PERIOD = 0.5
"""Seconds between messages about ended requests; each one is in about five messages."""

RESUME_ATTEMPTS = 4
RESUME_DELAY = 0.1
CANCEL_TIMEOUT = 2.0
MAX_CANCEL_BYTES = 16 * 1024
"""Longest response to a cancellation; only its status is used."""

DEFAULT_RETRY_AFTER = 1.0
NO_LEASE_RETRY_AFTER = 1.0
NO_LEASE_JITTER = (0.5, 2.0)
"""Retry-After without a lease in seconds, and the range of its random factor, so that
callers that were refused together don't retry at the same moment.

After a restart, control has a leader 0.2 s after a quorum is up and grants leases 0.2 s
later; the rest is for hosts that start later.
"""

LEASE_WAIT = 0.35
LEASE_WAIT_WINDOW = 3.0
"""Seconds that a request waits for a lease, and how long after the loss of the lease or
the start of this host requests wait at all.

A lease that is expected arrives within tenths of a second, so the request is served in
time. Its body is not read meanwhile, which callers tolerate for about 1 s.
"""

LEASE_POLL = 0.02
"""Seconds between checks while a request waits for the lease."""
DRAIN_POLL = 0.05
SETTLE_WAIT = 3.0

STOP_ADMIT_SECONDS = 2.5
STOP_SEND_FRACTION = 0.5
"""How long after the beginning of a stop requests that may outlast it are still
admitted, and the part of it in which they are sent to upstreams. Most that are sent
later would be cut at its end; refused, their callers can go to another host in time."""

STOP_ANSWER_SECONDS = 0.2
"""Time at the end of a stop in which the requests still in progress are answered."""

RETRIES_PER_REQUEST = 0.2
MAX_RETRY_RESERVE = 20.0
"""The maximum number of retries that a pool accumulates; a new pool starts with it."""

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
