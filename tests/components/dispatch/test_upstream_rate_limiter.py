"""Tests of the limiter for upstreams that state a rate limit."""

import random
from bisect import bisect_left

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS, make_scheduler
from bitterntiller.components.dispatch.models import Decision, Granted, RateLimitUpdate
from bitterntiller.components.dispatch.owned_pool import OwnedPool
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.dispatch.upstream_rate_limiter import (
    MIN_RATE,
    UpstreamRateLimiter,
)
from bitterntiller.protocol import messages
from tests.components.dispatch import builders as build
from tests.components.dispatch import messages_builders as build_messages

NOW = 1000.0
WINDOW_SECONDS = 4.0
RATES = st.one_of(st.just(0.0), st.floats(0.1, 50.0))


def allowed(rate: float) -> float:
    """Return the most requests that a window may contain, as promised to upstreams."""
    return 1.5 * rate * WINDOW_SECONDS + 5


def most_in_window(times: list[float]) -> int:
    begins = (bisect_left(times, end - WINDOW_SECONDS) for end in times)
    return max((n + 1 - begin for n, begin in enumerate(begins)), default=0)


def paced(limiter: UpstreamRateLimiter, begin: float, end: float) -> list[float]:
    """Return when requests are sent while more are always waiting."""
    now, times = begin, []
    while (now := now + limiter.wait_seconds(now)) < end:
        limiter.acquire(now)
        times.append(now)
    return times


@given(RATES)
def test_every_window_of_a_steady_limit_is_kept(rate: float):
    limiter = UpstreamRateLimiter()
    limiter.update(rate, NOW, NOW)
    times = paced(limiter, NOW, NOW + 20)
    assert most_in_window(times) <= allowed(rate)
    assert len(times) >= 0.8 * 20 * max(rate, MIN_RATE) - 2


@given(RATES, st.lists(st.tuples(st.floats(0.1, 6.0), RATES), max_size=6))
def test_every_window_is_kept_while_limits_change(
    rate: float, changes: list[tuple[float, float]]
):
    limiter = UpstreamRateLimiter()
    now = NOW
    limiter.update(rate, now, now)
    highest = rate
    times: list[float] = []
    for seconds, following in changes:
        times += paced(limiter, now, now + seconds)
        now += seconds
        limiter.update(following, now, now)
        highest = max(highest, following)
    times += paced(limiter, now, now + 8)
    assert most_in_window(times) <= allowed(highest)
    last = changes[-1][1] if changes else rate
    assert most_in_window([t for t in times if t >= now]) <= allowed(last)


@given(RATES, st.floats(0.0, 30.0))
def test_pause_accumulates_no_more_than_a_burst(rate: float, pause: float):
    limiter = UpstreamRateLimiter()
    limiter.update(rate, NOW, NOW)
    times = paced(limiter, NOW, NOW + 3)
    times += paced(limiter, NOW + 3 + pause, NOW + 10 + pause)
    assert most_in_window(times) <= allowed(rate)


def test_upstream_without_a_limit_is_not_paced():
    limiter = UpstreamRateLimiter()
    assert limiter.wait_seconds(NOW) == 0.0
    limiter.acquire(NOW)
    assert limiter.wait_seconds(NOW) == 0.0


def test_newest_response_counts_whatever_the_order_of_arrival():
    limiter = UpstreamRateLimiter()
    assert limiter.update(2.0, NOW + 1, NOW + 2)
    assert not limiter.update(None, NOW, NOW + 2)
    assert limiter.limit == 2.0
    assert limiter.update(None, NOW + 1.5, NOW + 2)
    assert not limiter.update(2.0, NOW + 1.2, NOW + 2)
    assert limiter.limit is None


def pool(*names: str, slots: int = 8) -> PoolScheduler:
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    for name in names:
        scheduler.announce(build.upstream(name, slots=slots), NOW)
    return scheduler


def rate_limit(
    limit: float | None, at: float = NOW, upstream: str = "e1", start: str = "1"
) -> RateLimitUpdate:
    return RateLimitUpdate(upstream, start, limit, at)


def granted(decisions: list[Decision]) -> list[Granted]:
    return [item for item in decisions if isinstance(item, Granted)]


def play(scheduler: PoolScheduler, begin: float, seconds: float) -> dict[str, list]:
    """Send far more requests than a limit allows; return grant times by upstream."""
    times_by_name: dict[str, list] = {}
    running: list[tuple[float, str, str]] = []
    rng = random.Random(7)
    now, number = begin, 0
    while now < begin + seconds:
        now += 0.02
        decisions: list[Decision] = []
        for end, request_id, name in [item for item in running if item[0] <= now]:
            running.remove((end, request_id, name))
            done = build.completion(request_id, name, total=0.2)
            decisions += scheduler.finished(done, now)
        number += 1
        request = build.request(f"{begin}-{number}", arrived=now, deadline=now + 2)
        decisions += scheduler.register(request, now)
        decisions += scheduler.tick(now)
        for item in granted(decisions):
            times_by_name.setdefault(item.upstream, []).append(now)
            running.append(
                (now + rng.uniform(0.1, 0.3), item.request_id, item.upstream)
            )
    return times_by_name


@pytest.mark.parametrize("rate", [0.0, 0.5, 1.0, 1.9, 4.0, 10.0])
def test_owner_keeps_a_limit_in_every_window_and_uses_it(rate: float):
    scheduler = pool("e1", "e2")
    scheduler.update_rate_limit(rate_limit(rate), NOW)
    times = play(scheduler, NOW, 16)
    assert most_in_window(times["e1"]) <= allowed(rate)
    assert len(times["e1"]) >= 0.8 * 16 * max(rate, MIN_RATE) - 2
    assert len(times["e2"]) > 8 * len(times["e1"]) or rate > 1


def test_limited_upstream_delays_no_request_beside_free_ones():
    scheduler = pool("e1", "e2")
    scheduler.update_rate_limit(rate_limit(0.5), NOW)
    for number in range(4):
        (grant,) = granted(scheduler.register(build.request(f"r{number}"), NOW))
        assert grant.upstream == "e2"


def test_upstream_is_used_in_full_again_when_its_limit_has_ended():
    scheduler = pool("e1", slots=4)
    scheduler.update_rate_limit(rate_limit(0.5), NOW)
    waiting = [build.request(f"r{n}") for n in range(4)]
    assert not granted(scheduler.register_all(waiting, NOW + 0.1))
    ended = scheduler.update_rate_limit(rate_limit(None, NOW + 1), NOW + 1)
    assert len(granted(ended)) == 4


def test_limit_of_an_earlier_incarnation_does_not_apply_to_a_new_one():
    scheduler = pool("e1")
    scheduler.update_rate_limit(rate_limit(0.5), NOW)
    scheduler.announce(build.upstream("e1", incarnation=2), NOW + 1)
    scheduler.update_rate_limit(rate_limit(0.5, NOW + 1.1, start="1"), NOW + 1.2)
    grants = [
        granted(scheduler.register(build.request(f"r{n}"), NOW + 2)) for n in range(3)
    ]
    assert all(grants)


def test_request_that_waits_for_the_limiter_is_granted_when_it_allows():
    scheduler = pool("e1")
    scheduler.tick(NOW)
    scheduler.update_rate_limit(rate_limit(3.0), NOW)
    assert not granted(scheduler.register(build.request(), NOW))
    now, decisions = NOW, []
    while not decisions:
        now = scheduler.next_wake(now)
        decisions = granted(scheduler.tick(now))
    assert now == pytest.approx(NOW + 1 / 3)


def test_retry_after_reflects_the_smaller_capacity():
    free, limited = pool("e1", slots=20), pool("e1", slots=20)
    limited.update_rate_limit(rate_limit(1.0), NOW)
    for number in range(40):
        request = build.request(f"r{number}", deadline=NOW + 300)
        free.register(request, NOW)
        limited.register(request, NOW)
    waits = []
    for scheduler in (free, limited):
        (tier,) = scheduler.describe(NOW)["tiers_by_rank"].values()
        waits.append(tier["retry_after"])
    assert waits[1] > 3 * waits[0]


@pytest.mark.parametrize("announced_first", [True, False])
def test_new_owner_receives_limits_and_upstreams_in_any_order(announced_first: bool):
    made = OwnedPool(build_messages.POOL, 2, make_scheduler("engine"), NOW)
    made.configure(build_messages.config(), NOW)
    limit = messages.UpstreamLimit(
        pool=build_messages.POOL,
        upstream="e1",
        incarnation="1",
        limit=0.5,
        age_ms=100,
    )
    steps = [
        lambda: made.announce(build_messages.announce("e1", 4), NOW),
        lambda: made.update_rate_limit(limit, NOW),
    ]
    for step in steps if announced_first else reversed(steps):
        step()
    described = made.scheduler.describe(NOW)["upstreams_by_name"]["e1"]
    assert described["rate_limit"] == 0.5
