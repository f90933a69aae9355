"""The dependencies that the steps of the pipeline share in one process."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from bitterntiller.components.config.models import Workspace
from bitterntiller.components.entry.dialect import HttpDialect
from bitterntiller.components.entry.incarnations import IncarnationChecks
from bitterntiller.components.entry.native_dialect import NativeDialect
from bitterntiller.components.entry.notices import UpstreamNotices
from bitterntiller.components.entry.quota import QuotaHold
from bitterntiller.components.entry.quota_client import QuotaRequest, QuotaVerdict
from bitterntiller.components.entry.rate_limits import RateLimitCache
from bitterntiller.components.entry.response_times import ResponseTimes
from bitterntiller.components.entry.stop_schedule import StopSchedule
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.settings.models import Timings
from bitterntiller.components.tunnels.connector import Connector, DirectConnector
from bitterntiller.core.clock import Clock, RuntimeClock
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    CrashWatch,
    DirectoryView,
    Lease,
    Links,
    Metrics,
    StreamVersions,
    VersionsView,
)

UNPOOLED_CONNECTIONS = ConnectionPool(RuntimeClock())
"""Opens a connection for each exchange and closes it afterwards."""


DISABLED_RATE_LIMIT_CACHE = RateLimitCache(most=0)
"""Stores nothing; the default for contexts that don't report limits to new owners."""


DISABLED_NOTICES = UpstreamNotices(most=0)
"""Keeps nothing; the default for contexts that send to no upstream."""


NEVER_STOPS = StopSchedule(RuntimeClock(), 0.0)
"""Allows all requests; the default for contexts without a coordinator."""


class QuotaGate(Protocol):
    """Enforces the quotas of workspaces over all hosts."""

    async def async_hold(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold the amount of a request, or return when to retry."""
        ...

    async def async_hold_repeat(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold the amount of a further run of a request, if the quota allows it."""
        ...

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Return whether async_hold_repeat would probably succeed now."""
        ...

    def release(self, hold: QuotaHold) -> None:
        """Release the hold of a request that ends without having been sent."""
        ...

    def spend(self, workspace: Workspace, amount: int, hold: QuotaHold | None) -> None:
        """Record the usage of a run and release its hold, if it has one."""
        ...


class DepartingView(Protocol):
    """A view of the upstreams that this host knows must not get new requests."""

    def is_departing(self, name: str) -> bool:
        """Return whether an upstream is leaving or has left."""
        ...

    def labels(self, name: str) -> Mapping[str, str]:
        """Return the labels of an upstream, empty for an unknown one."""
        ...


class Context(NamedTuple):
    """The parts of the process that the entry role depends on."""

    host: str
    timings: Timings
    clock: Clock
    metrics: Metrics
    links: Links
    lease: Lease
    config: ConfigView
    directory: DirectoryView
    control: ControlCalls
    dialect: HttpDialect = NativeDialect()
    connections: ConnectionPool = UNPOOLED_CONNECTIONS
    quota: QuotaGate | None = None
    response_times: ResponseTimes | None = None
    upstreams: DepartingView | None = None
    crashes: CrashWatch | None = None
    rate_limits: RateLimitCache = DISABLED_RATE_LIMIT_CACHE
    notices: UpstreamNotices = DISABLED_NOTICES
    versions: VersionsView | None = None
    relayed_connector: Connector | None = None
    stream_versions: StreamVersions | None = None
    stop: StopSchedule = NEVER_STOPS
    incarnations: IncarnationChecks | None = None

    @property
    def connector(self) -> Connector:
        """What opens connections to upstreams, directly only if there is no other."""
        return self.relayed_connector or DirectConnector(self.connections)
