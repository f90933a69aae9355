"""A request on its way through the pipeline; times in seconds of the own clock."""

from enum import StrEnum
from typing import NamedTuple

import curio

from bitterntiller.components.config.models import Service, Tier, Workspace
from bitterntiller.components.entry.errors import SentTwiceError
from bitterntiller.components.http.models import RequestHead
from bitterntiller.core.interfaces import Ownership
from bitterntiller.core.outcomes import Ending


class Received(NamedTuple):
    """A request whose head was read and whose own headers are well formed."""

    request_id: str
    head: RequestHead
    token: str
    idempotency_key: str
    deadline_ms: int | None
    tier: str
    arrived: float


class Identified(NamedTuple):
    """A request whose workspace, service, tier and deadline are known.

    config_version is the version of the configuration by which they are.
    """

    received: Received
    workspace: Workspace
    service: Service
    tier: Tier
    deadline: float
    idempotent: bool
    config_version: int = 0


class Estimate(NamedTuple):
    """What the body tells of the work: tokens, prefixes, and how it answers."""

    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    streamed: bool


class Prepared(NamedTuple):
    """A request with its whole body, ready to wait for an upstream."""

    identified: Identified
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


class RefusalReceived(NamedTuple):
    """The owner gave the request up; retry_after is in seconds."""

    reason: str
    retry_after: float


class Retry(NamedTuple):
    """An attempt that proved not to have run; the request waits again."""

    upstream: str
    reason: str


class Relayed(NamedTuple):
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


Verdict = Ending | Retry | Relayed | ClaimFound


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

    def __init__(self, prepared: Prepared) -> None:
        self.prepared = prepared
        self.phase = Phase.WAITING
        self.owner: Ownership | None = None
        self.registered_at = 0.0
        self.mailbox: curio.Queue = curio.Queue()
        self.tried: tuple[str, ...] = ()
        self.upstream = ""
        self.address = ""
        self.granted_at = 0.0
        self.first_byte_at: float | None = None
        self.output_tokens = 0
        self.reported_tokens = 0
        self.cached_tokens: int | None = None
        self.may_have_run = False
        self.claimed = False
        self.claim_upstream = ""
        self.claim_address = ""
        self.followed_id = ""

    @property
    def key(self) -> str:
        """Return the caller's idempotency key, empty when it gave none."""
        return self.prepared.identified.received.idempotency_key

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
        self.phase = Phase.SENDING
        self.upstream = grant.upstream
        self.address = grant.address

    def mark_not_run(self, upstream: str) -> None:
        """Note the proof that the last attempt did not run."""
        self.may_have_run = False
        self.phase = Phase.WAITING
        self.tried = (*self.tried, upstream)
        self.upstream = ""
        self.address = ""
