"""The trial of a candidate version at one pool owner: counts and allowance."""

import math
from collections import deque
from typing import NamedTuple

from bitterntiller.components.rollouts.models import Cell, Counts

MAX_SAMPLES = 256
"""Number of the newest responses of the serving version, per route, from which the slow
threshold is derived."""

MIN_SAMPLES = 8
"""Responses of the serving version without which a route has no slow threshold."""

SLOW_QUANTILE = 0.9
SLOW_MARGIN = 1.5
"""A response is slow if it takes longer than this quantile of the serving version's
responses on its route, times the margin."""

ROUTE_MARGIN = 1.25
"""Factor by which a route may exceed its share of the candidate's requests."""

REPORT_DELAY_SECONDS = 1.0
"""Maximum delay until an owner learns of an output or an end, since entry hosts report
running requests periodically. A request counts as overdue only after that delay."""

UPDATE_EVERY = 16
EARLY_SAMPLES = 64
"""The quantiles are recomputed after every UPDATE_EVERY samples, and after each one
while there are fewer than EARLY_SAMPLES."""


class RunningRequest(NamedTuple):
    """A running request; upstream is empty on the old version.

    warm is whether its upstream has warmed up. first_counted and total_counted say
    which of its times have been counted.
    """

    route: str
    upstream: str
    sent_at: float
    warm: bool
    first_counted: bool = False
    total_counted: bool = False


class Allowance:
    """The requests that an owner may send to the candidate version.

    Each report that control answers renews it; without a reply it expires.
    """

    def __init__(self, trial: "Trial") -> None:
        self._trial = trial
        self._until = -math.inf
        self.left = 0

    def renew(self, more: int, until: float) -> None:
        """Add requests, and extend the validity of all remaining ones."""
        self.left += more
        self._until = until

    def close(self) -> None:
        """Drop the remaining requests, as the rollout has its verdict."""
        self.left = 0

    def is_open(self, now: float) -> bool:
        """Return whether any request may be sent."""
        return self.left > 0 and now < self._until

    def take(self, route: str, now: float) -> bool:
        """Use it for a request, unless its route has used up its share."""
        if not self.is_open(now) or not self._trial.is_below_route_share(route):
            return False
        self.left -= 1
        return True


class SlowThreshold:
    """Time above which a response is slow, derived from the serving version."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._sample_count = 0
        self.limit: float | None = None
        self.available_at = math.inf

    def add_sample(self, seconds: float, now: float) -> None:
        """Add the time of a response of the serving version."""
        self._samples.append(seconds)
        self._sample_count += 1
        is_early = self._sample_count < EARLY_SAMPLES
        if len(self._samples) < MIN_SAMPLES or (
            self._sample_count % UPDATE_EVERY and not is_early
        ):
            return
        self.available_at = min(self.available_at, now)
        ordered = sorted(self._samples)
        self.limit = SLOW_MARGIN * ordered[int(SLOW_QUANTILE * len(ordered))]


class Trial:
    """Counts of one rollout at one owner, cumulative since it learned of the order.

    started_at is the time of the order on the owner's clock, None until control has
    reported how long ago it was.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.started_at: float | None = None
        self.reached = 0
        self.exposed = 0
        self.reported_exposed = 0
        self._running_by_id: dict[str, RunningRequest] = {}
        self._first_output_thresholds: dict[str, SlowThreshold] = {}
        self._response_thresholds: dict[str, SlowThreshold] = {}
        self._reached_by_route: dict[str, int] = {}
        self._exposed_by_route: dict[str, int] = {}
        self._counts_by_key: dict[tuple[int, str, str], Counts] = {}
        self._changed: set[tuple[int, str, str]] = set()

    @property
    def old_running(self) -> int:
        """Return how many requests run on the old version."""
        return sum(not request.upstream for request in self._running_by_id.values())

    def record_arrival(self, route: str) -> None:
        """Record that a request for the service has arrived."""
        self.reached += 1
        self._reached_by_route[route] = self._reached_by_route.get(route, 0) + 1

    def is_below_route_share(self, route: str) -> bool:
        """Return whether the candidate has had less than its share of a route."""
        if not self.reached:
            return True
        route_fraction = self._reached_by_route.get(route, 0) / self.reached
        fair_share = route_fraction * (self.exposed + 1)
        return self._exposed_by_route.get(route, 0) < 1 + ROUTE_MARGIN * fair_share

    def record_sent(
        self, request_id: str, route: str, upstream: str, warm: bool, now: float
    ) -> None:
        """Record a grant; upstream is empty for one on the old version."""
        if upstream:
            self.exposed += 1
            self._exposed_by_route[route] = self._exposed_by_route.get(route, 0) + 1
        self._running_by_id[request_id] = RunningRequest(route, upstream, now, warm)

    def record_first_output(self, request_id: str, seconds: float) -> None:
        """Record the time from sending a request to its first output."""
        request = self._running_by_id.get(request_id)
        if request is not None and not request.first_counted:
            self._count_first(request_id, request, seconds)

    def record_end(
        self,
        request_id: str,
        failed: bool,
        first: float | None,
        total: float,
    ) -> None:
        """Record a complete response, or a failure of a request at its upstream."""
        request = self._running_by_id.get(request_id)
        if request is None:
            return
        self._add(request, Counts(answered=1, failed=int(failed)))
        if not failed:
            if first is not None and not request.first_counted:
                self._count_first(request_id, request, first)
            request = self._running_by_id[request_id]
            if not request.total_counted:
                self._count_total(request_id, request, total)
        del self._running_by_id[request_id]

    def discard(self, request_id: str) -> None:
        """Drop a request without a result: it was not sent, or was given up."""
        self._running_by_id.pop(request_id, None)

    def count_overdue(self, now: float) -> None:
        """Count running requests as slow that exceed a slow threshold already."""
        for request_id, request in list(self._running_by_id.items()):
            elapsed = now - request.sent_at - REPORT_DELAY_SECONDS
            limit = self._slow_limit(self._first_output_thresholds, request.route)
            if not request.first_counted and elapsed > limit:
                self._count_first(request_id, request, elapsed)
                request = self._running_by_id[request_id]
            limit = self._slow_limit(self._response_thresholds, request.route)
            if not request.total_counted and elapsed > limit:
                self._count_total(request_id, request, elapsed)

    def take_evidence(self) -> dict[Cell, Counts]:
        """Return the counts by cell that have changed since the last call."""
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
        """Schedule counts for another report, as theirs may have been lost."""
        if self.started_at is None:
            return
        for key in self._counts_by_key:
            if self._cell(*key, self.started_at) in evidence:
                self._changed.add(key)

    @staticmethod
    def _cell(second: int, route: str, upstream: str, started_at: float) -> Cell:
        return Cell(math.floor(second - started_at) + 1, route, upstream)

    def _slow_limit(
        self, thresholds_by_route: dict[str, SlowThreshold], route: str
    ) -> float:
        threshold = thresholds_by_route.get(route)
        return (
            math.inf
            if threshold is None or threshold.limit is None
            else threshold.limit
        )

    def _count_first(
        self, request_id: str, request: RunningRequest, seconds: float
    ) -> None:
        self._running_by_id[request_id] = request._replace(first_counted=True)
        slow = self._is_slow(self._first_output_thresholds, request, seconds)
        if slow is not None:
            self._add(request, Counts(firsts=1, slow_firsts=int(slow)))

    def _count_total(
        self, request_id: str, request: RunningRequest, seconds: float
    ) -> None:
        self._running_by_id[request_id] = request._replace(total_counted=True)
        slow = self._is_slow(self._response_thresholds, request, seconds)
        if slow is not None:
            self._add(request, Counts(totals=1, slow_totals=int(slow)))

    def _is_slow(
        self,
        thresholds_by_route: dict[str, SlowThreshold],
        request: RunningRequest,
        seconds: float,
    ) -> bool | None:
        """Return whether a time is slow, None if unknown."""
        if not request.warm:
            return None
        threshold = thresholds_by_route.setdefault(request.route, SlowThreshold())
        limit = threshold.limit
        if not request.upstream:
            threshold.add_sample(seconds, request.sent_at + seconds)
        if limit is None or request.sent_at < threshold.available_at:
            # Only the slow ones of the requests sent before the threshold was available
            # are still running, so counting them would bias the comparison.
            return None
        return seconds > limit

    def _add(self, request: RunningRequest, counts: Counts) -> None:
        """Add counts to the second in which the request was sent.

        By the second of the response, slow ones would gather in the newest seconds.
        """
        key = (math.floor(request.sent_at), request.route, request.upstream)
        known = self._counts_by_key.get(key, Counts())
        self._counts_by_key[key] = known.plus(counts)
        self._changed.add(key)
