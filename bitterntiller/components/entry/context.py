"""What the filters of the pipeline share in one process."""

from typing import NamedTuple

from bitterntiller.components.settings.models import Timings
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import (
    ConfigView,
    ControlCalls,
    DirectoryView,
    Lease,
    Links,
    Metrics,
)


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
