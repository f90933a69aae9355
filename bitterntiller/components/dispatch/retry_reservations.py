"""The room that is kept for requests that return at the time they were told."""

from collections import deque
from typing import NamedTuple

RETURNS_PART = 0.25
"""Part of the rate that is kept for requests that return at their time. With all of it,
a workspace far over its quota would have every request served late, at its return."""

RETURN_GRACE_SECONDS = 0.5
"""How long after its time room is kept for a request that returns: a new connection and
its caller's own timer take some of it."""

EARLY_SECONDS = 0.05
"""How much before its time a request may return; timers of callers are not exact."""

LEAST_RETURN_SECONDS = 0.2
MOST_RETURN_SECONDS = 30.0
"""Seconds that a caller over its workspace's quota is told to wait."""

MOST_RESERVATIONS = 1000
"""Returns of one workspace for which room is kept; it bounds their memory."""


class RetryReservation(NamedTuple):
    """Room that is kept for a return, from due until grace has passed.

    retry_fingerprint is equal for a request and its later copies.
    """

    retry_fingerprint: int
    amount: int
    due: float


class Refused(NamedTuple):
    """When a request may return, in seconds, and whether room is kept for it then."""

    retry_after: float
    retry_reserved: bool


class RetryReservations:
    """The returns that one workspace's requests were promised, by their times."""

    def __init__(self) -> None:
        self._reservations: deque[RetryReservation] = deque()
        self._reserved_until = 0.0

    def awaited(self, now: float) -> bool:
        """Tell whether any return is awaited."""
        self._drop_missed(now)
        return bool(self._reservations)

    def reserve(
        self, reservation: RetryReservation, latest: float, rate: float, now: float
    ) -> Refused:
        """Keep room for a return at reservation.due or later; tell when.

        latest is the latest time at which the caller would return; no room is kept
        beyond it. rate is that of the quota, in its unit a second.
        """
        alike = (
            item
            for item in self._reservations
            if item.retry_fingerprint == reservation.retry_fingerprint
        )
        earlier = next(alike, None)
        if earlier is not None and earlier.due > now:
            return Refused(earlier.due - now, True)
        due = max(reservation.due, now + LEAST_RETURN_SECONDS, self._reserved_until)
        after = due - now
        latest = min(latest, now + MOST_RETURN_SECONDS)
        if due > latest or len(self._reservations) >= MOST_RESERVATIONS:
            return Refused(min(after, MOST_RETURN_SECONDS), False)
        self._reserved_until = due + reservation.amount / max(RETURNS_PART * rate, 1e-9)
        self._reservations.append(reservation._replace(due=due))
        return Refused(after, True)

    def take(self, retry_fingerprint: int, now: float) -> bool:
        """Use the room that is kept for a request, if it returns at its time."""
        self._drop_missed(now)
        for reservation in self._reservations:
            if reservation.due > now + EARLY_SECONDS:
                return False
            if reservation.retry_fingerprint == retry_fingerprint:
                self._reservations.remove(reservation)
                return True
        return False

    def kept(self, rate: float, largest: float, now: float) -> float:
        """Return what must be left now for all returns to find room at their times.

        What comes back to the quota until then needs not be left now. Bookings are in
        the order of their times, and less is promised between two of them than comes
        back: once that is as much as the largest in advance, later ones need nothing.
        """
        self._drop_missed(now)
        kept = amount = 0.0
        for reservation in self._reservations:
            amount += reservation.amount
            comes_back = rate * max(0.0, reservation.due - now)
            kept = max(kept, amount - comes_back)
            if comes_back >= amount + largest:
                break
        return kept

    def _drop_missed(self, now: float) -> None:
        oldest = now - RETURN_GRACE_SECONDS
        while self._reservations and self._reservations[0].due < oldest:
            self._reservations.popleft()
