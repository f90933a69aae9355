"""The types at which the parts of a process meet."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple, Protocol

MessageHandler = Callable[[str, Any], Awaitable[Any]]
"""Takes the name of the sending host and a message; may return the reply."""


class Links(Protocol):
    """Messages to other hosts, and to this one without a socket."""

    def handle(self, cls: type, handler: MessageHandler) -> Callable[[], None]:
        """Have a handler called for each message of a type; return the removal."""
        ...

    def add_disconnect_listener(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Have a callback awaited when a connection to a peer has ended."""
        ...

    async def async_send(self, address: str, message: Any) -> bool:
        """Send without a reply; False when it certainly did not leave."""
        ...

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        """Send and return the reply.

        Raise LinkError when the peer can't be reached or does not answer in
        timeout seconds; whether it got the message is then not known.
        """
        ...


class Ownership(NamedTuple):
    """Who owns a pool: the host's name and internal address, and the epoch.

    incarnation is known where owners follow from membership; it tells an owner from
    the process that had its host before.
    """

    host: str
    address: str
    epoch: int
    incarnation: str = ""


class Lease(Protocol):
    """The configuration lease of this node, asked at the moment of use."""

    def valid(self) -> bool:
        """Tell whether the node may take and send work now."""
        ...


class ConfigView(Protocol):
    """The newest configuration in force on this node."""

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        ...

    @property
    def config(self) -> "Any":
        """The parsed configuration, a components.config.models.Config."""
        ...


class UpstreamsView(Protocol):
    """The upstreams that are registered with control, as last heard."""

    @property
    def version(self) -> int:
        """Grows with every change, 0 before the first list."""
        ...

    @property
    def by_name(self) -> "Mapping[str, Any]":
        """The announcements, messages.Announce by the name of the upstream."""
        ...


class VersionsView(Protocol):
    """Which versions of upstreams may get requests, as last heard from control."""

    @property
    def version(self) -> int:
        """Grows with every change, 0 before the first list."""
        ...

    def rules(self, service: str) -> "Any":
        """Return the components.rollouts.models.VersionRules of a service."""
        ...

    def may_run(self, service: str, labels: Mapping[str, str]) -> bool:
        """Tell whether an upstream with these labels may get requests of a service."""
        ...


class SentRequest(NamedTuple):
    """A request that was sent to one process of an upstream, at IP:port.

    fingerprint is the same for each copy of the request.
    """

    request_id: str
    fingerprint: int
    upstream: str
    incarnation: str
    address: str


class CrashView(Protocol):
    """Knows the requests under which upstreams have ended; times in seconds."""

    def count(self, fingerprint: int, now: float) -> int:
        """Return how many upstreams have ended under a request."""
        ...

    def quarantined_for(self, fingerprint: int, now: float) -> float:
        """Return the seconds for which a request may not be sent, 0 if it may."""
        ...


class CrashWatch(CrashView, Protocol):
    """Is told how sent requests end, and finds out which of them crash upstreams."""

    def fingerprint(self, workspace: str, method: str, target: str, body: bytes) -> int:
        """Return the number that names a request over all its copies."""
        ...

    async def async_check_crash(self, sent: SentRequest, retrying: bool) -> None:
        """Find out whether an upstream has ended under a request.

        retrying tells that it is to be sent once more; returns when that is safe.
        """
        ...

    async def async_record_success(self, fingerprint: int) -> None:
        """Take note of a whole answer to a request."""
        ...


class CrashRegister(Protocol):
    """Shows the requests that have crashed upstreams to operators, and clears them."""

    def describe(self) -> Mapping[str, Any]:
        """Return the crashes of each request by its fingerprint."""
        ...

    def has_crashes(self, fingerprint: int) -> bool:
        """Tell whether a request has crashes that count."""
        ...

    async def async_clear(self, fingerprint: int) -> None:
        """Forget the crashes of a request, on all hosts."""
        ...


class HostView(Protocol):
    """A host of the directory; address is its internal one, IP:port."""

    @property
    def address(self) -> str:
        """The address of its internal port."""
        ...

    @property
    def incarnation(self) -> str:
        """New at every start of its process."""
        ...

    @property
    def roles(self) -> tuple[str, ...]:
        """The roles of its process."""
        ...


class DirectoryView(Protocol):
    """The hosts and the owners of pools, as last heard from control."""

    @property
    def hosts_by_name(self) -> Mapping[str, HostView]:
        """The live hosts."""
        ...

    def owner(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, None when nobody has it."""
        ...


class ControlCalls(Protocol):
    """Calls to the leader of control, wherever it is."""

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        """Return the leader's reply, None without one in timeout seconds.

        Without a reply, or with one of status unknown, it is open whether the
        message was carried out.
        """
        ...


class StateMachine(Protocol):
    """What a replicated log drives; deterministic, free of I/O and clocks."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by one that snapshot() returned."""
        ...


class ProposalResult(NamedTuple):
    """How a proposal ended.

    status is committed (result is what apply returned), not-leader (certainly
    not in the log of this leader), or unknown (leadership was lost or time ran
    out after the command had been appended).
    """

    status: str
    result: bytes
    leader: str


class ReplicatedLog(Protocol):
    """A log of commands in the same order on all replicas."""

    async def async_propose(self, command: bytes, timeout: float) -> ProposalResult:
        """Append a command and wait until it is committed and applied."""
        ...

    async def async_confirm(self, timeout: float) -> int | None:
        """Confirm leadership with a quorum.

        Return the commit index as it was when the confirmation began, once it
        is applied; None when this replica is not a leader confirmed in time.
        """
        ...

    async def async_transfer_leadership(self, timeout: float) -> bool:
        """Have another replica lead before this one stops; False if none does."""
        ...

    def is_leader(self) -> bool:
        """Tell whether this replica leads, as far as it knows."""
        ...

    def leader(self) -> str:
        """Return the internal address of the leader, empty when not known."""
        ...

    async def async_wait_for_leader(self, timeout: float) -> None:
        """Return once a leader is known here, or after timeout seconds."""
        ...

    def status(self) -> Mapping[str, Any]:
        """Return term, leader, members, indexes and lags, for the dump."""
        ...


class Metrics(Protocol):
    """Counters and timers, sent on by statsd and kept for the dump."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        ...

    def timing(self, name: str, seconds: float) -> None:
        """Note a duration in seconds."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


Diagnostics = Callable[[], Mapping[str, Any]]
"""A component's share of the dump of a process's state, secrets left out."""
