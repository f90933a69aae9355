"""How long work takes on an upstream's machine now, as its responses state it."""

import math
from typing import NamedTuple

USUAL_PERCENT = 100
MIN_PERCENT = 1
MAX_PERCENT = 10_000

DECAY_SECONDS = 0.3
"""Time constant of the decay of a statement: half of the 0.6 s for which a figure holds
on shared machines, which is what is left of it at a random moment."""


class Statement(NamedTuple):
    """What one response states: how long work takes, 100 as usual, and when."""

    percent: int
    at: float

    @property
    def whole(self) -> float:
        """Return the stated factor on service times."""
        return self.percent / USUAL_PERCENT

    def factor(self, now: float) -> float:
        """Return the expected factor on service times; it decays to 1."""
        age = max(0.0, now - self.at)
        return 1.0 + (self.whole - 1.0) * math.exp(-age / DECAY_SECONDS)

    def mean_factor(self, begin: float, seconds: float) -> float:
        """Return the mean of the expected factor over some seconds from a time on."""
        if seconds <= 0.0:
            return self.factor(begin)
        share = -math.expm1(-seconds / DECAY_SECONDS) * DECAY_SECONDS / seconds
        return 1.0 + (self.factor(begin) - 1.0) * share


def is_valid(percent: int | None) -> bool:
    """Return whether a stated figure can be used."""
    return percent is not None and MIN_PERCENT <= percent <= MAX_PERCENT


class StatedSpeed:
    """The newest statement of an upstream; without one, no estimate changes."""

    def __init__(self) -> None:
        self._statement: Statement | None = None
        self.samples = 0

    @property
    def percent(self) -> int | None:
        """Return the newest stated figure, None without one."""
        return None if self._statement is None else self._statement.percent

    def record(self, percent: int, at: float, now: float) -> None:
        """Record what a response of a given time stated.

        One older than the newest known is ignored, since responses of several hosts
        arrive in any order, and the ends of streams long after their heads.
        """
        at = min(at, now)
        known = self._statement
        if not is_valid(percent) or (known is not None and at < known.at):
            return
        self._statement = Statement(percent, at)
        self.samples += 1

    def age(self, now: float) -> float | None:
        """Return the age of the newest statement in seconds, None without one."""
        return None if self._statement is None else now - self._statement.at

    def factor(self, now: float) -> float:
        """Return the factor on service times now."""
        return 1.0 if self._statement is None else self._statement.factor(now)

    def expected_seconds(self, seconds: float, now: float) -> float:
        """Return the expected time of work that takes some seconds as usual.

        The factor is the mean over these seconds. A stream runs for longer than its
        machine stays slow, so it isn't slowed down as a whole.
        """
        if self._statement is None:
            return seconds
        return seconds * self._statement.mean_factor(now, seconds)


def sample_factor(stated: float, measured: float, expected: float) -> float:
    """Return by how much to divide a measured time, so that it is one as usual.

    A statement that doesn't explain the time is left out: divided by it, the time would
    be further from the expected one. An upstream that states nonsense would otherwise
    seem faster than it is, and attract requests once its statement is old.
    """
    if measured <= 0.0 or expected <= 0.0:
        return 1.0
    error = math.log(measured / expected)
    return stated if abs(error - math.log(stated)) <= abs(error) else 1.0
