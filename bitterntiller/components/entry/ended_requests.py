"""A log of requests that ended on this host, until each owner has acknowledged them.

The end of a request is sent once, and the message is lost if its link breaks. The owner
then counts the request as running: it occupies a slot, and during its presumed prefill
the upstream gets no other request. So each report to an owner repeats the ids until a
report is acknowledged. Owners that receive no reports are sent the ids several times.
"""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from bitterntiller.core.acknowledged import AcknowledgedPositions

GRACE_SECONDS = 0.3
"""Age in seconds from which an end is reported. The Finished message of the request
carries more and should arrive first: it is ignored once the owner dropped the request.
"""

KEPT_SECONDS = 12.0
"""How long ends are kept. By then the owner has received a full list of live requests:
one is sent every 5 s and does not cover requests that began within the last 5 s."""


class EndedRequest(NamedTuple):
    """One ended request; number is its sequence number on this host."""

    number: int
    at: float
    request_id: str


REPEATED_SECONDS = 3.0
"""How long an end is resent to owners that don't acknowledge: longer than it takes to
detect a broken link and to reconnect."""


class UnacknowledgedEnds(NamedTuple):
    """The request ids to send to an owner, and the number of the last one."""

    request_ids: list[str]
    upto: int


class EndedRequestLog:
    """Stores ended requests and the position that each owner has acknowledged."""

    def __init__(self) -> None:
        self._number = 0
        self._endings: deque[EndedRequest] = deque()
        self._acknowledged = AcknowledgedPositions()

    def add(self, request_id: str, now: float) -> None:
        """Record the end of a request."""
        self._number += 1
        self._endings.append(EndedRequest(self._number, now, request_id))
        while self._endings[0].at < now - KEPT_SECONDS:
            self._endings.popleft()

    def unacknowledged(
        self, owner: str, live: Collection[str], now: float
    ) -> UnacknowledgedEnds:
        """Return the ends that an owner has not acknowledged.

        owner identifies one process of the owner's host. An id that is live again is
        left out: the caller has sent a new request with it.
        """
        upto = self._acknowledged.position(owner)
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
        """Return the ids of recent ends, for owners that don't acknowledge."""
        return [
            ending.request_id
            for ending in self._endings
            if GRACE_SECONDS <= now - ending.at <= REPEATED_SECONDS
            and ending.request_id not in live
        ]

    def record_acknowledged(self, owner: str, ends: UnacknowledgedEnds) -> None:
        """Record that an owner has acknowledged a report with these ends."""
        self._acknowledged.record(owner, ends.upto)
