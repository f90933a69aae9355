"""Decisions on requests with an objective for the first output."""

from typing import Any

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.core.outcomes import Reason

from .builders import completion, request, upstream

NOW = 1000.0


def new_scheduler(**changes: Any) -> PoolScheduler:
    scheduler = PoolScheduler(REGISTERED_PARAMETERS._replace(**changes))
    scheduler.announce(upstream(slots=1), NOW)
    return scheduler


def ids(decisions: list[Decision], kind: type = Granted) -> list[str]:
    return [item.request_id for item in decisions if isinstance(item, kind)]


def occupy(scheduler: PoolScheduler, now: float = NOW) -> None:
    assert ids(scheduler.register(request("first"), now)) == ["first"]
    scheduler.started("first", now)


def test_all_slots_are_filled_while_work_waits():
    """Requests wait for seconds although engines have free slots.

    The headroom for higher tiers and the adaptive limit kept a third of the slots free,
    although no running request was at risk.
    """
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream(slots=8), NOW)
    granted = []
    for number in range(8):
        low = request(f"r{number}", tier_rank=2, prompt_tokens=1)
        granted += ids(scheduler.register(low, NOW))
    assert len(granted) == 8


def test_late_request_is_demoted_behind_those_still_in_time():
    """In a burst of a few seconds all requests miss their objective one by one.

    A request that has missed its objective is worth less, and must not be served before
    one that can still be in time.
    """
    scheduler = new_scheduler()
    occupy(scheduler)
    late = request("late", first_by=NOW + 0.4, start_by=NOW + 9)
    scheduler.register(late, NOW)
    scheduler.tick(NOW + 0.5)
    scheduler.register(
        request("fresh", arrived=NOW + 0.5, first_by=NOW + 0.9), NOW + 0.5
    )
    after = scheduler.finished(completion("first"), NOW + 0.6)
    assert ids(after) == ["fresh"]
    scheduler.started("fresh", NOW + 0.6)
    assert ids(scheduler.finished(completion("fresh"), NOW + 0.7)) == ["late"]


def test_large_request_is_demoted_no_sooner_than_a_small_one():
    """In a long queue large requests are refused and small ones behind them served."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream(slots=1), NOW)
    for number in range(20):
        asked = request(f"r{number}", first_by=NOW + 0.4, start_by=NOW + 9)
        assert ids(scheduler.register(asked, NOW)) == [f"r{number}"]
        scheduler.started(f"r{number}", NOW)
        scheduler.finished(completion(f"r{number}", output_tokens=1), NOW)
    occupy(scheduler)
    terms = {"first_by": NOW + 1.0, "start_by": NOW + 9}
    scheduler.register(request("large", prompt_tokens=2000, **terms), NOW)
    scheduler.register(request("small", **terms), NOW)
    scheduler.tick(NOW + 0.8)
    assert ids(scheduler.finished(completion("first"), NOW + 0.8)) == ["large"]


def test_long_output_that_just_fits_is_granted_beside_other_work():
    """Requests with long outputs are skipped until they are too late."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream(slots=2), NOW)
    occupy(scheduler)
    long = request("long", output_tokens=2000)
    (granted,) = scheduler.register(long, NOW)
    scheduler.cancel("long", NOW)
    deadline = NOW + 1.05 * granted.basis.expected
    assert ids(scheduler.register(long._replace(deadline=deadline), NOW)) == ["long"]


def test_demoted_request_without_a_chance_is_refused_at_once():
    """A demoted request waits for seconds behind its tier and is refused in the end."""
    scheduler = new_scheduler()
    occupy(scheduler)
    scheduler.register(request("late", first_by=NOW + 0.4, start_by=NOW + 4), NOW)
    scheduler.tick(NOW + 0.5)
    for number in range(40):
        terms = {"first_by": NOW + 90, "start_by": NOW + 99, "deadline": NOW + 120}
        scheduler.register(request(f"r{number}", arrived=NOW + 0.5, **terms), NOW + 0.5)
    assert ids(scheduler.tick(NOW + 0.8), Refused) == ["late"]


def test_demoted_request_is_refused_at_once_even_with_a_lower_tier():
    """Demoted requests of a middle tier wait in vain while a lower tier waits, too."""
    scheduler = new_scheduler(lower_share=0.0)
    occupy(scheduler)
    late = {"first_by": NOW + 0.4, "start_by": NOW + 4}
    scheduler.register(request("late", tier_rank=1, **late), NOW)
    early = {"first_by": NOW + 90, "start_by": NOW + 99, "deadline": NOW + 120}
    scheduler.register(request("low", tier_rank=2, **early), NOW)
    scheduler.tick(NOW + 0.5)
    for number in range(40):
        scheduler.register(request(f"r{number}", arrived=NOW + 0.5, **early), NOW + 0.5)
    assert ids(scheduler.tick(NOW + 0.8), Refused) == ["late"]


def test_demoted_request_goes_before_a_lower_tier():
    scheduler = new_scheduler(lower_share=0.0)
    occupy(scheduler)
    scheduler.register(request("late", first_by=NOW + 0.4, start_by=NOW + 9), NOW)
    scheduler.tick(NOW + 0.5)
    lower = request("lower", tier_rank=1, arrived=NOW + 0.5, first_by=NOW + 0.9)
    scheduler.register(lower, NOW + 0.5)
    assert ids(scheduler.finished(completion("first"), NOW + 0.6)) == ["late"]


def test_request_is_refused_before_its_caller_gives_up():
    """A caller gives up without a response and gets no Retry-After.

    The request could still end before its deadline, but the caller doesn't wait that
    long for the first output.
    """
    scheduler = new_scheduler()
    occupy(scheduler)
    scheduler.register(request("waits", first_by=NOW + 0.4, start_by=NOW + 3), NOW)
    decisions: list[Decision] = []
    now = NOW
    while now < NOW + 3.0:
        now += 0.05
        decisions += scheduler.tick(now)
    assert ids(decisions, Refused) == ["waits"]
    assert decisions[0].reason == Reason.TOO_LATE


def test_refusal_is_not_delayed_by_a_better_prefill_estimate():
    """A caller gives up shortly before it would have received its refusal.

    The estimate of the fastest prefill had improved since the check was scheduled. The
    request was then not quite too late, and the next check came 0.25 s later.
    """
    scheduler = new_scheduler()
    occupy(scheduler)
    waits = request("waits", prompt_tokens=400, first_by=NOW + 0.4, start_by=NOW + 3)
    scheduler.register(waits, NOW)
    speed = scheduler._pool.upstreams_by_name["engine-1"].speed
    decisions: list[Decision] = []
    now = NOW
    while now < NOW + 2.85:
        now = min(max(scheduler.next_wake(now), now + 0.001), NOW + 2.85)
        scheduler.progress("first", int((now - NOW) * 100) + 1, now)
        if now > NOW + 2.3:
            speed.learn_prefill(0, expected=0.1, measured=0.09)
        decisions += scheduler.tick(now)
    assert ids(decisions, Refused) == ["waits"]


def test_lower_tier_keeps_a_small_share():
    """Short calls of the lowest tier are never served in a long overload."""
    scheduler = new_scheduler(lower_share=0.5)
    occupy(scheduler)
    scheduler.register(request("middle", tier_rank=1), NOW)
    scheduler.register(request("low", tier_rank=2), NOW)
    scheduler.tick(NOW + 0.05)
    after = scheduler.finished(completion("first"), NOW + 0.1)
    assert ids(after) == ["low"]


def test_silent_upstream_is_used_only_while_it_responds():
    """An engine cut off only from control gets no requests, or a dead one gets some."""
    scheduler = new_scheduler()
    occupy(scheduler)
    scheduler.progress("first", 5, NOW + 1)
    scheduler.announce(upstream(slots=1, sequence=2, silent=True), NOW + 1)
    assert ids(scheduler.finished(completion("first"), NOW + 1.2)) == []
    assert ids(scheduler.register(request("soon"), NOW + 1.3)) == ["soon"]
    scheduler.cancel("soon", NOW + 1.4)
    assert ids(scheduler.register(request("later"), NOW + 9)) == []


def test_repeated_failures_pause_an_upstream():
    """An engine that fails requests but passes health probes attracts them all."""
    scheduler = new_scheduler()
    for number in range(3):
        name = f"r{number}"
        assert ids(scheduler.register(request(name), NOW)) == [name]
        scheduler.started(name, NOW)
        scheduler.returned(name, "failed", False, NOW)
    assert ids(scheduler.register(request("next"), NOW)) == []


@pytest.mark.parametrize("reported", [True, False])
def test_prefill_is_learned_from_the_time_of_the_first_output(reported):
    """Long prompts are refused as too late although engines are idle.

    An engine prefills 6,000 tokens in a tenth of a second. The output of streams is
    reported to the owner only twice a second. The owner took the time of the report for
    the end of the prefill, and after some requests expected nine seconds for a prompt
    of 37,000 tokens.
    """
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream(slots=8), NOW)
    for number in range(40):
        now = NOW + number
        scheduler.register(request(f"r{number}", prompt_tokens=6000), now)
        scheduler.started(f"r{number}", now)
        scheduler.progress(f"r{number}", 20, now + 0.4, 0.11 if reported else None)
        scheduler.finished(completion(f"r{number}"), now + 0.9)
    [engine] = scheduler._pool.upstreams_by_name.values()
    seconds = engine.speed.prefill_seconds(6000, 0)
    assert (seconds < 0.15) == reported


def test_stream_that_has_begun_is_not_refused_by_the_limit_of_its_first_output():
    """A stream that looked for another upstream was too old for a first output."""
    scheduler = new_scheduler()
    terms = {"first_by": NOW + 0.4, "start_by": NOW + 2, "deadline": NOW + 30}
    assert ids(scheduler.register(request("stream", **terms), NOW)) == ["stream"]
    scheduler.started("stream", NOW)
    scheduler.register(request("next", tier_rank=0, deadline=NOW + 30), NOW)
    scheduler.announce(upstream("other", slots=1), NOW)
    scheduler.register(request("more", tier_rank=0, deadline=NOW + 30), NOW)
    names = frozenset({"other"})
    decisions = scheduler.returned(
        "stream", "upstream-silent", True, NOW + 3, "v1", names
    )
    decisions += scheduler.tick(NOW + 3.1)
    assert ids(decisions, Refused) == []
