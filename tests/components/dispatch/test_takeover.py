"""Tests of the requests and upstreams that a new owner takes over."""

import pytest

from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import request, upstream

NOW = 1000.0


def test_requests_taken_over_together_use_all_free_slots():
    """A caller got 503 with a Retry-After of 20 s beside free upstreams.

    Its request and another one were registered together with a new owner. The upstreams
    were announced, but the first housekeeping had not run, so the owner assumed a
    capacity of one slot for the second request.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream("engine-1", slots=16), NOW)
    scheduler.announce(upstream("engine-2", slots=16), NOW)
    waiting = [request(name, output_tokens=1000) for name in ("a", "b")]
    decisions = scheduler.register_all(waiting, NOW)
    assert [type(decision) for decision in decisions] == [Granted, Granted]


@pytest.mark.parametrize("count", [1, 8])
def test_requests_wait_for_the_first_announced_upstream(count):
    """Requests that reached a new owner before any announcement were refused."""
    scheduler = PoolScheduler()
    waiting = [request(f"r{n}", output_tokens=1000) for n in range(count)]
    assert scheduler.register_all(waiting, NOW) == []
    _, decisions = scheduler.announce(upstream(slots=16), NOW + 0.1)
    assert {type(decision) for decision in decisions} == {Granted}


def test_slots_follow_upstreams_that_leave_and_return():
    scheduler = PoolScheduler()
    for number, leaving in enumerate((False, True, False), start=1):
        state = upstream(slots=16, sequence=number, leaving=leaving)
        scheduler.announce(state, NOW + number)
        assert scheduler.describe(NOW + number)["slots"] == (0 if leaving else 16)
