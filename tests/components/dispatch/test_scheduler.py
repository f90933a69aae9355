"""Grants, refusals and upstreams, seen from outside."""

import gc

import pytest

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import (
    Granted,
    Refused,
    WorkspaceLimits,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0


def test_one_grant_per_free_slot_and_top_tier_first():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    first = scheduler.register(request("a", tier_rank=1), NOW)
    told = [decision._replace(basis=None) for decision in first]
    assert told == [Granted("a", "bole-1", "engine-1", "127.0.0.1:9001", 1)]
    assert first[0].basis.in_flight == 1
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


def test_a_workspace_stays_within_its_concurrency():
    scheduler = PoolScheduler()
    scheduler.set_limits({"foresters": WorkspaceLimits(concurrency=1)}, NOW)
    scheduler.announce(upstream(slots=4), NOW)
    assert len(scheduler.register(request("a"), NOW)) == 1
    assert scheduler.register(request("b"), NOW) == []
    [other] = scheduler.register(request("c", workspace="research"), NOW)
    assert other.request_id == "c"
    [refused] = scheduler.register(request("d"), NOW)
    assert refused.reason == "concurrency-limit"
    [granted] = scheduler.finished(completion("a"), NOW + 1)
    assert granted.request_id == "b"


def test_a_workspace_over_its_rate_hears_when_to_come_back():
    scheduler = PoolScheduler()
    scheduler.set_limits({"foresters": WorkspaceLimits(rate=2.0)}, NOW)
    scheduler.announce(upstream(), NOW)
    decisions = [scheduler.register(request(name), NOW)[0] for name in "abc"]
    assert [type(decision) for decision in decisions] == [Granted, Granted, Refused]
    assert decisions[2].reason == "rate-limit"
    assert decisions[2].retry_after == 0.5


def test_not_late_because_of_lower_tiers_that_wait():
    """A short request of the top tier meets a long queue of the lowest one.

    The user would be refused as too late, although the request would be the
    next to run. The cause would be an estimate that counts what it displaces.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    for number in range(50):
        scheduler.register(
            request(f"low{number}", tier_rank=2, deadline=NOW + 1000), NOW
        )
    assert scheduler.register(request("top", deadline=NOW + 5), NOW) == []
    [granted] = scheduler.finished(completion("low0"), NOW + 1)
    assert granted.request_id == "top"


def test_a_request_registered_anew_is_granted_after_its_grant_lapsed():
    """The link to an entry host breaks while a grant is on its way.

    The user would wait until the deadline, since the host never saw the grant
    and the owner believes it is in use. The host registers the request anew.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    assert len(scheduler.register(request("a"), NOW)) == 1
    assert scheduler.register(request("a"), NOW + 0.5) == []
    scheduler.announce(upstream(slots=1, sequence=2), NOW + 1)
    [again] = scheduler.tick(NOW + 2)
    assert isinstance(again, Granted)


def test_a_late_message_of_use_counts_the_request_again():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    scheduler.register(request("a"), NOW)
    scheduler.announce(upstream(slots=1, sequence=2), NOW + 1)
    assert scheduler.tick(NOW + 2) == []
    scheduler.started("a", NOW + 2.1)
    assert scheduler.register(request("b"), NOW + 2.2) == []


def test_a_sick_upstream_pauses_and_is_taken_back_by_a_probe():
    """An upstream refuses connections while it still announces itself.

    Without a pause each request would be sent there first and come back.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=2), NOW)
    scheduler.register(request("a"), NOW)
    assert scheduler.returned("a", "refused-connection", True, NOW) == []
    assert scheduler.tick(NOW + 0.1) == []
    [probe] = scheduler.tick(NOW + 0.6)
    assert isinstance(probe, Granted)
    assert scheduler.register(request("b"), NOW + 0.7) == []
    [granted] = scheduler.finished(completion("a"), NOW + 1)
    assert granted.request_id == "b"


def test_a_prefix_draws_requests_until_its_upstream_is_busy():
    scheduler = PoolScheduler()
    for name in ("engine-1", "engine-2"):
        scheduler.announce(upstream(name, slots=2), NOW)
    big = request("a", prompt_tokens=1000, prefix_hashes=(1, 2, 3, 4))
    [first] = scheduler.register(big, NOW)
    scheduler.progress("a", 1, NOW + 0.3)
    [second] = scheduler.register(big._replace(request_id="b"), NOW + 1)
    assert second.upstream == first.upstream
    [third] = scheduler.register(big._replace(request_id="c"), NOW + 1)
    assert third.upstream != first.upstream


def test_request_that_just_fits_goes_to_an_idle_engine():
    """A caller is refused although the only engine has nothing to do.

    The engine needs 2.0 to 4.0 s for such work, and the caller leaves 3.2. With the
    margin for a wrong estimate it seems late, without it not; waiting beside an
    idle engine makes neither better, and it was shed at once.
    """
    scheduler = PoolScheduler()
    for number in range(12):
        now = NOW + 10 * number
        name = f"s{number}"
        scheduler.announce(upstream(sequence=number + 1), now)
        scheduler.register(request(name, deadline=now + 1000), now)
        scheduler.started(name, now)
        total = 2.0 + number % 3
        scheduler.finished(completion(name, first_token=0.1, total=total), now + total)
    now = NOW + 200
    scheduler.announce(upstream(sequence=100), now)
    scheduler.register(request("probe", deadline=now + 1000), now)
    scheduler.started("probe", now)
    scheduler.finished(completion("probe", first_token=0.1, total=3.0), now + 0.1)
    decisions = scheduler.register(request("x", deadline=now + 3.3), now + 0.1)
    decisions += scheduler.tick(now + 0.2)
    assert [type(found) for found in decisions] == [Granted]


def test_first_refusals_of_a_tier_name_a_time_that_fits():
    """Callers of silver are told to come back in a minute; it takes seconds.

    Gold requests came first and wait. No silver one has been granted yet, so the
    rate at which that tier was granted work is nothing, and was taken for lasting.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=2), NOW)
    for number in range(8):
        scheduler.register(request(f"g{number}", deadline=NOW + 30), NOW)
    silver = {"tier": "silver", "tier_rank": 1, "deadline": NOW + 2.0}
    decisions = []
    for number in range(8):
        decisions += scheduler.register(request(f"s{number}", **silver), NOW + 0.1)
    refused = [found for found in decisions if isinstance(found, Refused)]
    assert refused
    assert max(found.retry_after for found in refused) < 15.0
