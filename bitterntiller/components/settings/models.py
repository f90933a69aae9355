"""The validated settings of one process."""

from pathlib import Path
from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a TCP or UDP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class Listen(NamedTuple):
    """Addresses on which the process listens.

    advertised is the address at which peers reach the internal port, None if it is the
    one on which the process listens. metrics is None if metrics are not served.
    """

    caller: Address
    internal: Address
    operator: Address
    advertised: Address | None = None
    metrics: Address | None = None

    @property
    def peer_address(self) -> Address:
        """Return the address at which peers reach the internal port."""
        return self.advertised or self.internal


class Keys(NamedTuple):
    """Keys read from the files named in the settings; never part of a dump."""

    operator: bytes
    internal: bytes
    upstream: bytes


class Limits(NamedTuple):
    """Limits on the resources that callers can use on a host: bytes and counts.

    memory_bytes and disk_bytes are what the process and its data folder may use. The
    limits of what control and the links keep are derived from them.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    connections: int = 2000
    connections_per_workspace: int = 1000
    waiting_bytes: int = 256 * 1024 * 1024
    reserved_fraction: float = 0.25
    memory_bytes: int = 512 * 1024 * 1024
    disk_bytes: int = 512 * 1024 * 1024


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
    config_apply: float = 3.0
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
    """A token bucket that refills with rate per second, up to depth."""

    rate: float
    depth: float


MAX_DEPTH_FRACTION = 0.25
"""Fraction of a window's limit that a workspace may use at once, if its burst is
smaller."""

RETRY_OVERDRAFT_FRACTION = 0.02
"""Fraction by which retries may exceed a quota: their requests were within it when they
were admitted. Deployments configure hosts with somewhat less than they allow."""


class QuotaWindow(NamedTuple):
    """The time window over which quotas are enforced, set by the deployment.

    In any window of this many seconds a workspace may use factor times what its rate
    and burst allow, plus besides. Counts from other hosts are some tenths of a second
    old, so a deployment configures hosts with less than it really allows.
    """

    seconds: float = 1.0
    factor: float = 1.0
    besides: float = 0.0

    def limit(self, rate: float, burst: float) -> float:
        """Return what may be used in one window, for a quota's rate and burst."""
        return (rate * self.seconds + burst) * self.factor + self.besides

    def bucket(self, rate: float, burst: float) -> Bucket:
        """Return the token bucket that stays within the limit of each window.

        It refills at the quota's rate, and its depth is what the limit allows beyond
        that; if that is less than the burst, rate and depth are scaled down alike. If
        the limit is far above the rate, depth is capped and the rate raised instead: a
        bucket deeper than MAX_DEPTH_FRACTION of the limit would be emptied once, and
        after that a part of each window could never be used.
        """
        max_use = self.limit(rate, burst)
        depth = max_use - rate * self.seconds
        if depth >= burst:
            depth = min(depth, max(burst, MAX_DEPTH_FRACTION * max_use))
            return Bucket((max_use - depth) / self.seconds, depth)
        scale = max_use / max(rate * self.seconds + burst, 1e-9)
        return Bucket(rate * scale, burst * scale)


class RolloutBounds(NamedTuple):
    """Bounds on the requests that a candidate version gets before its verdict.

    It gets at most fraction of the requests that reach the service since the order,
    plus tolerance, over all hosts together. With ordered_only, a version serves only
    after an order; otherwise any version serves that is not part of a rollout.
    """

    fraction: float = 0.1
    tolerance: int = 50
    ordered_only: bool = False


class Dispatch(NamedTuple):
    """Settings of the owners of pools.

    uneven_upstreams says when the parts for upstreams of uneven speed are in effect:
    off, stated (once an upstream of the pool has stated a work time) or on.
    """

    uneven_upstreams: str = "off"


class Control(NamedTuple):
    """How a process reaches and forms control.

    addresses are internal addresses of hosts that have, or may have, a replica.
    bootstrap lists the hosts of the initial membership by name or internal address; it
    is used once, when the data folder is empty and the deployment is new. voters is the
    number of voters up to which the leader promotes joining hosts; with 0, only
    commands change the voters.
    """

    addresses: tuple[Address, ...]
    bootstrap: tuple[str, ...] = ()
    snapshot_entries: int = 10000
    voters: int = 0


class Settings(NamedTuple):
    """All settings of a process."""

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
    dispatch: Dispatch = Dispatch()
