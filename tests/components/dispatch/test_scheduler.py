"""Grants, refusals and upstreams, seen from outside."""

import gc

import pytest

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import Granted, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0


def test_one_grant_per_free_slot_and_top_tier_first():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    first = scheduler.register(request("a", tier_rank=1), NOW)
    assert first == [Granted("a", "bole-1", "engine-1", "127.0.0.1:9001", 1)]
    assert scheduler.register(request("b", tier_rank=1), NOW) == []
    assert scheduler.register(request("c", tier_rank=0), NOW) == []
    scheduler.started("a", NOW)
    after = scheduler.finished(completion("a"), NOW + 1)
    assert [decision.request_id for decision in after] == ["c"]


def test_refused_when_its_deadline_has_come():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    scheduler.register(request("a"), NOW)
    scheduler.started("a", NOW)
    scheduler.register(request("b"), NOW)
    scheduler.announce(upstream(slots=1, sequence=2), NOW + 29)
    [refused] = scheduler.tick(NOW + 30)
    assert isinstance(refused, Refused)
    assert (refused.request_id, refused.reason) == ("b", "too-late")


def test_no_grant_to_a_leaving_or_silent_upstream():
    scheduler = PoolScheduler()
    assert scheduler.announce(upstream(sequence=5), NOW) == (True, [])
    assert scheduler.announce(upstream(sequence=6, leaving=True), NOW) == (True, [])
    assert scheduler.announce(upstream(sequence=5), NOW) == (False, [])
    assert scheduler.register(request("a"), NOW) == []
    scheduler.announce(upstream("engine-2"), NOW)
    assert scheduler.register(request("b"), NOW + 10) == []


def test_a_grant_that_is_not_heard_of_frees_its_slot():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    scheduler.register(request("a"), NOW)
    assert scheduler.register(request("b"), NOW) == []
    [granted] = scheduler.tick(NOW + 2)
    assert granted.request_id == "b"


def test_ended_requests_are_forgotten_long_before_their_deadlines():
    """An owner's process grows with every request served, until it is killed.

    Callers set deadlines of a day and are answered in a second. What looks at
    a request again at its deadline held it until then, also when it had ended.
    """
    scheduler = PoolScheduler()
    gc.collect()
    before = sum(isinstance(found, Job) for found in gc.get_objects())
    for number in range(2000):
        now = NOW + number
        name = f"r{number}"
        scheduler.announce(upstream(sequence=number + 1), now)
        scheduler.register(request(name, deadline=now + 86_400), now)
        scheduler.started(name, now)
        scheduler.finished(completion(name), now + 0.5)
        scheduler.tick(now + 0.9)
    gc.collect()
    held = sum(isinstance(found, Job) for found in gc.get_objects()) - before
    assert held < 500


@pytest.mark.parametrize("outcome", ["rejected", "caller-gone"])
def test_requests_at_fault_themselves_do_not_pause_an_upstream(outcome: str):
    """One caller's bad requests keep everybody from a service for seconds.

    A script asks for bonds that don't exist, or leaves before its answers come.
    Each counted as a failure of the upstream, which was paused as sick.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    for number in range(6):
        name = f"r{number}"
        [granted] = scheduler.register(request(name), NOW)
        assert isinstance(granted, Granted)
        scheduler.started(name, NOW)
        scheduler.finished(completion(name, outcome=outcome), NOW)
    assert len(scheduler.register(request("next"), NOW)) == 1


def test_late_by_a_guess_is_tried_once():
    """A new owner refuses long work for ever that its engine would end in time.

    It has measured nothing, refuses by its first guess, and so measures nothing.
    One such request is granted; until it has ended, the next are refused.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(), NOW)
    long = {"output_tokens": 100_000}
    [granted] = scheduler.register(request("a", **long), NOW)
    assert isinstance(granted, Granted)
    [refused] = scheduler.register(request("b", **long), NOW)
    assert isinstance(refused, Refused)
    scheduler.started("a", NOW)
    scheduler.finished(completion("a", output_tokens=100_000), NOW + 1)
    [granted] = scheduler.register(request("c", **long), NOW + 1)
    assert isinstance(granted, Granted)


def test_slowed_engine_is_tried_again():
    """An engine was slow for a while; now it idles, and all work is refused.

    Each estimate says too late, so that no request shows that it is fast again.
    """
    scheduler = PoolScheduler()
    for number in range(10):
        now = NOW + 100 * number
        name = f"s{number}"
        scheduler.announce(upstream(sequence=number + 1), now)
        scheduler.register(request(name, deadline=now + 1000), now)
        scheduler.started(name, now)
        slow = completion(name, first_token=10.0, total=90.0)
        scheduler.finished(slow, now + 90)
    now = NOW + 1000
    scheduler.announce(upstream(sequence=100), now)
    decisions = []
    for number in range(10):
        decisions += scheduler.register(
            request(f"r{number}", deadline=now + 30, output_tokens=500), now
        )
    granted = [found for found in decisions if isinstance(found, Granted)]
    assert [found.request_id for found in granted] == ["r0"]
    assert len(decisions) == 10
