"""Decisions for requests whose first output has an objective."""

from typing import Any

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.core.outcomes import Reason

from .builders import completion, request, upstream

NOW = 1000.0


def scheduler(**changes: Any) -> PoolScheduler:
    made = PoolScheduler(REGISTERED_PARAMETERS._replace(**changes))
    made.announce(upstream(slots=1), NOW)
    return made


def ids(decisions: list[Decision], kind: type = Granted) -> list[str]:
    return [item.request_id for item in decisions if isinstance(item, kind)]


def occupy(made: PoolScheduler, now: float = NOW) -> None:
    assert ids(made.register(request("first"), now)) == ["first"]
    made.started("first", now)


def test_all_slots_are_filled_while_work_waits():
    """Requests wait for seconds beside engines that have free slots.

    Room that was kept for higher tiers, and a bound learned from latency, held a
    third of the slots back though nothing that ran was in danger.
    """
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=8), NOW)
    granted = []
    for number in range(8):
        low = request(f"r{number}", tier_rank=2, prompt_tokens=1)
        granted += ids(made.register(low, NOW))
    assert len(granted) == 8


def test_late_request_goes_behind_those_that_can_still_be_in_time():
    """In a burst of seconds everybody is served too late, one after the other.

    What has missed its objective is worth less than what has not, and took its place.
    """
    made = scheduler()
    occupy(made)
    late = request("late", first_by=NOW + 0.4, start_by=NOW + 9)
    made.register(late, NOW)
    made.tick(NOW + 0.5)
    made.register(request("fresh", arrived=NOW + 0.5, first_by=NOW + 0.9), NOW + 0.5)
    after = made.finished(completion("first"), NOW + 0.6)
    assert ids(after) == ["fresh"]
    made.started("fresh", NOW + 0.6)
    assert ids(made.finished(completion("fresh"), NOW + 0.7)) == ["late"]


def test_large_request_keeps_its_place_as_long_as_a_small_one():
    """Large requests are refused in a long queue, small ones behind them served."""
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=1), NOW)
    for number in range(20):
        asked = request(f"r{number}", first_by=NOW + 0.4, start_by=NOW + 9)
        assert ids(made.register(asked, NOW)) == [f"r{number}"]
        made.started(f"r{number}", NOW)
        made.finished(completion(f"r{number}", output_tokens=1), NOW)
    occupy(made)
    terms = {"first_by": NOW + 1.0, "start_by": NOW + 9}
    made.register(request("large", prompt_tokens=2000, **terms), NOW)
    made.register(request("small", **terms), NOW)
    made.tick(NOW + 0.8)
    assert ids(made.finished(completion("first"), NOW + 0.8)) == ["large"]


def test_long_output_that_just_fits_is_sent_beside_other_work():
    """Requests with long outputs are passed over until they are late."""
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=2), NOW)
    occupy(made)
    long = request("long", output_tokens=2000)
    (granted,) = made.register(long, NOW)
    made.cancel("long", NOW)
    deadline = NOW + 1.05 * granted.basis.expected
    assert ids(made.register(long._replace(deadline=deadline), NOW)) == ["long"]


def test_late_request_that_will_not_be_reached_is_refused_at_once():
    """A request waits for seconds behind its tier, and is refused all the same."""
    made = scheduler()
    occupy(made)
    made.register(request("late", first_by=NOW + 0.4, start_by=NOW + 4), NOW)
    made.tick(NOW + 0.5)
    for number in range(40):
        terms = {"first_by": NOW + 90, "start_by": NOW + 99, "deadline": NOW + 120}
        made.register(request(f"r{number}", arrived=NOW + 0.5, **terms), NOW + 0.5)
    assert ids(made.tick(NOW + 0.8), Refused) == ["late"]


def test_late_request_is_refused_at_once_also_beside_a_lower_tier():
    """Requests of a middle tier wait in vain for seconds beside a lower one."""
    made = scheduler(lower_share=0.0)
    occupy(made)
    late = {"first_by": NOW + 0.4, "start_by": NOW + 4}
    made.register(request("late", tier_rank=1, **late), NOW)
    early = {"first_by": NOW + 90, "start_by": NOW + 99, "deadline": NOW + 120}
    made.register(request("low", tier_rank=2, **early), NOW)
    made.tick(NOW + 0.5)
    for number in range(40):
        made.register(request(f"r{number}", arrived=NOW + 0.5, **early), NOW + 0.5)
    assert ids(made.tick(NOW + 0.8), Refused) == ["late"]


def test_late_request_goes_before_a_lower_tier():
    made = scheduler(lower_share=0.0)
    occupy(made)
    made.register(request("late", first_by=NOW + 0.4, start_by=NOW + 9), NOW)
    made.tick(NOW + 0.5)
    lower = request("lower", tier_rank=1, arrived=NOW + 0.5, first_by=NOW + 0.9)
    made.register(lower, NOW + 0.5)
    assert ids(made.finished(completion("first"), NOW + 0.6)) == ["late"]


def test_request_is_refused_when_its_caller_is_about_to_leave():
    """A caller leaves without an answer, and hears nothing of when to come back.

    Its request could still have ended before its deadline, but nobody waits so long
    for the first output.
    """
    made = scheduler()
    occupy(made)
    made.register(request("waits", first_by=NOW + 0.4, start_by=NOW + 3), NOW)
    decisions: list[Decision] = []
    now = NOW
    while now < NOW + 3.0:
        now += 0.05
        decisions += made.tick(now)
    assert ids(decisions, Refused) == ["waits"]
    assert decisions[0].reason == Reason.TOO_LATE


def test_refusal_does_not_wait_for_the_next_round_of_looks():
    """A caller leaves a moment before it would have been told when to come back.

    What was known of the fastest prefill had become better since the look was planned,
    so that the time had not quite come, and the next look was a quarter second later.
    """
    made = scheduler()
    occupy(made)
    waits = request("waits", prompt_tokens=400, first_by=NOW + 0.4, start_by=NOW + 3)
    made.register(waits, NOW)
    speed = made._pool.upstreams_by_name["engine-1"].speed
    decisions: list[Decision] = []
    now = NOW
    while now < NOW + 2.85:
        now = min(max(made.next_wake(now), now + 0.001), NOW + 2.85)
        made.progress("first", int((now - NOW) * 100) + 1, now)
        if now > NOW + 2.3:
            speed.learn_prefill(0, expected=0.1, measured=0.09)
        decisions += made.tick(now)
    assert ids(decisions, Refused) == ["waits"]


def test_lower_tier_keeps_a_small_share():
    """Short calls of the lowest tier get no service at all in a long overload."""
    made = scheduler(lower_share=0.5)
    occupy(made)
    made.register(request("middle", tier_rank=1), NOW)
    made.register(request("low", tier_rank=2), NOW)
    made.tick(NOW + 0.05)
    after = made.finished(completion("first"), NOW + 0.1)
    assert ids(after) == ["low"]


def test_silent_upstream_is_used_only_while_its_answers_come():
    """An engine that is cut off from control only gets no work, or a dead one does."""
    made = scheduler()
    occupy(made)
    made.progress("first", 5, NOW + 1)
    made.announce(upstream(slots=1, sequence=2, silent=True), NOW + 1)
    assert ids(made.finished(completion("first"), NOW + 1.2)) == []
    assert ids(made.register(request("soon"), NOW + 1.3)) == ["soon"]
    made.cancel("soon", NOW + 1.4)
    assert ids(made.register(request("later"), NOW + 9)) == []


def test_repeated_failures_make_an_upstream_pause():
    """An engine that fails what it runs, beside a good health probe, gets it all."""
    made = scheduler()
    for number in range(3):
        name = f"r{number}"
        assert ids(made.register(request(name), NOW)) == [name]
        made.started(name, NOW)
        made.returned(name, "failed", False, NOW)
    assert ids(made.register(request("next"), NOW)) == []


@pytest.mark.parametrize("told", [True, False])
def test_prefill_is_learned_from_when_the_first_output_came(told):
    """Long prompts are refused as late beside engines that do nothing.

    An engine reads 6,000 tokens in a tenth of a second. The owner hears of the output
    of streams twice a second only, took that for the end of the prefill, and believed
    after some requests that a prompt of 37,000 takes nine seconds.
    """
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=8), NOW)
    for number in range(40):
        now = NOW + number
        made.register(request(f"r{number}", prompt_tokens=6000), now)
        made.started(f"r{number}", now)
        made.progress(f"r{number}", 20, now + 0.4, 0.11 if told else None)
        made.finished(completion(f"r{number}"), now + 0.9)
    [engine] = made._pool.upstreams_by_name.values()
    seconds = engine.speed.prefill_seconds(6000, 0)
    assert (seconds < 0.15) == told
