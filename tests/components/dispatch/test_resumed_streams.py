"""Streams that go on after a break need only the time of their rest."""

from typing import Any

import pytest

from bitterntiller.components.dispatch.const import REASON_LOST_ANSWER
from bitterntiller.components.dispatch.models import Granted, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
OUTPUT = 50
SECONDS_PER_OUTPUT = 0.1
WHOLE_SECONDS = OUTPUT * SECONDS_PER_OUTPUT


def play(scheduler: PoolScheduler, name: str, at: float, before: int = 0) -> list[Any]:
    """Serve a stream whose caller has some output already; return the decisions."""
    scheduler.announce(upstream(sequence=int(at * 10)), at)
    asked = request(
        name, output_tokens=OUTPUT, output_before=before, arrived=at, deadline=at + 60
    )
    decisions = scheduler.register(asked, at)
    scheduler.started(name, at)
    output = OUTPUT - before
    total = output * SECONDS_PER_OUTPUT
    scheduler.progress(name, 1, at + 0.1, first=0.1)
    done = completion(name, output_tokens=output, first_token=0.1, total=total)
    scheduler.finished(done, at + total)
    return decisions


def measured_scheduler() -> tuple[PoolScheduler, float]:
    """Return a scheduler that knows how long streams take, and the present time."""
    scheduler = PoolScheduler()
    now = NOW
    for number in range(20):
        play(scheduler, f"whole-{number}", now)
        now += 2 * WHOLE_SECONDS
    scheduler.announce(upstream(sequence=int(now * 10)), now)
    # The best speeds that it refuses by are up to date from the second request on.
    scheduler.register(request("first", arrived=now, deadline=now + 60), now)
    scheduler.cancel("first", now)
    return scheduler, now


@pytest.mark.parametrize(("before", "expected"), [(0, Refused), (40, Granted)])
def test_rest_of_a_stream_is_not_refused_as_if_it_took_as_long_as_the_whole(
    before: int, expected: type
):
    """A stream that a caller takes up is refused as too late by an idle upstream."""
    scheduler, now = measured_scheduler()
    asked = request(
        output_tokens=OUTPUT,
        output_before=before,
        arrived=now,
        deadline=now + WHOLE_SECONDS / 2,
    )
    [decision] = scheduler.register(asked, now)
    assert isinstance(decision, expected)


def test_broken_stream_is_not_refused_as_if_it_began_anew():
    """A stream that breaks shortly before its end counts as one of full length."""
    scheduler, now = measured_scheduler()
    scheduler.announce(upstream("engine-2"), now)
    asked = request(output_tokens=OUTPUT, arrived=now, deadline=now + 8)
    [granted] = scheduler.register(asked, now)
    scheduler.started("r1", now)
    scheduler.progress("r1", 45, now + 4.5, first=0.1)
    broke = now + 4.6
    for name in ("engine-1", "engine-2"):
        scheduler.announce(upstream(name, sequence=int(broke * 10)), broke)
    [decision] = scheduler.returned("r1", REASON_LOST_ANSWER, True, broke)
    assert isinstance(decision, Granted)
    assert decision.upstream != granted.upstream
    assert decision.basis.expected < WHOLE_SECONDS / 2


def test_rests_of_streams_do_not_shorten_the_expected_output():
    """After many breaks, whole streams are granted where they can't end in time."""
    scheduler, now = measured_scheduler()
    for number in range(40):
        play(scheduler, f"rest-{number}", now, before=40)
        now += WHOLE_SECONDS
    [granted] = play(scheduler, "whole", now)
    assert granted.basis.expected == pytest.approx(WHOLE_SECONDS, rel=0.2)
