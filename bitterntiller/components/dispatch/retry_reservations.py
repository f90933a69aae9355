"""Amounts of a quota that are reserved for retries at the time stated to callers."""

from collections import deque
from typing import NamedTuple

RETRY_RATE_FRACTION = 0.25
"""Fraction of the quota's rate that is reserved for retries. With all of it, every
request of a workspace far over its quota would be served late, on its retry."""

RETRY_GRACE_SECONDS = 0.5
"""How long after its due time a reservation is kept. A new connection and the caller's
timer take some of this."""

EARLY_RETRY_SECONDS = 0.05
"""How early a retry is accepted, since timers of callers are not exact."""

MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 30.0
"""Bounds of the Retry-After of requests over their workspace's quota."""

MAX_RESERVATIONS = 1000
"""Reservations per workspace; bounds their memory."""


class RetryReservation(NamedTuple):
    """An amount reserved for a retry from its due time until the end of the grace time.

    retry_fingerprint is equal for a request and its retries.
    """

    retry_fingerprint: int
    amount: int
    due: float


class QuotaRefusal(NamedTuple):
    """Seconds until the retry, and whether an amount is reserved for it."""

    retry_after: float
    retry_reserved: bool


class RetryReservations:
    """The reservations of one workspace, in order of their due times."""

    def __init__(self) -> None:
        self._reservations: deque[RetryReservation] = deque()
        self._reserved_until = 0.0

    def has_pending(self, now: float) -> bool:
        """Return whether any reservation is pending."""
        self._drop_expired(now)
        return bool(self._reservations)

    def reserve(
        self, reservation: RetryReservation, latest: float, rate: float, now: float
    ) -> QuotaRefusal:
        """Reserve an amount for a retry at reservation.due or later.

        latest is the latest time at which the caller would retry; nothing is reserved
        after it. rate is the quota's rate, in its unit per second.
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
        """Use the reservation of a retried request; return whether one is due."""
        self._drop_expired(now)
        for reservation in self._reservations:
            if reservation.due > now + EARLY_RETRY_SECONDS:
                return False
            if reservation.retry_fingerprint == retry_fingerprint:
                self._reservations.remove(reservation)
                return True
        return False

    def reserved_now(self, rate: float, largest: float, now: float) -> float:
        """Return the amount that must remain now for all reservations to be met.

        What the quota regains until a reservation is due need not remain now.
        Reservations are in order of due time, and less is reserved between two of them
        than the quota regains: once it has regained the largest request in advance,
        later reservations need nothing now.
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
