"""The event loop of an experiment, on a clock that moves from event to event."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

from bitterntiller.core.clock import ManualClock


class EventLoop:
    """Runs actions in the order of their times; equal times in order of entry."""

    def __init__(self) -> None:
        self.clock = ManualClock(0.0)
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = count()

    def now(self) -> float:
        """Return the present time in seconds."""
        return self.clock.now()

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        """Have an action run at a point in time, at once if that has passed."""
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def after(self, seconds: float, action: Callable[..., None], *args: Any) -> None:
        """Have an action run in some seconds."""
        self.at(self.now() + seconds, action, *args)

    def run(self, until: float) -> None:
        """Run all events up to a point in time."""
        while self._events and self._events[0][0] <= until:
            when, _, action, args = heapq.heappop(self._events)
            self.clock.advance(max(0.0, when - self.clock.now()))
            action(*args)
