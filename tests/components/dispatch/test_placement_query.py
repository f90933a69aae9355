"""Where a request would be placed, as operators ask."""

import pytest

from bitterntiller.components.dispatch.models import WorkspaceLimits
from tests.components.dispatch import builders as build
from tests.components.dispatch import placement_builders as states
from tests.components.dispatch.placement_builders import NOW


def ask(scheduler, now=NOW, **changes) -> dict:
    request = build.request("", arrived=now, **changes)
    return scheduler.explain_placement(request, now)


def reason(found: dict, name: str) -> str | None:
    (item,) = [item for item in found["candidates"] if item["upstream"] == name]
    assert item["picked"] == (found["upstream"] == name)
    return item["reason"]


def test_the_upstream_that_is_named_gets_the_request():
    scheduler = states.pool()
    found = ask(scheduler)
    assert (found["outcome"], found["waiting"]) == ("granted", 0)
    assert reason(found, found["upstream"]) is None
    granted = build.granted(scheduler.register(build.request(), NOW))
    assert granted == [found["upstream"]]


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (states.announce(leaving=True), "leaving"),
        (states.announce(silent=True), "silent"),
        (states.set_versions, "version"),
        (states.pause, "paused"),
        (states.fail("refused-connection"), "unhealthy"),
        (states.occupy(4), "full"),
        (states.limit_rate, "rate-limit"),
        (states.occupy(1, prompt_tokens=4800), "prefill-backlog"),
        (states.occupy(1, output_tokens=4700), "memory"),
    ],
)
def test_the_first_reason_against_an_upstream_is_named(change, expected):
    scheduler = states.pool()
    change(scheduler)
    # An upstream that is silent towards control is used for 2 s after its last output.
    later = NOW + 3.0 if expected == "silent" else NOW
    scheduler.tick(later)
    found = ask(scheduler, later)
    assert reason(found, "e1") == expected
    assert (found["outcome"], found["upstream"]) == ("granted", "e2")


@pytest.mark.parametrize(
    ("changes", "reasons", "outcome"),
    [
        ({"tried": ("e1",)}, ["tried", None], "granted"),
        ({"upstream_names": frozenset({"e2"})}, ["selector", None], "granted"),
        ({"deadline": NOW + 0.001}, ["too-late", "too-late"], "too-late"),
        ({"upstream_names": frozenset()}, ["selector"] * 2, "no-upstream"),
    ],
)
def test_reasons_that_lie_in_the_request(changes, reasons, outcome):
    scheduler = states.pool()
    for name in ("e1", "e2"):
        request = build.request(name, upstream_names=frozenset({name}))
        scheduler.register(request, NOW)
        scheduler.finished(build.completion(name, name, total=0.5), NOW + 0.5)
    found = ask(scheduler, **changes)
    assert [reason(found, name) for name in ("e1", "e2")] == reasons
    assert found["outcome"] == outcome


def test_waiting_requests_and_limits_of_the_workspace_are_told():
    scheduler = states.pool()
    for number in range(11):
        scheduler.register(build.request(f"r{number}", prompt_tokens=1), NOW)
    found = ask(scheduler)
    assert (found["outcome"], found["upstream"]) == ("waits", None)
    assert (found["waiting"], found["waiting_ahead"]) == (3, 3)
    assert found["expected_wait"] > 0
    scheduler.set_limits({"foresters": WorkspaceLimits(concurrency=2)}, NOW)
    assert ask(scheduler)["outcome"] == "concurrency-limit"
    assert ask(scheduler)["limits"]["in_flight"] == 8


def test_rate_limit_of_a_workspace_is_told_and_not_used_up():
    """A query that takes a token refuses the next request of a customer."""
    scheduler = states.pool()
    scheduler.set_limits({"foresters": WorkspaceLimits(rate=1.0)}, NOW)
    for _ in range(3):
        assert ask(scheduler)["outcome"] == "granted"
    assert build.granted(scheduler.register(build.request(), NOW))
    for _ in range(3):
        assert ask(scheduler)["outcome"] == "rate-limit"
    assert ask(scheduler, NOW + 1.0)["outcome"] == "granted"


@pytest.mark.parametrize("upstreams", [4, 30])
def test_queries_change_no_state_and_no_later_decision(upstreams):
    """A query that draws a random number or fills a cache changes later decisions."""
    asked = states.decisions_under_load(True, upstreams, seed=upstreams)
    assert asked == states.decisions_under_load(False, upstreams, seed=upstreams)
    assert len(asked) > 200
