"""The one place where product code reads the time."""

import time
from typing import Protocol

MAX_CLOCK_DRIFT = 0.01
"""The part by which the rates of two hosts' clocks may differ at most.

Quartz clocks differ by less than 0.0002, and clock discipline by up to 0.0005.
"""


class Clock(Protocol):
    """Tells the time in seconds from an unstated beginning, never going back."""

    def now(self) -> float:
        """Return the present time in seconds."""
        ...


class RuntimeClock:
    """The clock of the machine, which goes on while the process or host sleeps.

    A lease must also have run out when a suspended virtual machine wakes up.
    The monotonic clock stands still while the machine is suspended, so a lease
    measured by it would seem fresh after hours; the boot-time clock does not.
    """

    def now(self) -> float:
        """Return the seconds since the machine was started, sleep included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when it is told to; for tests and experiments."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the present time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the time forward by some seconds."""
        if seconds < 0:
            raise ValueError("a clock does not go back")
        self._now += seconds
