"""How long work takes on shared machines, as responses state it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.dispatch import make_registered_scheduler
from bitterntiller.components.dispatch.models import Granted, UpstreamLoad
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.dispatch.stated_speed import Statement, sample_factor
from tests.components.dispatch import builders as build
from tests.components.dispatch.shared_machines import (
    BEGIN,
    SLOTS,
    WORK_SECONDS,
    answer,
    call,
    plain_scheduler,
    play,
)

NONSENSE = 10_000
WARM = BEGIN + 2.0


def warmed(uneven: str = "stated", percents: tuple = (None, None)) -> PoolScheduler:
    """Return two services of the same speed that state these figures until WARM."""
    scheduler = plain_scheduler(uneven, "p1", "p2")
    for number in range(20):
        now = WARM - 0.1 * (20 - number)
        for name, other, percent in zip(
            ("p1", "p2"), ("p2", "p1"), percents, strict=True
        ):
            call(scheduler, number, now, tried=(other,))
            end = now + WORK_SECONDS
            answer(scheduler, f"c{number}", name, WORK_SECONDS, percent, end)
    return scheduler


def described(scheduler: PoolScheduler, name: str, now: float) -> dict:
    return scheduler.describe(now)["upstreams_by_name"][name]


def test_calls_are_kept_off_machines_that_state_that_work_takes_longer():
    """Grants followed the learned speed only, which lags behind such changes."""
    without = [play("off", seed, 30.0, 120, SLOTS, True) for seed in (1, 2, 3)]
    with_it = [play("stated", seed, 30.0, 120, SLOTS, True) for seed in (1, 2, 3)]
    at_busy = sum(result.granted_at_busy for result in without)
    assert sum(result.granted_at_busy for result in with_it) <= 0.7 * at_busy
    for before, after in zip(without, with_it, strict=True):
        assert after.share_in_time >= before.share_in_time


@pytest.mark.parametrize(("uneven", "stated"), [("off", True), ("stated", False)])
def test_every_decision_is_as_before_where_the_part_is_not_in_effect(uneven, stated):
    """A pool without the part, or without statements, must not change at all."""
    for processors, rate in ((SLOTS, 120), (1, 90)):
        before = play("off", 4, 6.0, rate, processors, False)
        assert play(uneven, 4, 6.0, rate, processors, stated) == before


@pytest.mark.parametrize("percent", [0, -5, 10_001, 2**31 - 1])
def test_figure_out_of_bounds_is_treated_as_none(percent):
    """A figure from another release, or a fault, could make an upstream unusable."""
    scheduler = warmed(percents=(percent, percent))
    now = WARM
    assert not scheduler.describe(now)["uneven"]
    stated = described(scheduler, "p1", now)["stated_work_time"]
    assert stated == {"percent": None, "age": None, "samples": 0, "factor": 1.0}


@pytest.mark.parametrize("uneven", ["stated", "on"])
def test_upstream_that_states_nonsense_is_used_when_others_are_full(uneven):
    """Its samples divided by the figure would also make it seem a hundred times faster,
    so that it attracted all calls once its last statement was old."""
    scheduler = warmed(uneven, (NONSENSE, 100))
    now = WARM
    assert described(scheduler, "p1", now)["speed_scale"] == pytest.approx(1, rel=0.2)
    call(scheduler, 100, now, tried=("p2",))
    answer(scheduler, "c100", "p1", WORK_SECONDS, NONSENSE, now)
    granted = [
        name
        for number in range(2 * SLOTS)
        for name in build.granted(call(scheduler, 200 + number, now))
    ]
    assert granted == ["p2"] * SLOTS + ["p1"] * SLOTS


def test_statement_of_the_process_before_is_discarded_at_a_new_start():
    """A new process may run on another machine."""
    scheduler = warmed(percents=(250, 250))
    state = build.upstream("p1", incarnation=2, slots=SLOTS)
    scheduler.announce(state, WARM)
    stated = described(scheduler, "p1", WARM)["stated_work_time"]
    assert (stated["percent"], stated["factor"]) == (None, 1.0)


def test_old_statement_no_longer_counts():
    """An upstream that was slow, and got nothing since, would never be used again."""
    scheduler = warmed(percents=(250, 100))
    now = WARM - 0.1 + WORK_SECONDS
    factors = [
        described(scheduler, "p1", now + age)["stated_work_time"]["factor"]
        for age in (0.0, 0.3, 3.0)
    ]
    assert factors == pytest.approx([2.5, 1.552, 1.0], abs=0.001)


def test_statement_that_arrives_after_a_newer_one_is_ignored():
    """The end of a long response reports what its head stated a while ago."""
    scheduler = plain_scheduler("on", "p1")
    for number, seconds, percent, at in ((0, 0.1, 100, 0.9), (1, 1.0, 250, 1.0)):
        call(scheduler, number, BEGIN)
        end = build.completion(
            f"c{number}",
            "p1",
            first_token=0.1,
            total=seconds,
            load=UpstreamLoad(0, 0, 0, BEGIN + at, percent),
        )
        scheduler.finished(end, BEGIN + at)
    stated = described(scheduler, "p1", BEGIN + 1.0)["stated_work_time"]
    assert (stated["percent"], stated["samples"]) == (100, 1)


def learned_engine(percent: int | None, slowdown: float) -> dict:
    """Return an engine's dump after streams that took longer by a factor."""
    scheduler = make_registered_scheduler("engine", uneven="on")
    scheduler.announce(build.upstream("e1"), BEGIN)
    for number in range(30):
        now = BEGIN + 10.0 * number
        request = build.request(
            f"r{number}", prompt_tokens=2000, arrived=now, deadline=now + 30
        )
        assert build.granted(scheduler.register(request, now)) == ["e1"]
        scheduler.started(f"r{number}", now)
        first = 0.5 * slowdown
        scheduler.progress(f"r{number}", 1, now + first + 0.01, first, percent)
        # The statement holds for the first outputs only.
        outputs_end = now + first + 0.01 + 0.05 * slowdown
        scheduler.progress(f"r{number}", 6, outputs_end)
        scheduler.finished(
            build.completion(
                f"r{number}", "e1", output_tokens=6, first_token=first, total=2.0
            ),
            outputs_end,
        )
    request = build.request("last", prompt_tokens=2000, arrived=1300, deadline=1330)
    scheduler.register(request, 1300.0)
    return described(scheduler, "e1", 1300.0)


def test_learned_speed_of_an_engine_is_that_of_an_undisturbed_machine():
    """Slow moments were learned, so the engine was avoided after they had passed."""
    usual = learned_engine(None, 1.0)
    stated = learned_engine(250, 2.5)
    unstated = learned_engine(None, 2.5)
    for name, tolerance in (("prefill_seconds", 0.1), ("speed_scale", 0.15)):
        assert stated[name] == pytest.approx(usual[name], rel=tolerance)
    assert unstated["prefill_seconds"] > 2 * usual["prefill_seconds"]


def test_no_request_is_refused_as_late_for_a_statement():
    """The machine may be as fast as usual a moment later, and the caller waits."""
    scheduler = warmed(percents=(NONSENSE, NONSENSE))
    now = WARM - 0.1 + WORK_SECONDS
    request = build.request("r", prompt_tokens=1, arrived=now, deadline=now + 0.1)
    assert len(build.granted(scheduler.register(request, now))) == 1


def test_grant_states_what_it_was_based_on():
    """Without it, nobody can tell later why a slower upstream was chosen."""
    scheduler = warmed(percents=(250, 250))
    decision = call(scheduler, 100, WARM)[0]
    assert isinstance(decision, Granted)
    assert decision.basis.stated_percent == 250
    assert decision.basis.stated_age == pytest.approx(0.1 - WORK_SECONDS)
    decision = call(warmed("off", (250, 250)), 100, WARM)[0]
    assert decision.basis[-2:] == (None, None)


@given(st.integers(1, 10_000), st.floats(0, 100), st.floats(1e-6, 100))
def test_factor_lies_between_the_stated_one_and_one(percent, age, seconds):
    statement = Statement(percent, BEGIN)
    low, high = sorted((1.0, percent / 100))
    for factor in (
        statement.factor(BEGIN + age),
        statement.mean_factor(BEGIN + age, seconds),
        sample_factor(percent / 100, seconds, 1.0),
    ):
        assert low - 1e-9 <= factor <= high + 1e-9
