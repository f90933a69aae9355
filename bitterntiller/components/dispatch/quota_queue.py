"""The queue of requests that are over a workspace's quota.

A request that finds the queue empty and enough of the quota is admitted at once. Others
wait in order of arrival for as long as they can still meet their objective. If the
queue is too long for that they are refused at once, with the time at which to retry,
for which an amount is reserved.

A kind of request that asks for less than its fair share of the quota's rate doesn't
wait: refusing calls that count little would gain next to nothing for long prompts.

The others are treated alike whatever their size: the head of the queue is admitted when
there is enough for the largest recent request, and the limit on the queue's length does
not depend on who asks. If whatever fits were admitted, small requests would use up each
small amount that becomes free, and the largest would hardly ever be admitted.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from bitterntiller.components.dispatch.quotas import QuotaState
from bitterntiller.components.dispatch.retry_reservations import (
    MOST_RETURN_SECONDS,
    Refused,
    RetryReservation,
    RetryReservations,
)
from bitterntiller.core.decaying import DecayingSum, WindowedMaximum

LARGEST_SECONDS = 30.0
"""How long a request counts as the largest of its workspace."""

LARGEST_PART = 0.1
"""Largest part of a quota that the head of the queue waits for on behalf of the largest
request. As much stays unused while a workspace asks for more, and a single request that
is larger still would block all others of a small quota."""

SHARE_SECONDS = 2.0
"""How long the share that a kind of request asks for is counted: longer than the gaps
between a workspace's requests, shorter than most bursts."""

MOST_KINDS = 64
"""Kinds of one workspace whose shares are counted; more are counted as one."""

BUCKET_PART = 0.5
"""Largest part of a bucket that the head of the queue waits for; what is lent to hosts
leaves as much. A larger request takes the bucket below 0."""

MOST_WAITING = 1000
"""Requests in the queue of one workspace; further ones are refused."""


class Ask(NamedTuple):
    """A request that asks for an amount of its workspace's quota.

    patience is how long it may wait, latest_retry the latest return that its caller
    would make, both in seconds; retry_fingerprint is equal for a request and its later
    copies. reservation is the host's own number for what it asks. A quota is shared
    between the kinds of its workspace's requests.
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


class Waiter(NamedTuple):
    """A request in the queue: since when, until when, and the amount ahead of it."""

    ask: Ask
    since: float
    until: float
    ahead: int


def max_min_share(asked_for: Iterable[float], whole: float) -> float:
    """Return the most that each may have of a whole so that all get alike.

    Who asks for less than an even part leaves the rest of it to the others.
    """
    left = whole
    asking = sorted(asked_for)
    for number, amount in enumerate(asking):
        share = left / (len(asking) - number)
        if amount > share:
            return share
        left -= amount
    return whole


class QuotaQueue:
    """The queue of one workspace, and its reservations for retries."""

    def __init__(self) -> None:
        self._waiting: deque[Waiter] = deque()
        self._ahead = 0
        self._reservations = RetryReservations()
        self._largest = WindowedMaximum(LARGEST_SECONDS)
        self._asked_by_kind: dict[str, DecayingSum] = {}

    @property
    def ahead(self) -> int:
        """Return the sum of the amounts in the queue."""
        return self._ahead

    def idle(self, now: float) -> bool:
        """Tell whether nothing is queued, reserved or remembered."""
        awaited = self._waiting or self._reservations.awaited(now)
        return not awaited and not self._largest.most(now)

    def arrive(
        self, ask: Ask, state: QuotaState, now: float
    ) -> Waiter | Refused | None:
        """Return None when admitted at once, the place in the queue, or a refusal."""
        if ask.amount > state.whole:
            return Refused(MOST_RETURN_SECONDS, False)
        below_share = self._is_below_fair_share(ask, state, now)
        if ask.amount <= state.left and self._reservations.take(
            ask.retry_fingerprint, now
        ):
            return None
        if below_share and self._may_overdraw(ask.amount, state, now):
            return None
        self._largest.add(ask.amount, now)
        if not self._waiting and self._enough(ask.amount, state, now):
            return None
        wait = self._expected_wait(state, now)
        if wait >= ask.patience or len(self._waiting) >= MOST_WAITING:
            return self._refuse(ask, state, wait, now)
        waiter = Waiter(ask, now, now + ask.patience, self._ahead)
        self._waiting.append(waiter)
        self._ahead += ask.amount
        return waiter

    def next_to_pass(self, state: QuotaState, now: float) -> Waiter | None:
        """Take the first of the line if there is enough for it."""
        if not self._waiting:
            return None
        if not self._enough(self._waiting[0].ask.amount, state, now):
            return None
        return self._take_first()

    def next_too_late(
        self, state: QuotaState, now: float
    ) -> tuple[Waiter, Refused] | None:
        """Take the first of those that have waited for as long as they may."""
        late = next((item for item in self._waiting if item.until <= now), None)
        if late is None:
            return None
        self._remove(late)
        wait = self._expected_wait(state, now)
        return late, self._refuse(late.ask, state, wait, now)

    def leave(self, host: str, reservation: int) -> Waiter | None:
        """Take a request out of the line whose host waits for it no more."""
        for waiter in self._waiting:
            if (waiter.ask.host, waiter.ask.reservation) == (host, reservation):
                self._remove(waiter)
                return waiter
        return None

    def leave_all(self) -> list[Waiter]:
        """Take all requests out of the line."""
        leaving = list(self._waiting)
        self._waiting.clear()
        self._ahead = 0
        return leaving

    def leave_host(self, host: str) -> list[Waiter]:
        """Take all requests of a host out of the line."""
        leaving = [item for item in self._waiting if item.ask.host == host]
        for waiter in leaving:
            self._remove(waiter)
        return leaving

    def wake_in(self, state: QuotaState, now: float) -> float | None:
        """Return in how many seconds the line may move, None for an empty one."""
        if not self._waiting:
            return None
        patience = min(waiter.until for waiter in self._waiting) - now
        first = self._waiting[0].ask.amount
        lacking = max(
            self._bucket_needed(state, now) + self._kept(state, now) - state.level,
            self._window_needed(first, state, now)
            + self._kept(state, now)
            - state.left,
        )
        return max(0.0, min(patience, lacking / max(state.rate, 1e-9)))

    def _take_first(self) -> Waiter:
        waiter = self._waiting.popleft()
        self._ahead -= waiter.ask.amount
        return waiter

    def _remove(self, waiter: Waiter) -> None:
        self._waiting.remove(waiter)
        self._ahead -= waiter.ask.amount

    def _is_below_fair_share(self, ask: Ask, state: QuotaState, now: float) -> bool:
        """Note an ask; tell whether its kind asks for little beside others.

        That is for no more than its even share, while others ask for more than theirs.
        """
        kind = ask.kind
        if kind not in self._asked_by_kind and len(self._asked_by_kind) >= MOST_KINDS:
            kind = ""
        asked = self._asked_by_kind.setdefault(kind, DecayingSum(SHARE_SECONDS))
        own = asked.add(ask.amount, now)
        if any(waiter.ask.kind == ask.kind for waiter in self._waiting):
            return False
        whole = state.rate * SHARE_SECONDS
        asked_for = [asked.sum(now) for asked in self._asked_by_kind.values()]
        return own <= max_min_share(asked_for, whole) < whole

    def _may_overdraw(self, amount: int, state: QuotaState, now: float) -> bool:
        """Tell whether a kind that asks for little may go into debt at the bucket.

        The others wait for it to be paid back; the window has room all the same.
        """
        if amount > state.left - self._kept(state, now):
            return False
        return state.level >= -LARGEST_PART * state.most

    def _enough(self, amount: int, state: QuotaState, now: float) -> bool:
        kept = self._kept(state, now)
        if state.left - kept < self._window_needed(amount, state, now):
            return False
        return state.level - kept >= self._bucket_needed(state, now)

    def _reserve(self, state: QuotaState, now: float) -> float:
        return min(self._largest.most(now), LARGEST_PART * state.most)

    def _bucket_needed(self, state: QuotaState, now: float) -> float:
        return min(self._reserve(state, now), BUCKET_PART * state.depth)

    def _window_needed(self, amount: int, state: QuotaState, now: float) -> float:
        return max(self._reserve(state, now), amount)

    def _expected_wait(self, state: QuotaState, now: float) -> float:
        """Return how long a newcomer would wait, whatever its size."""
        needed = self._ahead + self._kept(state, now)
        missing = max(
            self._bucket_needed(state, now) + needed - state.level,
            self._reserve(state, now) + needed - state.left,
        )
        if missing <= 0:
            return 0.0
        return missing / state.rate if state.rate > 0 else MOST_RETURN_SECONDS

    def _refuse(self, ask: Ask, state: QuotaState, wait: float, now: float) -> Refused:
        """Return the time at which a request may return, and keep room if it can."""
        reservation = RetryReservation(ask.retry_fingerprint, ask.amount, now + wait)
        return self._reservations.reserve(
            reservation, now + ask.latest_retry, state.rate, now
        )

    def _kept(self, state: QuotaState, now: float) -> float:
        return self._reservations.kept(state.rate, self._largest.most(now), now)
