"""Retry-after times booked into forecast capacity."""

import hashlib
import random

import pytest

from bitterntiller.components.dispatch.const import UNEVEN_OFF, UNEVEN_ON, UNEVEN_STATED
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.lower_shares import LowerShares
from bitterntiller.components.dispatch.models import (
    Granted,
    RefusalBasis,
    Refused,
    UpstreamLoad,
)
from bitterntiller.components.dispatch.owned_pool import OwnedPool
from bitterntiller.components.dispatch.return_times import (
    Forecast,
    RetryBasis,
    ReturnTimes,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import request, upstream
from .fakes import FakeDirectory, FakeRuntime, coordinator
from .refused_callers import START, Caller, Load, served_share, value

NOW = 1000.0
DECISIONS_BEFORE = "8144bd41ab8dbcf36309644d5b8facdd18da41c33999775905d66e4be6ab3364"
"""Digest of the decisions of d54ddfb, the last commit without booked retries, in which
the share of a lower tier was always due."""

DECISIONS = "c8b1d507c8bf47c8373aee795d729584cd66f9fa3963a6f2e18ec6a77485751c"
"""Digest of the same decisions with LowerShares."""

SEEDS = (1, 2, 3)
BASE_LOAD = 0.7
BURST_LOAD = 2.4
"""Twice the capacity of the 30 engines."""

HEAVY_BURST_LOAD = 3.6
"""Three times the capacity, so that enough callers are refused and come back."""


def job(rank: int = 0, deadline: float = NOW + 30.0, work: float = 1.0) -> Job:
    """Return a request with some work."""
    asked = request(tier_rank=rank, arrived=NOW, deadline=deadline)
    result = Job(asked, 0, NOW)
    result.work = work
    return result


def measured(rates: dict[int, float]) -> ReturnTimes:
    """Return retry times after two seconds of steady arrivals of each rank."""
    times = ReturnTimes(random.Random(1))
    for step in range(200):
        at = NOW - 2.0 + step / 100
        for rank, rate in rates.items():
            arrived = job(rank, deadline=NOW + 900 + step, work=rate / 100)
            arrived.request = arrived.request._replace(arrived=at)
            times.record_arrival(arrived, at)
    return times


def burst(
    seed: int,
    uneven: str = UNEVEN_ON,
    lost: int = 0,
    taken_over: bool = False,
    burst_load: float = BURST_LOAD,
) -> Load:
    """Play 3 s at twice the capacity or more, from 6 s on, and what follows."""
    load = Load(seed=seed, uneven=uneven)
    load.factors = [BASE_LOAD] * 3
    load.run(6.0)
    load.factors = [burst_load] * 3
    load.run(1.5)
    load.crash([f"engine-{number}" for number in range(lost)])
    if taken_over:
        load.take_over()
    load.run(1.5)
    load.factors = [BASE_LOAD] * 3
    load.run(20.0)
    return load


def told_and_returned(load: Load) -> list[Caller]:
    """Return the callers of the burst that came back at the time they were told."""
    return [c for c in load.callers if c.returned_when_told and c.attempts == 2]


def concerned(loads: list[Load]) -> list[Caller]:
    """Return the callers of the bursts and of the 9 s after them."""
    return [c for load in loads for c in load.began(START + 6.0, START + 18.0)]


def full_service(load: Load) -> float:
    """Return the served fraction of the callers from 5 s after the burst on."""
    return served_share(load.began(START + 14.0, START + 17.0))


def test_callers_who_come_back_when_told_are_served():
    """Guards against refused callers that all come too early and are refused again."""
    loads = [burst(seed) for seed in SEEDS]
    heavy = [burst(seed, burst_load=HEAVY_BURST_LOAD) for seed in SEEDS]
    told = [caller for load in loads + heavy for caller in told_and_returned(load)]
    assert len(told) >= 50
    assert sum(caller.served for caller in told) >= 0.9 * len(told)
    assert all(full_service(load) >= 0.99 for load in loads)


@pytest.mark.parametrize(
    ("lost", "taken_over"), [(7, False), (0, True)], ids=["lost", "taken-over"]
)
def test_trouble_in_a_burst_doesnt_delay_full_service(lost, taken_over):
    """Guards against bookings of a lost capacity or owner that cause later refusals."""
    trouble = {"lost": lost, "taken_over": taken_over}
    loads = [burst(seed, **trouble) for seed in SEEDS]
    assert all(full_service(load) >= 0.99 for load in loads)
    before = [burst(seed, UNEVEN_OFF, **trouble) for seed in SEEDS]
    assert value(concerned(loads)) >= value(concerned(before))


def test_callers_told_after_a_loss_are_served():
    """Guards against bookings into the capacity of upstreams that were just lost."""
    loads = [burst(seed, lost=7, burst_load=HEAVY_BURST_LOAD) for seed in SEEDS]
    told = [caller for load in loads for caller in told_and_returned(load)]
    assert len(told) >= 20
    assert sum(caller.served for caller in told) >= 0.9 * len(told)


def test_callers_told_around_a_change_of_owners_are_served():
    """Guards against the bookings of a lost owner.

    A new owner uses the estimate without a forecast for its first second.
    """
    loads = [burst(seed, taken_over=True) for seed in SEEDS]
    told = [
        caller
        for load in loads
        for caller in told_and_returned(load)
        if not START + 7.5 <= caller.refused_at <= START + 8.5
    ]
    assert len(told) >= 20
    assert sum(caller.served for caller in told) >= 0.9 * len(told)


def always_due(shares: LowerShares, asked: Job, _now: float) -> bool:
    """Return whether a lower tier gets its share, as before LowerShares."""
    return shares.share > 0 and not asked.demoted and asked.rank > 0


@pytest.mark.parametrize(
    ("is_due", "digest"),
    [(always_due, DECISIONS_BEFORE), (LowerShares.is_due, DECISIONS)],
    ids=["before", "now"],
)
def test_no_decision_changes_while_the_parts_are_off(monkeypatch, is_due, digest):
    """Guards against changed grants, refusals or times of pools without the switch."""
    monkeypatch.setattr(LowerShares, "is_due", is_due)
    load = Load(engines=9, uneven=UNEVEN_OFF, seed=4)
    load.run(3.0)
    load.factors = [BURST_LOAD] * 3
    load.run(1.5)
    load.crash(["engine-0", "engine-1"])
    load.run(1.5)
    load.take_over()
    load.factors = [1.0] * 3
    load.run(3.0)
    found = hashlib.sha256()
    for decision in load.decisions:
        granted = isinstance(decision, Granted)
        name = decision.upstream if granted else decision.reason
        seconds = 0 if granted else round(decision.retry_after, 6)
        found.update(f"{decision.request_id} {name} {seconds}\n".encode())
    assert found.hexdigest() == digest
    assert all(
        item.basis.retry is None for item in load.decisions if isinstance(item, Refused)
    )


def test_forecasts_begin_once_a_work_time_is_stated():
    """Guards against a part that reads the switch only when the pool is created."""
    load = Load(engines=3, uneven=UNEVEN_STATED, seed=1)
    load.factors = [BURST_LOAD] * 3
    load.run(3.0)
    stated = UpstreamLoad(0, 0, 0, load.now, work_percent=100)
    state = upstream("engine-0", slots=10, kv_tokens=1_000_000, incarnation=1)
    load.scheduler.announce(state._replace(sequence=2, load=stated), load.now)
    count = len(load.decisions)
    load.run(2.0)
    refused = [item for item in load.decisions if isinstance(item, Refused)]
    later = [item for item in load.decisions[count:] if isinstance(item, Refused)]
    assert all(item.basis.retry is None for item in refused[: -len(later)])
    assert {item.basis.retry for item in later} >= {None, RetryBasis.BEYOND_PATIENCE}
    assert load.scheduler.describe(load.now)["retries_by_rank"]["0"]["present_rate"] > 0


def test_retries_are_spread_over_the_free_capacity():
    """Guards against retries that are all booked into the first free interval."""
    times = measured({0: 8.0})
    forecast = Forecast(capacity=10.0, waiting_work=0.0)
    booked = [times.book(job(deadline=NOW + 60), forecast, NOW) for _ in range(8)]
    assert {item.basis for item in booked} == {RetryBasis.BOOKED}
    # Two seconds of work are free per second.
    assert booked[-1].seconds - booked[0].seconds > 3.0


def test_lower_tiers_are_booked_behind_the_arrivals_of_higher_ones():
    """Guards against bookings of capacity that higher tiers take."""
    times = measured({0: 5.0, 1: 5.0})
    forecast = Forecast(capacity=10.0, waiting_work=0.0)
    assert times.book(job(0), forecast, NOW).basis == RetryBasis.BOOKED
    told = times.book(job(1), forecast, NOW)
    assert told.basis == RetryBasis.BEYOND_PATIENCE
    assert told.seconds > 10.0


def test_a_retry_is_recognized_and_not_booked_again():
    """Guards against capacity that is booked for callers that don't come any more."""
    times = measured({0: 5.0})
    forecast = Forecast(capacity=10.0, waiting_work=0.0)
    first = times.book(job(deadline=NOW + 30), forecast, NOW)
    fresh = job(deadline=NOW + 30)
    times.record_arrival(fresh, NOW + 0.05)
    again = job(deadline=NOW + 30)
    times.record_arrival(again, NOW + first.seconds)
    assert (fresh.is_retry, again.is_retry) == (False, True)
    later = NOW + first.seconds
    assert times.book(again, forecast, later).basis == RetryBasis.REFUSED_AGAIN
    assert times.describe(later)["0"]["booked"] == 0


def test_a_booking_is_released_if_the_caller_wont_wait():
    """Guards against capacity that is kept for callers that leave before."""
    times = measured({0: 5.0})
    forecast = Forecast(capacity=10.0, waiting_work=40.0)
    told = times.book(job(deadline=NOW + 3.0), forecast, NOW)
    assert told.basis == RetryBasis.BEYOND_PATIENCE
    assert told.seconds > 5.0
    described = times.describe(NOW)["0"]
    assert (described["booked"], described["expected_unbooked"]) == (0, 1)


def test_bases_of_retry_times_are_counted():
    """Guards against a metric that nothing counts."""
    runtime = FakeRuntime()
    pool = OwnedPool("chat", 1, PoolScheduler(), 0.0)
    for retry in (RetryBasis.BOOKED, None):
        basis = RefusalBasis(1, 1, 1, 0.0, 0.0, late=False, parked=0, retry=retry)
        refused = Refused("r1", "bole-1", "shed", 1.0, basis)
        coordinator(runtime, FakeDirectory())._log_and_build_message(pool, refused)
    assert runtime.metrics.counts["dispatch.retries.chat.booked"] == 1
    assert runtime.metrics.counts["dispatch.refusals.chat.shed"] == 2
