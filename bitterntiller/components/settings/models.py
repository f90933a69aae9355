"""The checked settings of one process, as all other parts see them."""

from pathlib import Path
from typing import NamedTuple


class Address(NamedTuple):
    """An IP number and a TCP or UDP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class Listen(NamedTuple):
    """Where the process listens, and where peers reach its internal port.

    advertised is None when peers reach it where it listens. metrics is None when they
    are not served.
    """

    caller: Address
    internal: Address
    operator: Address
    advertised: Address | None = None
    metrics: Address | None = None

    @property
    def peer_address(self) -> Address:
        """Return the internal address that this process's peers call."""
        return self.advertised or self.internal


class Keys(NamedTuple):
    """The keys read from the files that the settings name; never dumped."""

    operator: bytes
    internal: bytes
    upstream: bytes


class Limits(NamedTuple):
    """Bounds on what callers can make the host hold; bytes and counts."""

    head_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    connections: int = 2000
    connections_per_workspace: int = 1000
    waiting_bytes: int = 256 * 1024 * 1024
    reserved_fraction: float = 0.25


class Timings(NamedTuple):
    """Timeouts and periods, in seconds."""

    head: float = 10.0
    body: float = 30.0
    caller_write: float = 30.0
    keep_alive: float = 75.0
    upstream_connect: float = 1.0
    upstream_first_byte: float = 120.0
    upstream_idle: float = 30.0
    heartbeat: float = 0.5
    lease: float = 3.0
    link_call: float = 2.0
    owner_settle: float = 1.0
    owner_lease: float = 4.0
    shutdown: float = 600.0
    election_min: float = 0.6
    election_max: float = 1.2
    raft_heartbeat: float = 0.15
    leaderless: float = 10.0
    upstream_silent: float = 4.0
    upstream_gone: float = 30.0
    claim_age: float = 86400.0
    change_id_age: float = 604800.0


class Bucket(NamedTuple):
    """A token bucket: it refills at rate a second, up to depth."""

    rate: float
    depth: float


MAX_DEPTH_FRACTION = 0.25
"""Part of what a span allows that a workspace may use at one moment, where its burst is
smaller."""

RETRY_OVERDRAFT_FRACTION = 0.02
"""Part of a quota by which repeats may exceed it: the requests were within it when they
were let through. Deployments have hosts keep within somewhat less than they allow."""


class QuotaWindow(NamedTuple):
    """How the use of quotas is counted over time; the deployment tells.

    In any span of seconds a workspace may use factor times what its rate and burst give
    for it, and besides in addition. Counts of several hosts are some tenths of a second
    old, so a deployment has hosts keep within what it really allows.
    """

    seconds: float = 1.0
    factor: float = 1.0
    besides: float = 0.0

    def limit(self, rate: float, burst: float) -> float:
        """Return what may be used in one span, for a quota's rate and burst."""
        return (rate * self.seconds + burst) * self.factor + self.besides

    def bucket(self, rate: float, burst: float) -> Bucket:
        """Return the token bucket that stays within the limit of each span.

        It refills at the quota's rate, and what the span allows beyond that is its
        depth; where that is less than the burst, both shrink alike. A span that allows
        far more than the rate gives is used up evenly: a bucket deeper than DEPTH_PART
        of it would be emptied once, and after that a part of each span never be used.
        """
        most = self.limit(rate, burst)
        depth = most - rate * self.seconds
        if depth >= burst:
            depth = min(depth, max(burst, MAX_DEPTH_FRACTION * most))
            return Bucket((most - depth) / self.seconds, depth)
        part = most / max(rate * self.seconds + burst, 1e-9)
        return Bucket(rate * part, burst * part)


class RolloutBounds(NamedTuple):
    """What a new version of a service's upstreams may get before it is found good.

    fraction of the requests that reach the service since the order, and tolerance
    besides, over all hosts together. ordered_only tells that a version serves by an
    order only; otherwise any version serves that no rollout has to do with.
    """

    fraction: float = 0.1
    tolerance: int = 50
    ordered_only: bool = False


class Control(NamedTuple):
    """Control as one process knows it.

    addresses are internal addresses of hosts that have, or may have, a replica.
    bootstrap names the hosts of the first membership, or their internal addresses;
    it is used once, when the data folder is empty and the deployment is new.
    voters is how many voters the leader makes of the hosts that join; 0 leaves
    that to commands.
    """

    addresses: tuple[Address, ...]
    bootstrap: tuple[str, ...] = ()
    snapshot_entries: int = 10000
    voters: int = 0


class Settings(NamedTuple):
    """Everything a process is told at its start."""

    host: str
    zone: str
    region: str
    roles: tuple[str, ...]
    listen: Listen
    keys: Keys
    control: Control
    data_folder: Path | None
    statsd: Address | None
    limits: Limits = Limits()
    timings: Timings = Timings()
    log_level: str = "info"
    quota_window: QuotaWindow = QuotaWindow()
    rollouts: RolloutBounds = RolloutBounds()
