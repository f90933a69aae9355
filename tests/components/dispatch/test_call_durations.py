"""Tests of the estimated duration of calls to plain services."""

import pytest

from bitterntiller.components.dispatch.models import (
    Granted,
    PolicyParameters,
    Refused,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0


def end_call(scheduler: PoolScheduler, name: str, seconds: float, now: float) -> None:
    """Report the end of a call of a plain service."""
    done = completion(name, first_token=seconds, total=seconds, output_tokens=0)
    scheduler.finished(done, now)


@pytest.mark.parametrize("adopted_tokens", [30, 5000])
def test_adopted_long_calls_do_not_make_short_ones_late(adopted_tokens: int):
    """After a change of owner a map service refused all tiles for a minute.

    Exports of 10 s ran at the change, and their ends were the first that the new owner
    received. It took their duration for the mean of all calls. Tiles have 4 s, so each
    was refused as too late, and no tile ran that could correct the mean.
    """
    scheduler = PoolScheduler(PolicyParameters(kind="plain"))
    scheduler.announce(upstream(kv_tokens=0), NOW)
    for number in range(4):
        name = f"export{number}"
        export = request(name, prompt_tokens=adopted_tokens, output_tokens=1)
        scheduler.adopt_running(export, "engine-1", 0, NOW)
        end_call(scheduler, name, 10.0, NOW + 2)
    decisions = []
    for number in range(3):
        tile = request(f"t{number}", prompt_tokens=30, output_tokens=1)
        tile = tile._replace(deadline=NOW + 6)
        decisions += scheduler.register(tile, NOW + 2)
    assert [type(found) for found in decisions] == [Granted] * 3


def test_calls_are_too_late_only_by_measured_calls_of_their_size():
    scheduler = PoolScheduler(PolicyParameters(kind="plain"))
    scheduler.announce(upstream(kv_tokens=0), NOW)
    scheduler.register(request("slow", prompt_tokens=40, output_tokens=1), NOW)
    end_call(scheduler, "slow", 10.0, NOW + 10)
    now = NOW + 10
    scheduler.announce(upstream(kv_tokens=0, sequence=2), now)
    decisions = []
    for name, tokens, seconds in (
        ("short", 30, 4),
        ("shorter", 30, 4),
        ("fits", 40, 20),
        ("late", 40, 4),
    ):
        call = request(name, prompt_tokens=tokens, output_tokens=1)
        decisions += scheduler.register(call._replace(deadline=now + seconds), now)
    assert [type(found) for found in decisions] == [Granted] * 3 + [Refused]
    assert decisions[-1].reason == "too-late"


def test_a_call_of_unmeasured_size_waits_for_its_full_service():
    scheduler = PoolScheduler(PolicyParameters(kind="plain"))
    scheduler.announce(upstream(kv_tokens=0, slots=1), NOW)
    scheduler.register(request("slow", prompt_tokens=40, output_tokens=1), NOW)
    end_call(scheduler, "slow", 10.0, NOW + 10)
    now = NOW + 10
    scheduler.announce(upstream(kv_tokens=0, slots=1, sequence=2), now)
    scheduler.announce(upstream("engine-2", kv_tokens=0), now)
    only = {"output_tokens": 1, "upstream_names": frozenset({"engine-1"})}
    [granted] = scheduler.register(request("b", prompt_tokens=40, **only), now)
    assert isinstance(granted, Granted)
    short = request("c", prompt_tokens=30, deadline=now + 4, **only)
    assert scheduler.register(short, now) == []


def test_adopted_calls_do_not_make_a_measured_service_seem_slow():
    scheduler = PoolScheduler(PolicyParameters(kind="plain"))
    scheduler.announce(upstream(kv_tokens=0, slots=8), NOW)
    tile = request(prompt_tokens=30, output_tokens=1, deadline=NOW + 5)
    scheduler.register(tile, NOW)
    end_call(scheduler, "r1", 0.5, NOW)
    for number in range(4):
        adopted = tile._replace(request_id=f"a{number}")
        scheduler.adopt_running(adopted, "engine-1", 0, NOW)
    for number in range(3):
        end_call(scheduler, f"a{number}", 10.0, NOW)
    [granted] = scheduler.register(tile._replace(deadline=NOW + 2), NOW)
    assert isinstance(granted, Granted)
