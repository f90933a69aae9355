"""Clocks; product code reads the time only through them."""

import time
from typing import Protocol

MAX_CLOCK_DRIFT = 0.01
"""Largest difference between the clock rates of two hosts, as a fraction.

Quartz clocks differ by less than 0.0002, and clock discipline adds up to 0.0005.
"""


class Clock(Protocol):
    """A monotonic clock, in seconds from an unspecified start."""

    def now(self) -> float:
        """Return the current time in seconds."""
        ...


class RuntimeClock:
    """The boot-time clock of the machine, which includes time spent suspended.

    A lease must have expired when a suspended virtual machine resumes. The monotonic
    clock stops during suspension, so a lease measured by it would still appear valid
    after hours.
    """

    def now(self) -> float:
        """Return the seconds since boot, including time suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that advances only on request, for tests and experiments."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the time by some seconds."""
        if seconds < 0:
            raise ValueError("the clock can't be moved back")
        self._now += seconds
