"""What one owner of a pool sees of a rollout: counts, and its allowance."""

import math
from collections import deque
from typing import NamedTuple

from bitterntiller.components.rollouts.models import Cell, Counts

MAX_SAMPLES = 256
"""Answers of the serving version, by route, that tell what is slow."""

MIN_SAMPLES = 8
"""Answers of the serving version without which nothing of a route counts as slow."""

SLOW_QUANTILE = 0.9
SLOW_MARGIN = 1.5
"""An answer is slow when it takes longer than this quantile of the serving version's
answers on its route, times the margin."""

ROUTE_MARGIN = 1.25
"""How many times its part of the new version's requests a route may have."""

REPORT_DELAY_SECONDS = 1.0
"""How late an owner may hear of an output or of an end: entry hosts tell of running
requests in periods, and a request counts as unanswered only after that."""

UPDATE_EVERY = 16
EARLY_SAMPLES = 64
"""Answers after which the quantiles are worked out anew; before so many, after each."""


class RunningRequest(NamedTuple):
    """A request that runs; upstream is empty on the old version.

    warm tells that its upstream has the speed that it stays at. first and total tell
    which of its times have been counted.
    """

    route: str
    upstream: str
    at: float
    warm: bool
    first: bool = False
    total: bool = False


class Allowance:
    """How many requests an owner may send to the version that is judged.

    Each report that control answers renews it; without an answer it ends.
    """

    def __init__(self, trial: "Trial") -> None:
        self._trial = trial
        self._until = -math.inf
        self.left = 0

    def renew(self, more: int, until: float) -> None:
        """Add requests; all that are left may be sent until a time."""
        self.left += more
        self._until = until

    def close(self) -> None:
        """End it: the rollout has its verdict."""
        self.left = 0

    def is_open(self, now: float) -> bool:
        """Tell whether any request may be sent."""
        return self.left > 0 and now < self._until

    def take(self, route: str, now: float) -> bool:
        """Use it for a request, if its route has not had more than its part."""
        if not self.is_open(now) or not self._trial.is_below_route_share(route):
            return False
        self.left -= 1
        return True


class SlowThreshold:
    """From when on an answer of a route is slow, by what the serving version shows."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._seen = 0
        self.limit: float | None = None
        self.available_at = math.inf

    def add_sample(self, seconds: float, now: float) -> None:
        """Take the time of an answer of the serving version."""
        self._samples.append(seconds)
        self._seen += 1
        early = self._seen < EARLY_SAMPLES
        if len(self._samples) < MIN_SAMPLES or (
            self._seen % UPDATE_EVERY and not early
        ):
            return
        self.available_at = min(self.available_at, now)
        ordered = sorted(self._samples)
        self.limit = SLOW_MARGIN * ordered[int(SLOW_QUANTILE * len(ordered))]


class Trial:
    """Counts of one rollout at one owner, cumulative since it heard of the order.

    began is the time of the order by the owner's clock, None until control has told how
    long ago it was.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.started_at: float | None = None
        self.reached = 0
        self.exposed = 0
        self.reported_exposed = 0
        self._running_by_id: dict[str, RunningRequest] = {}
        self._first_output_by_route: dict[str, SlowThreshold] = {}
        self._response_by_route: dict[str, SlowThreshold] = {}
        self._reached_by_route: dict[str, int] = {}
        self._exposed_by_route: dict[str, int] = {}
        self._counts_by_key: dict[tuple[int, str, str], Counts] = {}
        self._changed: set[tuple[int, str, str]] = set()

    @property
    def old_running(self) -> int:
        """Return how many requests run on the old version."""
        return sum(not sent.upstream for sent in self._running_by_id.values())

    def record_arrival(self, route: str) -> None:
        """Note that a request has come for the service."""
        self.reached += 1
        self._reached_by_route[route] = self._reached_by_route.get(route, 0) + 1

    def is_below_route_share(self, route: str) -> bool:
        """Tell whether the new version has had less than its part of a route."""
        if not self.reached:
            return True
        part = self._reached_by_route.get(route, 0) / self.reached
        fair = part * (self.exposed + 1)
        return self._exposed_by_route.get(route, 0) < 1 + ROUTE_MARGIN * fair

    def record_sent(
        self, request_id: str, route: str, upstream: str, warm: bool, now: float
    ) -> None:
        """Note a grant; upstream is empty for one of the old version."""
        if upstream:
            self.exposed += 1
            self._exposed_by_route[route] = self._exposed_by_route.get(route, 0) + 1
        self._running_by_id[request_id] = RunningRequest(route, upstream, now, warm)

    def record_first_output(self, request_id: str, seconds: float) -> None:
        """Note how long after its sending a request's first output came."""
        sent = self._running_by_id.get(request_id)
        if sent is not None and not sent.first:
            self._count_first(request_id, sent, seconds)

    def record_end(
        self,
        request_id: str,
        failed: bool,
        first: float | None,
        total: float,
    ) -> None:
        """Note a whole answer, or how a request failed at its upstream."""
        sent = self._running_by_id.get(request_id)
        if sent is None:
            return
        self._add(sent, Counts(answered=1, failed=int(failed)))
        if not failed:
            if first is not None and not sent.first:
                self._count_first(request_id, sent, first)
            sent = self._running_by_id[request_id]
            if not sent.total:
                self._count_total(request_id, sent, total)
        del self._running_by_id[request_id]

    def discard(self, request_id: str) -> None:
        """Drop a request that says nothing of its upstream: not sent, or given up."""
        self._running_by_id.pop(request_id, None)

    def count_overdue(self, now: float) -> None:
        """Count as slow what runs for longer than an answer takes that isn't slow."""
        for request_id, sent in list(self._running_by_id.items()):
            elapsed = now - sent.at - REPORT_DELAY_SECONDS
            limit = self._slow_limit(self._first_output_by_route, sent.route)
            if not sent.first and elapsed > limit:
                self._count_first(request_id, sent, elapsed)
                sent = self._running_by_id[request_id]
            limit = self._slow_limit(self._response_by_route, sent.route)
            if not sent.total and elapsed > limit:
                self._count_total(request_id, sent, elapsed)

    def take_evidence(self) -> dict[Cell, Counts]:
        """Return the counts that have changed since the last call, by cell."""
        if self.started_at is None:
            return {}
        changed, self._changed = self._changed, set()
        return {
            self._cell(second, route, upstream, self.started_at): (
                self._counts_by_key[second, route, upstream]
            )
            for second, route, upstream in changed
        }

    def requeue_evidence(self, evidence: dict[Cell, Counts]) -> None:
        """Have counts reported once more, as their report may have been lost."""
        if self.started_at is None:
            return
        for key in self._counts_by_key:
            if self._cell(*key, self.started_at) in evidence:
                self._changed.add(key)

    @staticmethod
    def _cell(second: int, route: str, upstream: str, started_at: float) -> Cell:
        return Cell(math.floor(second - started_at) + 1, route, upstream)

    def _slow_limit(
        self, times_by_route: dict[str, SlowThreshold], route: str
    ) -> float:
        times = times_by_route.get(route)
        return math.inf if times is None or times.limit is None else times.limit

    def _count_first(
        self, request_id: str, sent: RunningRequest, seconds: float
    ) -> None:
        self._running_by_id[request_id] = sent._replace(first=True)
        slow = self._is_slow(self._first_output_by_route, sent, seconds)
        if slow is not None:
            self._add(sent, Counts(firsts=1, slow_firsts=int(slow)))

    def _count_total(
        self, request_id: str, sent: RunningRequest, seconds: float
    ) -> None:
        self._running_by_id[request_id] = sent._replace(total=True)
        slow = self._is_slow(self._response_by_route, sent, seconds)
        if slow is not None:
            self._add(sent, Counts(totals=1, slow_totals=int(slow)))

    def _is_slow(
        self,
        times_by_route: dict[str, SlowThreshold],
        sent: RunningRequest,
        seconds: float,
    ) -> bool | None:
        """Tell whether a time is slow, None where that isn't known."""
        if not sent.warm:
            return None
        times = times_by_route.setdefault(sent.route, SlowThreshold())
        limit = times.limit
        if not sent.upstream:
            times.add_sample(seconds, sent.at + seconds)
        if limit is None or sent.at < times.available_at:
            # Of requests sent before the limit was known the fast ones are not judged.
            return None
        return seconds > limit

    def _add(self, sent: RunningRequest, counts: Counts) -> None:
        """Count by the second of the sending.

        By that of the answer, slow answers would gather in the newest seconds.
        """
        key = (math.floor(sent.at), sent.route, sent.upstream)
        known = self._counts_by_key.get(key, Counts())
        self._counts_by_key[key] = known.plus(counts)
        self._changed.add(key)
