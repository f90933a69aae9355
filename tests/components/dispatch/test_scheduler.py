"""Grants and refusals of the scheduler through its public calls."""

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
    decisions = [decision._replace(basis=None) for decision in first]
    assert decisions == [Granted("a", "bole-1", "engine-1", "127.0.0.1:9001", 1)]
    assert first[0].basis.in_flight == 1
    assert scheduler.register(request("b", tier_rank=1), NOW) == []
    assert scheduler.register(request("c", tier_rank=0), NOW) == []
    scheduler.started("a", NOW)
    after = scheduler.finished(completion("a"), NOW + 1)
    assert [decision.request_id for decision in after] == ["c"]


def test_request_is_refused_at_its_deadline():
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


def test_expired_grant_frees_its_slot():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    scheduler.register(request("a"), NOW)
    assert scheduler.register(request("b"), NOW) == []
    [granted] = scheduler.tick(NOW + 2)
    assert granted.request_id == "b"


def test_ended_requests_are_freed_long_before_their_deadlines():
    """The memory of an owner grows with every request until the process is killed.

    Callers set deadlines of a day and get the response in a second. The timer of the
    deadline kept a reference to the request until then, even after its end.
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
def test_rejected_and_cancelled_requests_do_not_pause_an_upstream(outcome: str):
    """Bad requests of one caller make a service unavailable to all for seconds.

    A script asks for bonds that don't exist, or disconnects before the response. Each
    case counted as a failure of the upstream, which was paused as unhealthy.
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


def test_request_late_by_the_initial_estimate_is_tried_once():
    """A new owner refuses long requests forever that its engine would end in time.

    It has no measurements and refuses by its initial estimate, so it never gets any.
    One such request is granted as a probe; the next are refused until it has ended.
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


def test_formerly_slow_engine_is_tried_again():
    """An engine was slow for a while; now it is idle and all requests are refused.

    Each is estimated to end too late, so no request can show that it is fast again.
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


def test_workspace_stays_within_its_concurrency_limit():
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


def test_workspace_over_its_rate_gets_the_time_to_retry():
    scheduler = PoolScheduler()
    scheduler.set_limits({"foresters": WorkspaceLimits(rate=2.0)}, NOW)
    scheduler.announce(upstream(), NOW)
    decisions = [scheduler.register(request(name), NOW)[0] for name in "abc"]
    assert [type(decision) for decision in decisions] == [Granted, Granted, Refused]
    assert decisions[2].reason == "rate-limit"
    assert decisions[2].retry_after == 0.5


def test_waiting_lower_tiers_do_not_make_a_request_too_late():
    """A short request of the top tier arrives at a long queue of the lowest one.

    It would be refused as too late although it is the next to run, if the estimate
    counted the work that it displaces.
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


def test_request_registered_again_is_granted_after_its_grant_expired():
    """The connection to an entry host breaks while a grant is in transit.

    The caller would wait until the deadline, since the host never received the grant
    and the owner assumes it is in use. The host registers the request again.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    assert len(scheduler.register(request("a"), NOW)) == 1
    assert scheduler.register(request("a"), NOW + 0.5) == []
    scheduler.announce(upstream(slots=1, sequence=2), NOW + 1)
    [again] = scheduler.tick(NOW + 2)
    assert isinstance(again, Granted)


def test_late_report_of_use_counts_the_request_again():
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1), NOW)
    scheduler.register(request("a"), NOW)
    scheduler.announce(upstream(slots=1, sequence=2), NOW + 1)
    assert scheduler.tick(NOW + 2) == []
    scheduler.started("a", NOW + 2.1)
    assert scheduler.register(request("b"), NOW + 2.2) == []


def test_unhealthy_upstream_pauses_and_is_used_again_after_a_probe():
    """An upstream refuses connections while it still announces itself.

    Without a pause each request would be sent there first and returned.
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


def test_requests_go_to_their_cached_prefix_until_its_upstream_is_busy():
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
    """A caller is refused although the only engine is idle.

    The engine needs 2.0 to 4.0 s for such requests, and the caller allows 3.2 s. The
    request is in time without the margin for a wrong estimate, but not with it. Waiting
    for an idle engine changes neither, and the request was shed at once.
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


def test_first_refusals_of_a_tier_have_a_realistic_retry_time():
    """Silver callers get a Retry-After of a minute although the queue takes seconds.

    Gold requests arrived first and wait. No silver request has been granted yet, so the
    measured grant rate of that tier is zero, which was assumed to last.
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
