"""Amounts of a quota that are reserved for retries at the time that was told."""

from collections import deque
from typing import NamedTuple

RETRY_RATE_FRACTION = 0.25
"""Part of the rate that is reserved for retries. With all of it, a workspace far over
its quota would have every request served late, at its retry."""

RETRY_GRACE_SECONDS = 0.5
"""How long after its time a reservation is kept: a new connection and the caller's own
timer take some of it."""

EARLY_RETRY_SECONDS = 0.05
"""How much before its time a retry is accepted; timers of callers are not exact."""

MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 30.0
"""Seconds that a caller over its workspace's quota is told to wait."""

MAX_RESERVATIONS = 1000
"""Reservations of one workspace at most; it bounds their memory."""


class RetryReservation(NamedTuple):
    """An amount that is reserved for a retry, from due until the grace has passed.

    retry_fingerprint is equal for a request and its later copies.
    """

    retry_fingerprint: int
    amount: int
    due: float


class QuotaRefusal(NamedTuple):
    """When to retry, in seconds, and whether the amount is reserved for then."""

    retry_after: float
    retry_reserved: bool


class RetryReservations:
    """The reservations of one workspace, by their times."""

    def __init__(self) -> None:
        self._reservations: deque[RetryReservation] = deque()
        self._reserved_until = 0.0

    def has_pending(self, now: float) -> bool:
        """Tell whether any retry is awaited."""
        self._drop_expired(now)
        return bool(self._reservations)

    def reserve(
        self, reservation: RetryReservation, latest: float, rate: float, now: float
    ) -> QuotaRefusal:
        """Reserve an amount for a retry at reservation.due or later.

        latest is the latest time at which the caller would retry; nothing is reserved
        beyond it. rate is that of the quota, in its unit a second.
        """
        matching = (
            item
            for item in self._reservations
            if item.retry_fingerprint == reservation.retry_fingerprint
        )
        earlier = next(matching, None)
        if earlier is not None and earlier.due > now:
            return QuotaRefusal(earlier.due - now, True)
        due = max(reservation.due, now + MIN_RETRY_AFTER_SECONDS, self._reserved_until)
        retry_after = due - now
        latest = min(latest, now + MAX_RETRY_AFTER_SECONDS)
        if due > latest or len(self._reservations) >= MAX_RESERVATIONS:
            return QuotaRefusal(min(retry_after, MAX_RETRY_AFTER_SECONDS), False)
        self._reserved_until = due + reservation.amount / max(
            RETRY_RATE_FRACTION * rate, 1e-9
        )
        self._reservations.append(reservation._replace(due=due))
        return QuotaRefusal(retry_after, True)

    def redeem(self, retry_fingerprint: int, now: float) -> bool:
        """Use the room that is kept for a request, if it returns at its time."""
        self._drop_expired(now)
        for reservation in self._reservations:
            if reservation.due > now + EARLY_RETRY_SECONDS:
                return False
            if reservation.retry_fingerprint == retry_fingerprint:
                self._reservations.remove(reservation)
                return True
        return False

    def reserved_now(self, rate: float, largest: float, now: float) -> float:
        """Return what must be left now for all returns to find room at their times.

        What comes back to the quota until then needs not be left now. Bookings are in
        the order of their times, and less is promised between two of them than comes
        back: once that is as much as the largest in advance, later ones need nothing.
        """
        self._drop_expired(now)
        reserved_now = amount = 0.0
        for reservation in self._reservations:
            amount += reservation.amount
            refilled = rate * max(0.0, reservation.due - now)
            reserved_now = max(reserved_now, amount - refilled)
            if refilled >= amount + largest:
                break
        return reserved_now

    def _drop_expired(self, now: float) -> None:
        oldest = now - RETRY_GRACE_SECONDS
        while self._reservations and self._reservations[0].due < oldest:
            self._reservations.popleft()
