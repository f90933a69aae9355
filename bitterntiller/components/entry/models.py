"""A request on its way through the pipeline; times in seconds of the own clock."""

from enum import StrEnum
from typing import NamedTuple

import curio

from bitterntiller.components.config.models import Route, Service, Tier, Workspace
from bitterntiller.components.entry.errors import SentTwiceError
from bitterntiller.components.entry.quota import QuotaHold
from bitterntiller.components.entry.sse import EventStream
from bitterntiller.components.http.models import RequestHead
from bitterntiller.core.interfaces import Ownership
from bitterntiller.core.outcomes import Ending


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share: its id and its tokens."""

    part_id: str
    tokens: int


class DeclaredWork(NamedTuple):
    """What a caller's headers tell of the work, where its interface has such headers.

    output_tokens is the expected output. parts are the parts of the prompt in their
    order. most_tokens is the prompt with the most output that the caller allows.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    most_tokens: int


class ReceivedRequest(NamedTuple):
    """A request whose head was read and whose own headers are well formed."""

    request_id: str
    head: RequestHead
    token: str
    idempotency_key: str
    deadline_ms: int | None
    tier: str
    arrived: float
    work: DeclaredWork | None = None
    host: str = ""


class IdentifiedRequest(NamedTuple):
    """A request whose workspace, service, tier and deadline are known.

    config_version is the version of the configuration by which they are. route is the
    one that matched, where the configuration has routes; first_by is then the time by
    which the first output is still good, and start_by when the caller gives up without.
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


class Estimate(NamedTuple):
    """What is told of the work: tokens, prefixes, and how it answers.

    prefix_tokens has the tokens of each prefix where the caller told them. usage is
    what the request takes from its workspace's quota.
    """

    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    streamed: bool
    prefix_tokens: tuple[int, ...] = ()
    usage: int = 1


class PreparedRequest(NamedTuple):
    """A request with its whole body, ready to wait for an upstream."""

    identified: IdentifiedRequest
    body: bytes
    estimate: Estimate


class GrantReceived(NamedTuple):
    """A grant with the time until which it may be used."""

    pool: str
    epoch: int
    upstream: str
    address: str
    valid_until: float
    sender: str
    incarnation: str = ""
    rate_limited: bool = False


class RefusalReceived(NamedTuple):
    """The owner gave the request up; retry_after is in seconds."""

    reason: str
    retry_after: float


class Retry(NamedTuple):
    """An attempt after which the request waits again.

    ran is False when it proved not to have run, and True when it may have and the
    request may run more than once.
    """

    upstream: str
    reason: str
    ran: bool = False


class RelayResult(NamedTuple):
    """An answer that was relayed whole, or cut when whole is False."""

    whole: bool
    status: int


class ClaimFound(NamedTuple):
    """The claim of an earlier copy of a keyed request.

    status is running, finished or orphaned; request_id, upstream and address
    (IP:port) are the earlier copy's; outcome and http_status are recorded when
    it has finished.
    """

    status: str
    request_id: str
    upstream: str
    address: str
    outcome: str
    http_status: int


Verdict = Ending | Retry | RelayResult | ClaimFound


class ReportedLoad(NamedTuple):
    """What an answer tells of its upstream's load."""

    running: int
    waiting: int


class Phase(StrEnum):
    """How far a request has come."""

    WAITING = "waiting"
    SENDING = "sending"
    RELAYING = "relaying"
    ENDED = "ended"


class ActiveRequest:
    """The one live record of a request between registration and its end.

    Only the entry process that read the request has it, so nobody else can send.
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
        self.hold: QuotaHold | None = None
        self.charged_runs = 0
        self.stream: EventStream | None = None
        self.load: ReportedLoad | None = None
        self.fingerprint = 0
        self.rate_limit: float | None = None

    @property
    def key(self) -> str:
        """Return the caller's idempotency key, empty when it gave none."""
        return self.prepared.identified.received.idempotency_key

    @property
    def route(self) -> Route | None:
        """Return the route that matched, None without routes."""
        return self.prepared.identified.route

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run once more after it may have run."""
        route = self.route
        return route is not None and route.repeatable and self.runs < route.max_attempts

    @property
    def upstream_request_id(self) -> str:
        """Return the id under which the upstream knows the work."""
        return self.followed_id or self.request_id

    @property
    def request_id(self) -> str:
        """Return the id that names the request everywhere."""
        return self.prepared.identified.received.request_id

    @property
    def pool(self) -> str:
        """Return the name of the pool the request waits for."""
        return self.prepared.identified.service.name

    def mark_sending(self, grant: GrantReceived) -> None:
        """Note that the first byte may leave from now on; raise SentTwiceError.

        A duplicate grant, two owners at once or a fault in the pipeline would
        show as a second sending; this is the last place that all of them pass.
        """
        if self.may_have_run:
            raise SentTwiceError(f"request {self.request_id} may have run already")
        self.may_have_run = True
        self.runs += 1
        self.phase = Phase.SENDING
        self.upstream = grant.upstream
        self.address = grant.address

    @property
    def has_run(self) -> bool:
        """Tell whether any attempt so far may have run."""
        return self.runs > 0

    def requeue_after_run(self, upstream: str) -> None:
        """Have the request wait again though it may have run; raise SentTwiceError."""
        if not self.repeatable:
            raise SentTwiceError(f"request {self.request_id} may run only once")
        self._requeue(upstream)

    def requeue_unsent(self, upstream: str) -> None:
        """Note an upstream to which nothing was sent, as it could not be reached."""
        self._requeue(upstream)

    def requeue_not_run(self, upstream: str) -> None:
        """Note the proof that the last attempt did not run."""
        self.runs -= 1
        self._requeue(upstream)

    def _requeue(self, upstream: str) -> None:
        self.may_have_run = False
        self.phase = Phase.WAITING
        self.tried = (*self.tried, upstream)
        self.upstream = ""
        self.address = ""
