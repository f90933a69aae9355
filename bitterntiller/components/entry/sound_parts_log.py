"""The parts of prompts that recently ended requests proved to be sound."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

KEPT_SECONDS = 2.0
"""A crash that took place meanwhile is known some tenths of a second later."""


class SoundEnd(NamedTuple):
    """The end of a request whose response shows that its parts are sound."""

    at: float
    parts: tuple[int, ...]


class SoundPartsLog:
    """Stores such ends for KEPT_SECONDS, oldest first."""

    def __init__(self) -> None:
        self._ends: deque[SoundEnd] = deque()

    def __iter__(self) -> Iterator[SoundEnd]:
        """Iterate over the ends."""
        return iter(self._ends)

    def add(self, parts: tuple[int, ...], now: float) -> None:
        """Add the end of a request."""
        if parts:
            self._ends.append(SoundEnd(now, parts))
        while self._ends and now - self._ends[0].at > KEPT_SECONDS:
            self._ends.popleft()
