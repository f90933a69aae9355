"""The event loop of a simulation; its clock advances from event to event."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from bitterntiller.core.clock import ManualClock


class EventLoop:
    """Runs actions in order of time, and of insertion if the times are equal."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = count()

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.clock.now()

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action; it runs at once if its time has passed."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def after(self, seconds: float, action: Callable[..., None], *args: Any) -> None:
        """Schedule an action after a number of seconds."""
        self.at(self.now() + seconds, action, *args)

    def run(self, until: float) -> None:
        """Run all events up to a point in time."""
        while self._events and self._events[0][0] <= until:
            when, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            action(*args)
