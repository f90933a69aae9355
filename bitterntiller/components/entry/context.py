"""What the filters of the pipeline share in one process."""

from typing import NamedTuple, Protocol

from bitterntiller.components.config.models import Workspace
from bitterntiller.components.entry.interface import Interface
from bitterntiller.components.entry.native import NativeInterface
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.clock import Clock, RuntimeClock
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    DirectoryView,
    Lease,
    Links,
    Metrics,
)

UNKEPT = ConnectionPool(RuntimeClock())
"""Opens a connection for each exchange and keeps none."""


class QuotaGate(Protocol):
    """Counts what the requests of workspaces use, over all hosts."""

    def take(self, workspace: Workspace, amount: int) -> float:
        """Take an amount from a quota; return 0, or the seconds until it is there."""
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
    interface: Interface = NativeInterface()
    connections: ConnectionPool = UNKEPT
    quota: QuotaGate | None = None
