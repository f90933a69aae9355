"""What the parts of a process hold, in bytes."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bitterntiller.core.interfaces import Metrics

Size = Callable[[], int]
"""Returns the bytes that a part holds now; called several times a second."""

_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Holder(NamedTuple):
    """A part that holds data; bound is its limit in bytes, 0 without one."""

    size: Size
    bound: int


class HeldBytes(NamedTuple):
    """What a part holds now and held at most when measured, and its limit."""

    now: int
    most: int
    bound: int


class MemoryHolders:
    """The parts of a process that hold data, by name."""

    def __init__(self) -> None:
        self._holders_by_name: dict[str, Holder] = {}
        self._most_by_name: dict[str, int] = {}
        self.most_resident = 0

    def add(self, name: str, size: Size, bound: int = 0) -> None:
        """Register a part; its name becomes part of the names of gauges."""
        self._holders_by_name[name] = Holder(size, bound)

    def measure(self) -> dict[str, HeldBytes]:
        """Return what each part holds, by name."""
        held_by_name = {}
        for name, holder in self._holders_by_name.items():
            now = holder.size()
            most = max(now, self._most_by_name.get(name, 0))
            self._most_by_name[name] = most
            held_by_name[name] = HeldBytes(now, most, holder.bound)
        self.most_resident = max(self.most_resident, resident_bytes())
        return held_by_name

    def report(self, metrics: Metrics) -> None:
        """Set a gauge of the bytes and one of the most bytes of each part."""
        for name, held in self.measure().items():
            metrics.gauge(f"memory.held.{name}", held.now)
            metrics.gauge(f"memory.most.{name}", held.most)
        metrics.gauge("memory.resident", resident_bytes())
        metrics.gauge("memory.most_resident", self.most_resident)


def resident_bytes() -> int:
    """Return the resident size of this process, 0 if the system doesn't tell it."""
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
