"""Times at which refused callers should retry, booked into forecast free capacity."""

import math
import random
from collections import defaultdict
from enum import StrEnum
from typing import NamedTuple

from sortedcontainers import SortedList

from bitterntiller.components.dispatch.const import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    RETRY_JITTER,
)
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.rate_meters import RateMeter

INTERVAL_SECONDS = 0.25
"""Length of the intervals into which retries are booked."""

WARM_UP_SECONDS = 1.0
"""Age from which the measured rates are used for forecasts."""

PRESENT_RATE_SECONDS = 2.0
USUAL_RATE_SECONDS = 30.0
BURST_SECONDS = 2.5
"""Time constants of the measured rates of arrivals, and of the forecast return from the
present rate to the usual one, in which a burst of some seconds ends. With the present
rate alone, no retry could be booked during a burst; with the usual one alone, all
retries would be booked into its middle."""

BURST_DECAY = math.exp(-INTERVAL_SECONDS / BURST_SECONDS)

PATIENCE_FRACTION = 1 / 3
"""Fraction of its remaining time that a caller waits at most before it retries."""

MAX_PATIENCE_SECONDS = 10.0
"""Time up to which retries are booked. It bounds the work of a decision."""

MATCH_SECONDS = 0.1
"""Difference up to which two deadlines, or a retry and its booked time, count as equal.
Timers of callers and connections take some of this."""

RETURN_GRACE_SECONDS = 1.0
"""How long after its due time a retry is still recognized."""

RE_REGISTERED_SECONDS = 0.5
"""Age from which a registered request doesn't count as an arrival: it is one that a new
owner takes over, and many of these come at once."""


class RetryBasis(StrEnum):
    """What the Retry-After of a refused request is based on.

    BOOKED: capacity is booked for the retry. BEYOND_PATIENCE: none is free for as long
    as the caller waits. REFUSED_AGAIN: the request is a retry already.
    """

    BOOKED = "booked"
    BEYOND_PATIENCE = "beyond-patience"
    REFUSED_AGAIN = "refused-again"


class RetryTime(NamedTuple):
    """Seconds until a refused caller should retry; basis is None for an estimate."""

    seconds: float
    basis: RetryBasis | None = None


class Forecast(NamedTuple):
    """Work per second of the pool, and the waiting work ahead of a tier's retries."""

    capacity: float
    waiting_work: float


class Return(NamedTuple):
    """An expected retry, of a caller with that deadline; due and work are of the retry.

    has_booking is False if the caller won't wait for the time that it was told.
    """

    deadline: float
    workspace: str
    due: float
    work: float
    has_booking: bool


class _Tier:
    """Rates of arriving work of one tier, without retries, and its expected retries.

    early_work_by_interval is the work of the retries that have no booking.
    """

    def __init__(self, now: float) -> None:
        self.begun_at = now
        self.present = RateMeter(PRESENT_RATE_SECONDS, now)
        self.usual = RateMeter(USUAL_RATE_SECONDS, now)
        self.returns: SortedList = SortedList()
        self.returns_by_interval: defaultdict[int, list[Return]] = defaultdict(list)
        self.early_work_by_interval: defaultdict[int, float] = defaultdict(float)


class ReturnTimes:
    """Books the retries of refused requests, by tier.

    A retry has a new id, so it is recognized by the workspace and the deadline of its
    caller. Recognized retries don't count for the rates of arrivals, as their number
    depends on what was refused before.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tiers_by_rank: dict[int, _Tier] = {}
        self._begun_at: float | None = None
        self._work_by_interval: defaultdict[int, float] = defaultdict(float)
        self._pruned_interval = 0

    def record_arrival(self, job: Job, now: float) -> None:
        """Record a request that arrived, before it is queued or refused."""
        if self._begun_at is None:
            self._begun_at = now
        tier = self._tier(job.rank, now)
        job.is_retry = self._take_return(tier, job, now)
        if job.is_retry:
            return
        if now - job.request.arrived < RE_REGISTERED_SECONDS:
            tier.present.add(job.work, now)
            tier.usual.add(job.work, now)

    def ready(self, now: float) -> bool:
        """Return whether arrivals have been measured for long enough."""
        return self._begun_at is not None and now - self._begun_at >= WARM_UP_SECONDS

    def book(self, job: Job, forecast: Forecast, now: float) -> RetryTime:
        """Return after how many seconds a refused caller should retry.

        The retry is booked if the caller will wait for that long. A caller retries
        once, so nothing is booked for a request that is a retry already.
        """
        patience = max(0.0, (job.request.deadline - now) * PATIENCE_FRACTION)
        seconds = self.seconds_until_free(job.rank, forecast, now, patience)
        if job.is_retry:
            return RetryTime(seconds, RetryBasis.REFUSED_AGAIN)
        has_booking = seconds <= patience
        self._expect(job, now + min(seconds, patience), has_booking, now)
        basis = RetryBasis.BOOKED if has_booking else RetryBasis.BEYOND_PATIENCE
        return RetryTime(seconds, basis)

    def seconds_until_free(
        self,
        rank: int,
        forecast: Forecast,
        now: float,
        patience: float = MAX_PATIENCE_SECONDS,
    ) -> float:
        """Return the seconds until a tier has free capacity, with jitter.

        Beyond the patience of the caller, the time is that of an average.
        """
        patience = min(patience, MAX_PATIENCE_SECONDS)
        interval = self._first_free(rank, forecast, patience, now)
        if interval is None:
            return self._later(rank, forecast, patience, now)
        return (interval + self._rng.random()) * INTERVAL_SECONDS - now

    def describe(self, now: float) -> dict[str, object]:
        """Return the rates, in work per second, and the bookings of each tier."""
        self._prune(now)
        return {
            str(rank): _describe_tier(tier, now)
            for rank, tier in sorted(self._tiers_by_rank.items())
        }

    def _first_free(
        self, rank: int, forecast: Forecast, patience: float, now: float
    ) -> int | None:
        """Return the first interval with free capacity that the caller waits for."""
        present, usual = self._rates(rank, now)
        room = forecast.capacity * INTERVAL_SECONDS
        first = int(now / INTERVAL_SECONDS) + 1
        earliest = int((now + MIN_RETRY_SECONDS) / INTERVAL_SECONDS) + 1
        last = int((now + patience) / INTERVAL_SECONDS)
        work = forecast.waiting_work
        arriving = usual * INTERVAL_SECONDS
        excess = (present - usual) * INTERVAL_SECONDS
        earlies = [
            tier.early_work_by_interval
            for above, tier in self._tiers_by_rank.items()
            if above <= rank
        ]
        for interval in range(first, last + 1):
            excess *= BURST_DECAY
            # Arrivals beyond the capacity are refused, and don't delay later ones.
            early = sum([item.get(interval, 0.0) for item in earlies])
            free = max(0.0, room - arriving - excess - early)
            # Bookings of lower tiers count too. Otherwise a caller of a lower tier that
            # comes when it was told to would be refused again, in favor of a later one.
            work += self._work_by_interval.get(interval, 0.0)
            if work < free and interval >= earliest:
                return interval
            work = max(0.0, work - free)
        return None

    def _later(
        self, rank: int, forecast: Forecast, patience: float, now: float
    ) -> float:
        """Return when capacity is free, if that is beyond the caller's patience."""
        present, usual = self._rates(rank, now)
        spare = forecast.capacity - usual
        seconds = MAX_RETRY_SECONDS
        if spare > 0:
            work = forecast.waiting_work + sum(self._work_by_interval.values())
            overload = math.log(max(1.0, (present - usual) / spare)) * BURST_SECONDS
            seconds = overload + work / spare
        seconds = min(max(seconds, patience + INTERVAL_SECONDS), MAX_RETRY_SECONDS)
        return seconds * (1.0 + RETRY_JITTER * self._rng.random())

    def _rates(self, rank: int, now: float) -> tuple[float, float]:
        """Return the present and the usual rate of a tier and those above it."""
        tiers = [tier for above, tier in self._tiers_by_rank.items() if above <= rank]
        return (
            sum(tier.present.rate(now) for tier in tiers),
            sum(tier.usual.rate(now) for tier in tiers),
        )

    def _expect(self, job: Job, due: float, has_booking: bool, now: float) -> None:
        tier = self._tier(job.rank, now)
        self._prune(now)
        item = Return(job.request.deadline, job.workspace, due, job.work, has_booking)
        interval = int(due / INTERVAL_SECONDS)
        tier.returns.add(item)
        tier.returns_by_interval[interval].append(item)
        self._expected_work(tier, has_booking)[interval] += job.work

    def _expected_work(self, tier: _Tier, has_booking: bool) -> defaultdict[int, float]:
        """Return the expected work by interval that a retry counts for."""
        return self._work_by_interval if has_booking else tier.early_work_by_interval

    def _take_return(self, tier: _Tier, job: Job, now: float) -> bool:
        """Remove the expected retry that a request is; return whether it is one."""
        deadline = job.request.deadline
        for item in tier.returns.irange((deadline - MATCH_SECONDS,)):
            if item.deadline > deadline + MATCH_SECONDS:
                return False
            early = item.due - now > MATCH_SECONDS
            if item.workspace == job.workspace and not early:
                tier.returns.remove(item)
                interval = int(item.due / INTERVAL_SECONDS)
                works = self._expected_work(tier, item.has_booking)
                if interval in works:
                    works[interval] -= item.work
                return True
        return False

    def _prune(self, now: float) -> None:
        """Drop past bookings, and expected retries that have not come."""
        present = int(now / INTERVAL_SECONDS)
        if present == self._pruned_interval:
            return
        self._pruned_interval = present
        early = [t.early_work_by_interval for t in self._tiers_by_rank.values()]
        for works in (self._work_by_interval, *early):
            for interval in [i for i in works if i < present]:
                del works[interval]
        oldest = int((now - RETURN_GRACE_SECONDS) / INTERVAL_SECONDS)
        for tier in self._tiers_by_rank.values():
            for interval in [i for i in tier.returns_by_interval if i < oldest]:
                for item in tier.returns_by_interval.pop(interval):
                    tier.returns.discard(item)

    def _tier(self, rank: int, now: float) -> _Tier:
        tier = self._tiers_by_rank.get(rank)
        if tier is None:
            tier = self._tiers_by_rank[rank] = _Tier(now)
        return tier


def _describe_tier(tier: _Tier, now: float) -> dict[str, object]:
    pending = [item for item in tier.returns if item.due >= now]
    bookings = [item for item in pending if item.has_booking]
    last = max((item.due - now for item in bookings), default=0.0)
    return {
        "present_rate": round(tier.present.rate(now), 3),
        "usual_rate": round(tier.usual.rate(now), 3),
        "measured_seconds": round(now - tier.begun_at, 3),
        "booked": len(bookings),
        "booked_work_seconds": round(sum(item.work for item in bookings), 3),
        "last_booked_in_seconds": round(max(0.0, last), 3),
        "expected_unbooked": len(pending) - len(bookings),
    }
