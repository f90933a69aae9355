"""The queue of requests that exceed a workspace's quota.

A request is admitted at once if the queue is empty and enough of the quota remains.
Other requests wait in order of arrival for as long as they can still meet their
objective. If the queue is too long for that, they are refused at once with a time to
retry, for which an amount is reserved where possible.

Requests of a kind that uses less than its fair share of the quota's rate are not
queued: refusing calls that count little would gain next to nothing for long prompts.

All other requests are treated alike whatever their size: the head of the queue is
admitted when the remaining quota suffices for the largest recent request, and the limit
on the queue's length is the same for all. If every request that fits were admitted,
small requests would use up each amount that becomes available, and the largest ones
would hardly ever be admitted.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.components.dispatch.quotas import QuotaState
from bitterntiller.components.dispatch.retry_reservations import (
    MAX_RETRY_AFTER_SECONDS,
    QuotaRefusal,
    RetryReservation,
    RetryReservations,
)
from bitterntiller.core.decaying import DecayingSum, WindowedMaximum

LARGEST_REQUEST_SECONDS = 30.0
"""Time window over which the largest request of a workspace is determined."""

LARGEST_REQUEST_FRACTION = 0.1
"""Upper bound, as a fraction of the quota, of the amount that the head of the queue
waits for on behalf of the largest request. That amount stays unused while a workspace
exceeds its quota, and without the bound a single larger request would block all others
of a small quota."""

SHARE_SECONDS = 2.0
"""Decay time of the amounts requested per kind: longer than the gaps between requests
of a workspace, shorter than most bursts."""

MAX_KINDS = 64
"""Kinds tracked separately per workspace; further ones share one counter."""

BUCKET_FRACTION = 0.5
"""Upper bound, as a fraction of the bucket's depth, of the amount that the head of the
queue waits for; lending to hosts leaves as much in the bucket. A larger request makes
the bucket's level negative."""

MAX_QUEUED = 1000
"""Queued requests per workspace; further ones are refused."""


class QuotaRequest(NamedTuple):
    """A request for an amount of a workspace's quota.

    patience is how long the request may wait, and latest_retry the latest retry that
    its caller would make, both in seconds from now. retry_fingerprint is equal for a
    request and its retries. reservation is the host's number for the reservation. A
    quota is shared between the kinds of requests of a workspace.
    """

    host: str
    reservation: int
    request_id: str
    workspace: str
    amount: int
    patience: float
    latest_retry: float
    retry_fingerprint: int
    kind: str = ""


class QueuedRequest(NamedTuple):
    """A queued request, and the amount that was queued ahead of it."""

    request: QuotaRequest
    queued_at: float
    expires_at: float
    ahead: int


def max_min_share(requested_amounts: Iterable[float], total: float) -> float:
    """Return the max-min fair share of a total.

    Whoever requests less than an even share leaves the rest of it to the others.
    """
    remaining = total
    ascending = sorted(requested_amounts)
    for number, amount in enumerate(ascending):
        share = remaining / (len(ascending) - number)
        if amount > share:
            return share
        remaining -= amount
    return total


class QuotaQueue:
    """The queue of one workspace and its reservations for retries."""

    def __init__(self) -> None:
        self._queue: deque[QueuedRequest] = deque()
        self._queued_amount = 0
        self._reservations = RetryReservations()
        self._largest = WindowedMaximum(LARGEST_REQUEST_SECONDS)
        self._requested_by_kind: dict[str, DecayingSum] = {}

    @property
    def queued_amount(self) -> int:
        """Return the sum of the amounts in the queue."""
        return self._queued_amount

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is queued, reserved or recently requested."""
        has_pending = self._queue or self._reservations.has_pending(now)
        return not has_pending and not self._largest.maximum(now)

    def submit(
        self, request: QuotaRequest, state: QuotaState, now: float
    ) -> QueuedRequest | QuotaRefusal | None:
        """Return None if admitted at once, the queued request, or a refusal."""
        if request.amount > state.total_limit:
            return QuotaRefusal(MAX_RETRY_AFTER_SECONDS, False)
        below_share = self._record_and_check_share(request, state, now)
        if request.amount <= state.remaining and self._reservations.redeem(
            request.retry_fingerprint, now
        ):
            return None
        if below_share and self._may_overdraw(request.amount, state, now):
            return None
        self._largest.add(request.amount, now)
        if not self._queue and self._is_admissible(request.amount, state, now):
            return None
        wait = self._expected_wait(state, now)
        if wait >= request.patience or len(self._queue) >= MAX_QUEUED:
            return self._refuse(request, state, wait, now)
        queued = QueuedRequest(
            request, now, now + request.patience, self._queued_amount
        )
        self._queue.append(queued)
        self._queued_amount += request.amount
        return queued

    def pop_admissible(self, state: QuotaState, now: float) -> QueuedRequest | None:
        """Remove and return the head of the queue if it can be admitted."""
        if not self._queue:
            return None
        if not self._is_admissible(self._queue[0].request.amount, state, now):
            return None
        return self._pop_first()

    def pop_expired(
        self, state: QuotaState, now: float
    ) -> tuple[QueuedRequest, QuotaRefusal] | None:
        """Remove and refuse the first request whose waiting time is over."""
        expired = next((item for item in self._queue if item.expires_at <= now), None)
        if expired is None:
            return None
        self._remove(expired)
        wait = self._expected_wait(state, now)
        return expired, self._refuse(expired.request, state, wait, now)

    def cancel(self, host: str, reservation: int) -> QueuedRequest | None:
        """Remove a request that its host no longer waits for."""
        for queued in self._queue:
            if (queued.request.host, queued.request.reservation) == (host, reservation):
                self._remove(queued)
                return queued
        return None

    def drain(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        cancelled = list(self._queue)
        self._queue.clear()
        self._queued_amount = 0
        return cancelled

    def cancel_host(self, host: str) -> list[QueuedRequest]:
        """Remove and return all requests of a host."""
        cancelled = [item for item in self._queue if item.request.host == host]
        for queued in cancelled:
            self._remove(queued)
        return cancelled

    def seconds_until_due(self, state: QuotaState, now: float) -> float | None:
        """Return the seconds until the queue may change, None if it is empty."""
        if not self._queue:
            return None
        patience = min(queued.expires_at for queued in self._queue) - now
        first = self._queue[0].request.amount
        lacking = max(
            self._bucket_needed(state, now)
            + self._reserved_for_retries(state, now)
            - state.level,
            self._window_needed(first, state, now)
            + self._reserved_for_retries(state, now)
            - state.remaining,
        )
        return max(0.0, min(patience, lacking / max(state.rate, 1e-9)))

    def _pop_first(self) -> QueuedRequest:
        queued = self._queue.popleft()
        self._queued_amount -= queued.request.amount
        return queued

    def _remove(self, queued: QueuedRequest) -> None:
        self._queue.remove(queued)
        self._queued_amount -= queued.request.amount

    def _record_and_check_share(
        self, request: QuotaRequest, state: QuotaState, now: float
    ) -> bool:
        """Record a request; return whether its kind requests at most its fair share.

        The result is False unless other kinds request more than theirs, and while a
        request of the same kind is queued.
        """
        kind = request.kind
        if (
            kind not in self._requested_by_kind
            and len(self._requested_by_kind) >= MAX_KINDS
        ):
            kind = ""
        requested = self._requested_by_kind.setdefault(kind, DecayingSum(SHARE_SECONDS))
        own = requested.add(request.amount, now)
        if any(queued.request.kind == request.kind for queued in self._queue):
            return False
        total = state.rate * SHARE_SECONDS
        requested_amounts = [
            requested.sum(now) for requested in self._requested_by_kind.values()
        ]
        return own <= max_min_share(requested_amounts, total) < total

    def _may_overdraw(self, amount: int, state: QuotaState, now: float) -> bool:
        """Return whether a kind below its fair share may make the bucket negative.

        Other kinds wait until the debt is refilled. The window limit still holds.
        """
        if amount > state.remaining - self._reserved_for_retries(state, now):
            return False
        return state.level >= -LARGEST_REQUEST_FRACTION * state.limit

    def _is_admissible(self, amount: int, state: QuotaState, now: float) -> bool:
        reserved_now = self._reserved_for_retries(state, now)
        if state.remaining - reserved_now < self._window_needed(amount, state, now):
            return False
        return state.level - reserved_now >= self._bucket_needed(state, now)

    def _largest_needed(self, state: QuotaState, now: float) -> float:
        return min(self._largest.maximum(now), LARGEST_REQUEST_FRACTION * state.limit)

    def _bucket_needed(self, state: QuotaState, now: float) -> float:
        return min(self._largest_needed(state, now), BUCKET_FRACTION * state.depth)

    def _window_needed(self, amount: int, state: QuotaState, now: float) -> float:
        return max(self._largest_needed(state, now), amount)

    def _expected_wait(self, state: QuotaState, now: float) -> float:
        """Return how long a new request would wait, whatever its size."""
        needed = self._queued_amount + self._reserved_for_retries(state, now)
        missing = max(
            self._bucket_needed(state, now) + needed - state.level,
            self._largest_needed(state, now) + needed - state.remaining,
        )
        if missing <= 0:
            return 0.0
        return missing / state.rate if state.rate > 0 else MAX_RETRY_AFTER_SECONDS

    def _refuse(
        self, request: QuotaRequest, state: QuotaState, wait: float, now: float
    ) -> QuotaRefusal:
        """Refuse a request with a time to retry, and reserve its amount if possible."""
        reservation = RetryReservation(
            request.retry_fingerprint, request.amount, now + wait
        )
        return self._reservations.reserve(
            reservation, now + request.latest_retry, state.rate, now
        )

    def _reserved_for_retries(self, state: QuotaState, now: float) -> float:
        return self._reservations.reserved_now(
            state.rate, self._largest.maximum(now), now
        )
