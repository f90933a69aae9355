"""Decisions on requests with an objective for the first output."""

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
    """Requests wait for seconds although engines have free slots.

    The headroom for higher tiers and the adaptive limit kept a third of the slots free,
    although no running request was at risk.
    """
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=8), NOW)
    granted = []
    for number in range(8):
        low = request(f"r{number}", tier_rank=2, prompt_tokens=1)
        granted += ids(made.register(low, NOW))
    assert len(granted) == 8


def test_late_request_is_demoted_behind_those_still_in_time():
    """In a burst of a few seconds all requests miss their objective one by one.

    A request that has missed its objective is worth less, and must not be served before
    one that can still be in time.
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


def test_large_request_is_demoted_no_sooner_than_a_small_one():
    """In a long queue large requests are refused and small ones behind them served."""
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


def test_long_output_that_just_fits_is_granted_beside_other_work():
    """Requests with long outputs are skipped until they are too late."""
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=2), NOW)
    occupy(made)
    long = request("long", output_tokens=2000)
    (granted,) = made.register(long, NOW)
    made.cancel("long", NOW)
    deadline = NOW + 1.05 * granted.basis.expected
    assert ids(made.register(long._replace(deadline=deadline), NOW)) == ["long"]


def test_demoted_request_without_a_chance_is_refused_at_once():
    """A demoted request waits for seconds behind its tier and is refused in the end."""
    made = scheduler()
    occupy(made)
    made.register(request("late", first_by=NOW + 0.4, start_by=NOW + 4), NOW)
    made.tick(NOW + 0.5)
    for number in range(40):
        terms = {"first_by": NOW + 90, "start_by": NOW + 99, "deadline": NOW + 120}
        made.register(request(f"r{number}", arrived=NOW + 0.5, **terms), NOW + 0.5)
    assert ids(made.tick(NOW + 0.8), Refused) == ["late"]


def test_demoted_request_is_refused_at_once_even_with_a_lower_tier():
    """Demoted requests of a middle tier wait in vain while a lower tier waits, too."""
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


def test_demoted_request_goes_before_a_lower_tier():
    made = scheduler(lower_share=0.0)
    occupy(made)
    made.register(request("late", first_by=NOW + 0.4, start_by=NOW + 9), NOW)
    made.tick(NOW + 0.5)
    lower = request("lower", tier_rank=1, arrived=NOW + 0.5, first_by=NOW + 0.9)
    made.register(lower, NOW + 0.5)
    assert ids(made.finished(completion("first"), NOW + 0.6)) == ["late"]


def test_request_is_refused_before_its_caller_gives_up():
    """A caller gives up without a response and gets no Retry-After.

    The request could still end before its deadline, but the caller doesn't wait that
    long for the first output.
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


def test_refusal_is_not_delayed_by_a_better_prefill_estimate():
    """A caller gives up shortly before it would have received its refusal.

    The estimate of the fastest prefill had improved since the check was scheduled. The
    request was then not quite too late, and the next check came 0.25 s later.
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
    """Short calls of the lowest tier are never served in a long overload."""
    made = scheduler(lower_share=0.5)
    occupy(made)
    made.register(request("middle", tier_rank=1), NOW)
    made.register(request("low", tier_rank=2), NOW)
    made.tick(NOW + 0.05)
    after = made.finished(completion("first"), NOW + 0.1)
    assert ids(after) == ["low"]


def test_silent_upstream_is_used_only_while_it_responds():
    """An engine cut off only from control gets no requests, or a dead one gets some."""
    made = scheduler()
    occupy(made)
    made.progress("first", 5, NOW + 1)
    made.announce(upstream(slots=1, sequence=2, silent=True), NOW + 1)
    assert ids(made.finished(completion("first"), NOW + 1.2)) == []
    assert ids(made.register(request("soon"), NOW + 1.3)) == ["soon"]
    made.cancel("soon", NOW + 1.4)
    assert ids(made.register(request("later"), NOW + 9)) == []


def test_repeated_failures_pause_an_upstream():
    """An engine that fails its requests but passes its health probe gets them all."""
    made = scheduler()
    for number in range(3):
        name = f"r{number}"
        assert ids(made.register(request(name), NOW)) == [name]
        made.started(name, NOW)
        made.returned(name, "failed", False, NOW)
    assert ids(made.register(request("next"), NOW)) == []


@pytest.mark.parametrize("reported", [True, False])
def test_prefill_is_learned_from_the_time_of_the_first_output(reported):
    """Long prompts are refused as too late although engines are idle.

    An engine prefills 6,000 tokens in a tenth of a second. The output of streams is
    reported to the owner only twice a second. The owner took the time of the report for
    the end of the prefill, and after some requests expected nine seconds for a prompt
    of 37,000 tokens.
    """
    made = PoolScheduler(REGISTERED_PARAMETERS)
    made.announce(upstream(slots=8), NOW)
    for number in range(40):
        now = NOW + number
        made.register(request(f"r{number}", prompt_tokens=6000), now)
        made.started(f"r{number}", now)
        made.progress(f"r{number}", 20, now + 0.4, 0.11 if reported else None)
        made.finished(completion(f"r{number}"), now + 0.9)
    [engine] = made._pool.upstreams_by_name.values()
    seconds = engine.speed.prefill_seconds(6000, 0)
    assert (seconds < 0.15) == reported
