"""Outcomes and reasons of requests, as sent to the caller in X-Outcome."""

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Reason(StrEnum):
    """Why a request ended; the code in the JSON body of a refusal."""

    UNAUTHORIZED = "unauthorized"
    NO_SUCH_SERVICE = "no-such-service"
    NOT_ALLOWED = "not-allowed"
    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    SLOW_CALLER = "slow-caller"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    HOST_FULL = "host-full"
    NO_CONFIGURATION = "no-configuration"
    NO_LEASE = "no-lease"
    DRAINING = "draining"
    NO_OWNER = "no-owner"
    NO_UPSTREAM = "no-upstream"
    QUEUE_FULL = "queue-full"
    SHED = "shed"
    TOO_LATE = "too-late"
    RATE_LIMIT = "rate-limit"
    QUOTA = "quota"
    CONCURRENCY_LIMIT = "concurrency-limit"
    NOT_ADMITTED = "not-admitted"
    CLAIM_RUNNING = "claim-running"
    CLAIM_FINISHED = "claim-finished"
    CLAIM_MISMATCH = "claim-mismatch"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    CLAIM_ORPHANED = "claim-orphaned"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    UNKNOWN_ORIGIN = "unknown-origin"
    VERSION_GONE = "version-gone"
    SERVICE_CHANGED = "service-changed"
    UPSTREAM_RESET = "upstream-reset"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_PROTOCOL = "upstream-protocol"
    CALLER_GONE = "caller-gone"


class ResponseFault(StrEnum):
    """Why a response whose bytes arrived isn't whole; the path is not the cause.

    OVERRUN: it had not ended when the time of the request had. MALFORMED: its bytes are
    no HTTP response. UNFINISHED: it may only be long, since little time was left for it
    or its caller read slowly.
    """

    OVERRUN = "overrun"
    MALFORMED = "malformed"
    UNFINISHED = "unfinished"


class Ending(NamedTuple):
    """The end of a request without an upstream response to relay.

    status is the HTTP status; retry_after is in seconds, or None if a retry would not
    help.
    """

    outcome: Outcome
    reason: Reason
    status: int
    retry_after: float | None = None
    detail: str = ""
