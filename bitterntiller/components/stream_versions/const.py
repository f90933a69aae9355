"""Constants of streams that go on in another attempt; times in seconds."""

KEPT_SECONDS = 30.0
"""How long it is remembered at least which version began a stream, longer than callers
wait for the rest of one. Records are dropped after twice that time."""

MAX_KEPT_STREAMS = 65_536
"""Streams remembered within KEPT_SECONDS; the oldest ones are dropped first."""

HOLDERS = 2
"""Control hosts that remember a stream beside the host that relays it."""

FIND_TIMEOUT = 1.0
"""Bounds the time for which a request waits until its version is found. A new leader of
control is elected within it."""

CHECK_SECONDS = 0.5
"""Longest time after which holders that were restarted, and new versions, are noticed
if no stream begins meanwhile."""

RETRY_SECONDS = 2.0
"""Time after a failed message to a holder before it is told of all streams again, which
may be many."""

SETTLE_SECONDS = 3.0
"""How long after its start a host may still be told of streams that it forgot."""

MAX_DIGESTS_PER_MESSAGE = 4096

STATUS_KNOWN = "known"
STATUS_UNKNOWN = "unknown"
STATUS_CONFLICT = "conflict"
STATUS_OK = "ok"

SOURCE_RELAYED = "relayed-here"
SOURCE_HOLDER = "holder"
SOURCE_ONLY_VERSION = "only-version"

METRIC_FOUND = "streams.found"
METRIC_NOT_FOUND = "streams.not_found"
METRIC_MISSED_SENDS = "streams.missed_sends"
