"""Models of a request in the pipeline; times are in seconds of this host's clock."""

from contextlib import AsyncExitStack
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import curio

from bitterntiller.components.config.models import Route, Service, Tier, Workspace
from bitterntiller.components.entry.errors import SentTwiceError
from bitterntiller.components.entry.quota import QuotaHold
from bitterntiller.components.entry.sse import EventStream
from bitterntiller.components.http.models import RequestHead
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.core.interfaces import Ownership, StreamOrigin
from bitterntiller.core.outcomes import Ending, ResponseFault

if TYPE_CHECKING:
    from bitterntiller.components.entry.run import Run

SOURCE_THIS_REQUEST = "this-request"


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share: id and number of tokens."""

    part_id: str
    tokens: int


class DeclaredWork(NamedTuple):
    """The size of a request as its headers declare it, in dialects with such headers.

    output_tokens is the expected output. parts has the parts of the prompt in order.
    most_tokens is the sum of the prompt and the longest output that the caller allows.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    most_tokens: int


class ContinuedStream(NamedTuple):
    """The stream that a request continues, as its caller states it.

    first_id is the id of the caller's attempt that began the stream, empty if it isn't
    stated; after is the id of the last event that the caller has. problem says what is
    wrong with the statement, empty if nothing is.
    """

    first_id: str
    after: int
    problem: str = ""


class ReceivedRequest(NamedTuple):
    """A request whose head was parsed; the headers of its dialect are well formed."""

    request_id: str
    head: RequestHead
    token: str
    idempotency_key: str
    deadline_ms: int | None
    tier: str
    arrived: float
    work: DeclaredWork | None = None
    host: str = ""
    continued: ContinuedStream | None = None


class IdentifiedRequest(NamedTuple):
    """A request whose workspace, service, tier and deadline are known.

    config_version is the version of the configuration that determined them. route is
    the matching route if the configuration has routes. For a routed request, first_by
    is the objective for the first output, and start_by the time at which the caller
    gives up without one.
    """

    received: ReceivedRequest
    workspace: Workspace
    service: Service
    tier: Tier
    deadline: float
    idempotent: bool
    config_version: int = 0
    route: Route | None = None
    first_by: float | None = None
    start_by: float | None = None

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the deadline, negative once it has passed."""
        return self.deadline - now


class BoundRequest(NamedTuple):
    """A request with what began the stream that it continues, None if it begins one."""

    identified: IdentifiedRequest
    origin: StreamOrigin | None


class Estimate(NamedTuple):
    """The estimated size of a request, the prefixes of its prompt, its response type.

    prefix_tokens has the tokens of each prefix if the caller declared them. usage is
    the amount that the request uses of its workspace's quota. part_ids identify the
    parts of the prompt in order; equal parts of other requests have equal ids.
    """

    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    streamed: bool
    prefix_tokens: tuple[int, ...] = ()
    usage: int = 1
    part_ids: tuple[bytes, ...] = ()


class PreparedRequest(NamedTuple):
    """A request with its complete body, ready to be registered with a pool's owner."""

    identified: IdentifiedRequest
    body: bytes
    estimate: Estimate


class GrantReceived(NamedTuple):
    """A grant, valid until valid_until; sender is the address of the owner's host.

    relays names hosts that reach the upstream, if this one may not. version is the
    software version of the upstream, empty if it states none.
    """

    pool: str
    epoch: int
    upstream: str
    address: str
    valid_until: float
    sender: str
    incarnation: str = ""
    rate_limited: bool = False
    relays: tuple[str, ...] = ()
    version: str = ""


class RefusalReceived(NamedTuple):
    """The refusal of a waiting request by its owner; retry_after is in seconds."""

    reason: str
    retry_after: float


class Retry(NamedTuple):
    """An attempt after which the request waits for another grant.

    ran is False if the attempt certainly did not run, and True if it may have run and
    the request is repeatable. detail is the error of the connection, for the log.
    """

    upstream: str
    reason: str
    ran: bool = False
    detail: str = ""


class RelayResult(NamedTuple):
    """A response that was relayed completely, or truncated if whole is False."""

    whole: bool
    status: int


class RunSilent(NamedTuple):
    """The upstream of a run has sent nothing for some time; the run goes on."""

    upstream: str


class RunResumed(NamedTuple):
    """A run whose upstream was silent goes on, while another upstream was sought."""

    upstream: str


class CutBy(StrEnum):
    """Who ended a response before it was whole.

    HOST: this host, which gave up on a response that another upstream should have
    continued. STOP: this host, since its grace period for a stop is over.
    """

    CALLER = "caller"
    UPSTREAM = "upstream"
    DEADLINE = "deadline"
    HOST = "host"
    STOP = "stop"


class Cut(NamedTuple):
    """Why a caller does not get a whole response."""

    by: CutBy
    reason: str
    detail: str = ""


class ClaimFound(NamedTuple):
    """The claim of an earlier request with the same idempotency key.

    status is running, finished or orphaned. request_id, upstream and address (IP:port)
    belong to the earlier request; outcome and http_status are set once it has finished.
    """

    status: str
    request_id: str
    upstream: str
    address: str
    outcome: str
    http_status: int


Verdict = Ending | Retry | RelayResult | ClaimFound


class ReportedLoad(NamedTuple):
    """The load of an upstream as one of its responses reported it.

    work_percent is how long work takes on its machine now, 100 as usual; None if the
    response doesn't state it.
    """

    running: int
    waiting: int
    work_percent: int | None = None


class Phase(StrEnum):
    """The phase of a request between registration and its end."""

    WAITING = "waiting"
    SENDING = "sending"
    RELAYING = "relaying"
    ENDED = "ended"


class SentState(NamedTuple):
    """What a request keeps of the upstream that it was sent to."""

    upstream: str
    address: str
    relay: str
    sent_at: float
    granted_version: str
    tried: tuple[str, ...]
    load: ReportedLoad | None
    rate_limit: float | None


class ActiveRequest:
    """The state of a request between registration and its end.

    It exists only in the entry process that received the request, so no other process
    can send it. run is one whose upstream was silent and that goes on. standby is one
    whose upstream is silent, while the request is or may be sent to another. changed is
    set when a run makes progress; stack owns the runs. sends counts how often the
    request was sent, also where it certainly did not run. faults_by_upstream says why
    the last responses of upstreams to it weren't whole, until their owner is told.
    caller_watch is the task that waits for its caller to leave; the request is given up
    when that ends.
    """

    def __init__(self, prepared: PreparedRequest) -> None:
        self.prepared = prepared
        self.phase = Phase.WAITING
        self.owner: Ownership | None = None
        self.registered_at = 0.0
        self.mailbox: curio.Queue = curio.Queue()
        self.tried: tuple[str, ...] = ()
        self.upstream = ""
        self.address = ""
        self.relay = ""
        self.sent_at = 0.0
        self.first_byte_at: float | None = None
        self.output_tokens = 0
        self.reported_tokens = 0
        self.cached_tokens: int | None = None
        self.may_have_run = False
        self.claimed = False
        self.claim_upstream = ""
        self.claim_address = ""
        self.followed_id = ""
        self.runs = 0
        self.failed_connections = 0
        self.hold: QuotaHold | None = None
        self.charged_runs = 0
        self.stream: EventStream | None = None
        self.load: ReportedLoad | None = None
        self.fingerprint = 0
        self.part_fingerprints: tuple[int, ...] = ()
        self.parts_sound = False
        self.rate_limit: float | None = None
        self.begun = False
        self.granted_version = ""
        self.origin: StreamOrigin | None = None
        self.cut: Cut | None = None
        self.cut_logged = False
        self.sends = 0
        self.run: Run | None = None
        self.standby: Run | None = None
        self.changed = curio.Event()
        self.stack = AsyncExitStack()
        self.caller_watch: curio.Task | None = None
        self.faults_by_upstream: dict[str, ResponseFault] = {}

    @property
    def fingerprints(self) -> tuple[int, ...]:
        """Return the fingerprints of the request and of the parts of its prompt."""
        return (self.fingerprint, *self.part_fingerprints)

    @property
    def key(self) -> str:
        """Return the caller's idempotency key, empty without one."""
        return self.prepared.identified.received.idempotency_key

    @property
    def route(self) -> Route | None:
        """Return the matching route, None if the configuration has no routes."""
        return self.prepared.identified.route

    @property
    def stream_id(self) -> str:
        """Return the id of the caller's attempt that began the stream."""
        continued = self.prepared.identified.received.continued
        return continued.first_id if continued is not None else self.request_id

    @property
    def required_version(self) -> str | None:
        """Return the version that began the stream, None if any may go on with it."""
        return self.origin.version if self.origin is not None else None

    def mark_begun(self) -> None:
        """Bind the request to the version whose event its caller gets."""
        self.begun = True
        if self.origin is None:
            self.origin = StreamOrigin(
                self.pool, self.granted_version, SOURCE_THIS_REQUEST, 0.0
            )

    @property
    def output_before(self) -> int:
        """Return the number of events that its caller has from earlier attempts."""
        continued = self.prepared.identified.received.continued
        return continued.after if continued is not None else 0

    @property
    def last_event_id(self) -> int:
        """Return the id of the last event that its caller has, 0 without one."""
        after = self.output_before
        return max(after, self.stream.last_id if self.stream is not None else 0)

    @property
    def repeatable(self) -> bool:
        """Return whether the request may be sent again after it may have run."""
        route = self.route
        return route is not None and route.repeatable and self.runs < route.max_attempts

    @property
    def movable(self) -> bool:
        """Return whether another upstream may serve the request or go on with it."""
        return self.repeatable and (self.stream is None or self.stream.resumable)

    @property
    def sent_state(self) -> SentState:
        """Return what to restore if the request goes on at its current upstream."""
        return SentState(
            self.upstream,
            self.address,
            self.relay,
            self.sent_at,
            self.granted_version,
            self.tried,
            self.load,
            self.rate_limit,
        )

    def restore_sent(self, state: SentState) -> None:
        """Go on with an earlier sending of the request."""
        self.upstream = state.upstream
        self.address = state.address
        self.relay = state.relay
        self.sent_at = state.sent_at
        self.granted_version = state.granted_version
        self.tried = state.tried
        self.load, self.rate_limit = state.load, state.rate_limit
        self.may_have_run = True
        self.phase = Phase.RELAYING

    @property
    def repeatable_once_sent(self) -> bool:
        """Return whether the request may be sent again if its next attempt is lost."""
        route = self.route
        if route is None or not route.repeatable:
            return False
        return self.runs + 1 < route.max_attempts

    @property
    def upstream_request_id(self) -> str:
        """Return the id at the upstream: its own, or that of the followed claim."""
        return self.followed_id or self.request_id

    @property
    def destination(self) -> Destination:
        """Return the upstream that the request was sent to."""
        return Destination(
            self.request_id,
            self.upstream,
            self.address,
            pool=self.pool,
        )

    @property
    def request_id(self) -> str:
        """Return the id of the request in messages, logs and headers."""
        return self.prepared.identified.received.request_id

    @property
    def pool(self) -> str:
        """Return the name of the request's pool."""
        return self.prepared.identified.service.name

    def mark_sending(self, grant: GrantReceived) -> None:
        """Mark the request as possibly run; raise SentTwiceError if it is already.

        This is the last check against sending a request twice after a duplicate grant,
        with two owners at once, or by a bug in the pipeline.
        """
        if self.may_have_run:
            raise SentTwiceError(f"request {self.request_id} may have run already")
        self.may_have_run = True
        self.runs += 1
        self.sends += 1
        self.phase = Phase.SENDING
        self.upstream = grant.upstream
        self.address = grant.address
        self.granted_version = grant.version
        self.load = None
        self.faults_by_upstream.pop(grant.upstream, None)

    @property
    def has_run(self) -> bool:
        """Return whether any attempt so far may have run."""
        return self.runs > 0

    def requeue_after_run(self, upstream: str) -> None:
        """Requeue a repeatable request that may have run; raise SentTwiceError."""
        if not self.repeatable:
            raise SentTwiceError(f"request {self.request_id} may run only once")
        self._requeue(upstream)

    def requeue_unsent(self, upstream: str) -> None:
        """Requeue the request after an attempt that sent nothing to the upstream."""
        self._requeue(upstream)

    def requeue_not_run(self, upstream: str) -> None:
        """Requeue the request after an attempt that certainly did not run."""
        self.runs -= 1
        self._requeue(upstream)

    def _requeue(self, upstream: str) -> None:
        self.may_have_run = False
        self.phase = Phase.WAITING
        self.tried = (*self.tried, upstream)
        self.upstream = ""
        self.address = ""
