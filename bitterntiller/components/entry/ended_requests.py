"""Requests that have ended here, until each owner has acknowledged it.

The end of a request is sent once, by a message on a link that may break with it. An
owner that misses it counts the request as running: its slot, and its prefill, before
which nothing else is sent to that upstream. Each report to an owner repeats the ids
until one is answered; owners that get no reports are sent them several times.
"""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from bitterntiller.core.acknowledged import AcknowledgedPositions

GRACE_SECONDS = 0.3
"""How long after its end a request is left out: its own message tells more of it, and
would find it forgotten."""

KEPT_SECONDS = 12.0
"""How long endings are kept: by then a whole list of live requests has been sent, which
goes every five seconds and leaves out what began within five."""


class EndedRequest(NamedTuple):
    """One request that has ended; number counts all of them on this host."""

    number: int
    at: float
    request_id: str


REPEATED_SECONDS = 3.0
"""How long an ending is repeated to owners that don't acknowledge: longer than it takes
to notice a broken link and to dial anew."""


class UnacknowledgedEnds(NamedTuple):
    """The ids to send to an owner, and the number of the last one."""

    request_ids: list[str]
    upto: int


class EndedRequestLog:
    """Remembers what has ended, and what each owner has acknowledged of it."""

    def __init__(self) -> None:
        self._number = 0
        self._endings: deque[EndedRequest] = deque()
        self._acknowledged = AcknowledgedPositions()

    def note(self, request_id: str, now: float) -> None:
        """Note that a request has ended."""
        self._number += 1
        self._endings.append(EndedRequest(self._number, now, request_id))
        while self._endings[0].at < now - KEPT_SECONDS:
            self._endings.popleft()

    def unacknowledged(
        self, owner: str, live: Collection[str], now: float
    ) -> UnacknowledgedEnds:
        """Return what an owner has not acknowledged; owner names one process of it.

        A live request of the same id is left out: it has begun again.
        """
        upto = self._acknowledged.upto(owner)
        ids = []
        for ending in self._endings:
            if ending.number <= upto or ending.at < now - KEPT_SECONDS:
                continue
            if ending.at > now - GRACE_SECONDS:
                break
            upto = ending.number
            if ending.request_id not in live:
                ids.append(ending.request_id)
        return UnacknowledgedEnds(ids, upto)

    def recent(self, live: Collection[str], now: float) -> list[str]:
        """Return the ids of what has ended of late, for owners that don't answer."""
        return [
            ending.request_id
            for ending in self._endings
            if GRACE_SECONDS <= now - ending.at <= REPEATED_SECONDS
            and ending.request_id not in live
        ]

    def note_acknowledged(self, owner: str, ends: UnacknowledgedEnds) -> None:
        """Note that an owner has answered a report with these endings."""
        self._acknowledged.note(owner, ends.upto)
