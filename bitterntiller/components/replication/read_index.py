"""Confirmed reads (ReadIndex): a later heartbeat round proves leadership."""

from typing import NamedTuple

from .models import ReadOutcome


class _Read(NamedTuple):
    token: int
    index: int
    round: int


class PendingReads:
    """Read requests that wait for a heartbeat round to be acknowledged.

    A leader that was deposed without noticing (partitioned, frozen) could return old
    state. A round that began after the request and was acknowledged by a quorum in
    the same term proves that no later leader had committed anything when the request
    arrived.
    """

    def __init__(self) -> None:
        self.round = 0
        self._waiting: list[_Read] = []
        self._new_requests: list[tuple[int, int]] = []

    def add_request(self, token: int, index: int) -> None:
        """Add a request; the next round confirms it."""
        self._new_requests.append((token, index))

    def begin_round(self) -> bool:
        """Begin a round if a request waits for one; return whether one began."""
        if not self._new_requests:
            return False
        self.round += 1
        self._waiting += [
            _Read(t, index, self.round) for t, index in self._new_requests
        ]
        self._new_requests.clear()
        return True

    def resolve(self, round_number: int) -> list[ReadOutcome]:
        """Return the requests confirmed by the round that a quorum has reached."""
        done = [read for read in self._waiting if read.round <= round_number]
        self._waiting = [r for r in self._waiting if r.round > round_number]
        return [ReadOutcome(read.token, read.index) for read in done]

    def fail(self) -> list[ReadOutcome]:
        """Return all requests as not confirmed."""
        tokens = [read.token for read in self._waiting]
        tokens += [token for token, _ in self._new_requests]
        self._waiting.clear()
        self._new_requests.clear()
        return [ReadOutcome(token, None) for token in tokens]
