"""Interfaces between the components of a process."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, NamedTuple, Protocol

MessageHandler = Callable[[str, Any], Awaitable[Any]]
"""Receives the name of the sending host and a message; may return a reply."""


StreamHandler = Callable[[Any, Any], Awaitable[None]]
"""Receives the socket and the peer of a connection that carries no messages."""


class Links(Protocol):
    """Messages to other hosts, and to this host without a socket."""

    def handle(self, cls: type, handler: MessageHandler) -> Callable[[], None]:
        """Register the handler of a message type; return a function to remove it."""
        ...

    def add_disconnect_listener(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Register a callback that is awaited when a connection to a peer ends."""
        ...

    def incarnation(self, host: str) -> str:
        """Return which process of a host connected last, empty if none has."""
        ...

    def handle_streams(
        self, purpose: str, handler: StreamHandler
    ) -> Callable[[], None]:
        """Register the handler of connections that carry no messages.

        The socket is closed after it. Return a function to remove it.
        """
        ...

    async def async_open_stream(self, address: str, purpose: str) -> Any:
        """Return a new connection to a peer that carries no messages.

        Raise OSError, ValueError or links.errors.HandshakeError.
        """
        ...

    async def async_send(self, address: str, message: Any) -> bool:
        """Send without a reply; return False if it was certainly not sent."""
        ...

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        """Send and return the reply.

        Raise LinkError if the peer can't be reached or does not reply within timeout
        seconds; it may have received the message then.
        """
        ...


class Ownership(NamedTuple):
    """The owner of a pool: host name, internal address and ownership epoch.

    incarnation is set where owners are computed from membership; it distinguishes the
    owner from an earlier process on the same host.
    """

    host: str
    address: str
    epoch: int
    incarnation: str = ""


class Lease(Protocol):
    """The configuration lease of this node, checked at the time of use."""

    def valid(self) -> bool:
        """Return whether the node may accept and send work now."""
        ...


class ConfigView(Protocol):
    """The configuration in force on this node."""

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        ...

    @property
    def config(self) -> "Any":
        """The parsed configuration, a components.config.models.Config."""
        ...

    @property
    def in_force_since(self) -> float | None:
        """When this version came into force by the clock, None before the first."""
        ...


class UpstreamsView(Protocol):
    """The upstreams registered with control, as last received."""

    @property
    def version(self) -> int:
        """Grows with every change, 0 before the first list."""
        ...

    @property
    def by_name(self) -> "Mapping[str, Any]":
        """The announcements, messages.Announce by upstream name."""
        ...


class VersionsView(Protocol):
    """Which upstream versions may get requests, as last received from control."""

    @property
    def version(self) -> int:
        """Grows with every change, 0 before the first list."""
        ...

    def rules(self, service: str) -> "Any":
        """Return the components.rollouts.models.VersionRules of a service."""
        ...

    def may_run(self, service: str, labels: Mapping[str, str]) -> bool:
        """Return whether upstreams with these labels may get requests of a service."""
        ...


class SentRequest(NamedTuple):
    """A request that was sent to a process of an upstream; address is IP:port.

    fingerprint is the same for each copy of the request. parts has the fingerprints of
    the parts of its prompt that may be at fault if the upstream has crashed. sent_at is
    on this process's clock, None if it isn't known.
    """

    request_id: str
    fingerprint: int
    upstream: str
    incarnation: str
    address: str
    parts: tuple[int, ...] = ()
    workspace: str = ""
    pool: str = ""
    sent_at: float | None = None


class Conviction(NamedTuple):
    """Why a request is kept from upstreams: a fingerprint that it holds.

    crashes is the number of upstreams that have crashed under it, seconds the time
    until it may be tried again. blocked is set if an operator keeps it from them.
    """

    fingerprint: int
    crashes: int
    seconds: float
    blocked: bool = False


class CrashView(Protocol):
    """The fingerprints under which upstreams crashed; times in seconds.

    A request has fingerprints of its own and of each part of its prompt.
    """

    @property
    def any(self) -> bool:
        """Return whether there may be any crashes."""
        ...

    @property
    def highest_count(self) -> int:
        """Return how many upstreams have crashed under one fingerprint at most."""
        ...

    def count(self, fingerprint: int, now: float) -> int:
        """Return how many upstreams have crashed under a fingerprint."""
        ...

    def upstreams(self, fingerprint: int, since: float) -> frozenset[str]:
        """Return the upstreams that have crashed under a fingerprint since a time."""
        ...

    def conviction(self, fingerprints: Sequence[int], now: float) -> Conviction | None:
        """Return why a request with these fingerprints may not be sent, if so."""
        ...


class ProcessProbes(Protocol):
    """Asks whether the process that a request was sent to has ended."""

    async def async_confirm_refusal(self, sent: SentRequest) -> bool:
        """Return whether other hosts' connections to an upstream are refused as well.

        Without other hosts there is no doubt, and the result is True.
        """
        ...

    async def async_is_replaced(self, sent: SentRequest) -> bool:
        """Return whether another process answers at the address of an upstream."""
        ...


class CrashWatch(CrashView, Protocol):
    """Receives the ends of sent requests and detects which ones crash upstreams."""

    def fingerprint(
        self,
        workspace: str,
        method: str,
        target: str,
        body: bytes,
        part_ids: tuple[bytes, ...] = (),
    ) -> int:
        """Return a number that identifies a request and all its copies."""
        ...

    def part_fingerprints(
        self, pool: str, part_ids: tuple[bytes, ...]
    ) -> tuple[int, ...]:
        """Return numbers that identify the parts of a prompt in all its requests."""
        ...

    async def async_check_crash(
        self, sent: SentRequest, retrying: bool, probes: ProcessProbes
    ) -> None:
        """Check whether an upstream crashed while it ran a request.

        With retrying, the request is to be sent again; return once that is safe.
        """
        ...

    async def async_record_success(self, *fingerprints: int) -> None:
        """Record a response that shows that these don't crash their upstream."""
        ...

    def has_crashes(self, fingerprint: int) -> bool:
        """Return whether any crashes are stored for a fingerprint."""
        ...

    def crashed_at(self, fingerprint: int) -> float:
        """Return when the latest upstream crashed under a fingerprint that has some."""
        ...

    def add_listener(
        self, listener: Callable[[frozenset[int]], Awaitable[None]]
    ) -> None:
        """Add a callback for fingerprints whose crash history changes."""
        ...


class CrashRegister(Protocol):
    """The requests that crashed upstreams, for operators to list and clear."""

    def describe(self) -> Mapping[str, Any]:
        """Return the crashes of each request by its fingerprint."""
        ...

    def has_crashes(self, fingerprint: int) -> bool:
        """Return whether a request has crashes that count."""
        ...

    def is_blocked(self, fingerprint: int) -> bool:
        """Return whether an operator keeps a request from upstreams."""
        ...

    async def async_block(self, fingerprint: int, seconds: float) -> None:
        """Keep a request, or requests with a part, from upstreams on all hosts."""
        ...

    async def async_release(self, fingerprint: int) -> None:
        """Clear the crashes of a request, and its block, on all hosts."""
        ...


class StreamOrigin(NamedTuple):
    """What began a stream: the service, as its pool, and its software version.

    source says from where it is known. age is the time in seconds since the stream's
    last event, None if it isn't known.
    """

    pool: str
    version: str
    source: str
    age: float | None


class UnknownOrigin(NamedTuple):
    """Why it isn't known what began a stream; final if it never will be."""

    final: bool
    detail: str


class StreamVersions(Protocol):
    """Which service and software version began a stream.

    first_id is the id of the caller's attempt that brought the first event, and route
    the components.config.models.Route of the request.
    """

    async def async_record(
        self, route: Any, first_id: str, pool: str, version: str
    ) -> None:
        """Record that a caller gets an event of a stream."""
        ...

    async def async_find(
        self, route: Any, first_id: str
    ) -> StreamOrigin | UnknownOrigin:
        """Return what began a stream, or why it isn't known."""
        ...


class HostView(Protocol):
    """A host of the directory."""

    @property
    def address(self) -> str:
        """The internal address, IP:port."""
        ...

    @property
    def incarnation(self) -> str:
        """Identifies one run of its process; new at each start."""
        ...

    @property
    def roles(self) -> tuple[str, ...]:
        """The roles of its process."""
        ...

    @property
    def zone(self) -> str:
        """The availability zone."""
        ...


class DirectoryView(Protocol):
    """The hosts and the pool owners, as last received from control."""

    @property
    def hosts_by_name(self) -> Mapping[str, HostView]:
        """The live hosts."""
        ...

    def owner(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, None if it has none."""
        ...


class ControlCalls(Protocol):
    """Calls to the leader of control, whichever host that is."""

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        """Return the leader's reply, None if there is none within timeout seconds.

        Without a reply, or with status unknown, the message may or may not have been
        executed.
        """
        ...


class StateMachine(Protocol):
    """A deterministic state machine without I/O or clocks, for a replicated log."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the complete state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state with one that snapshot() returned."""
        ...


class ProposalResult(NamedTuple):
    """The outcome of a proposal.

    status is committed (result is what apply() returned), not-leader (certainly not
    appended by this replica), full (not appended, as too many bytes wait to be applied)
    or unknown (leadership was lost or the timeout expired after the command was
    appended).
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

        Return the commit index from the start of the confirmation once it is applied,
        or None if this replica was not confirmed as leader in time.
        """
        ...

    async def async_transfer_leadership(self, timeout: float) -> bool:
        """Transfer leadership before this replica stops; False if it fails."""
        ...

    def is_leader(self) -> bool:
        """Return whether this replica believes itself to be the leader."""
        ...

    def leader(self) -> str:
        """Return the internal address of the leader, empty if unknown."""
        ...

    async def async_wait_for_leader(self, timeout: float) -> None:
        """Wait until this replica knows a leader, at most timeout seconds."""
        ...

    def status(self) -> Mapping[str, Any]:
        """Return term, leader, members, indexes and lags, for the dump."""
        ...


class Metrics(Protocol):
    """Counters, timers and gauges, kept for the state dump and sent to statsd."""

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        ...

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        ...


Diagnostics = Callable[[], Mapping[str, Any]]
"""Returns a component's section of the state dump, without secrets."""
