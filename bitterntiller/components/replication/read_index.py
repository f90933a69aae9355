"""Confirmed reads: leadership is proved by a round begun after the question."""

from typing import NamedTuple

from .models import ReadOutcome


class _Read(NamedTuple):
    token: int
    index: int
    round: int


class PendingReads:
    """Questions that wait for a round of heartbeats to be acknowledged.

    A leader that was deposed without knowing it (cut off, frozen) could answer
    with an old state. A round that began after the question and was answered by
    a quorum in the same term proves that no later leader had committed
    anything when the question came.
    """

    def __init__(self) -> None:
        self.round = 0
        self._waiting: list[_Read] = []
        self._asked: list[tuple[int, int]] = []

    def add_request(self, token: int, index: int) -> None:
        """Add a question; the next round answers it."""
        self._asked.append((token, index))

    def begin_round(self) -> bool:
        """Begin a round if a question waits for one."""
        if not self._asked:
            return False
        self.round += 1
        self._waiting += [_Read(t, index, self.round) for t, index in self._asked]
        self._asked.clear()
        return True

    def resolve(self, round_number: int) -> list[ReadOutcome]:
        """Return the questions that a quorum's round answers."""
        done = [read for read in self._waiting if read.round <= round_number]
        self._waiting = [r for r in self._waiting if r.round > round_number]
        return [ReadOutcome(read.token, read.index) for read in done]

    def fail(self) -> list[ReadOutcome]:
        """Return all questions as unanswered."""
        tokens = [read.token for read in self._waiting]
        tokens += [token for token, _ in self._asked]
        self._waiting.clear()
        self._asked.clear()
        return [ReadOutcome(token, None) for token in tokens]
