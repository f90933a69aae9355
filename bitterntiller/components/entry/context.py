"""What the filters of the pipeline share in one process."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from bitterntiller.components.config.models import Workspace
from bitterntiller.components.entry.dialect import HttpDialect
from bitterntiller.components.entry.native_dialect import NativeDialect
from bitterntiller.components.entry.quota import QuotaHold
from bitterntiller.components.entry.quota_client import QuotaRequest, QuotaVerdict
from bitterntiller.components.entry.rate_limits import RateLimitCache
from bitterntiller.components.entry.response_times import ResponseTimes
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.clock import Clock, RuntimeClock
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    CrashWatch,
    DirectoryView,
    Lease,
    Links,
    Metrics,
    VersionsView,
)

UNPOOLED_CONNECTIONS = ConnectionPool(RuntimeClock())
"""Opens a connection for each exchange and keeps none."""


DISABLED_RATE_LIMIT_CACHE = RateLimitCache(most=0)
"""Keeps nothing, for a context without a part that hands limits over."""


class QuotaGate(Protocol):
    """Counts what the requests of workspaces use, over all hosts."""

    async def async_hold(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold what a request would use, or tell when to come back."""
        ...

    async def async_hold_repeat(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold an amount for a request that has run already, if there is room."""
        ...

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Tell whether async_hold_repeat would probably hold an amount now."""
        ...

    def release(self, hold: QuotaHold) -> None:
        """Give back what was held for a request that ends without a sending."""
        ...

    def spend(self, workspace: Workspace, amount: int, hold: QuotaHold | None) -> None:
        """Count a sending, for which its amount or nothing was held."""
        ...


class DepartingView(Protocol):
    """Knows which upstreams are to get no more work, as this host has heard."""

    def is_departing(self, name: str) -> bool:
        """Tell whether an upstream leaves or has left."""
        ...

    def labels(self, name: str) -> Mapping[str, str]:
        """Return the labels of an upstream, none for an unheard one."""
        ...


class Context(NamedTuple):
    """The parts of the process that the entry role meets."""

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
    versions: VersionsView | None = None
