"""Idle upstreams that seem slow, by what was measured while they were silent."""

import pytest

from tests.components.dispatch import builders as build
from tests.components.dispatch.engine_play import ODD, EnginePlay
from tests.components.dispatch.test_failed_paths import NOW, pool

SECONDS = 12.0


@pytest.mark.parametrize("callers", [3, 6])
@pytest.mark.parametrize("pause", [1.0, 2.0])
def test_engine_that_paused_at_first_gets_work_again(pause: float, callers: int):
    """It stood idle for as long as the others had room, though as fast as they."""
    play = EnginePlay(callers, pause=pause)
    play.run(SECONDS)
    assert len(play.granted_at_by_name[ODD]) >= 10


@pytest.mark.parametrize("callers", [3, 6])
def test_engine_that_is_slow_gets_ever_fewer_retries(callers: int):
    play = EnginePlay(callers, slowness=4.0)
    play.run(SECONDS)
    assert len(play.granted_at_by_name[ODD]) <= 5


def test_equal_engines_get_equal_work():
    play = EnginePlay(6)
    play.run(SECONDS)
    counts = [len(times) for times in play.granted_at_by_name.values()]
    assert max(counts) <= 1.1 * min(counts)


def slow_pick(**changes: float) -> str:
    """Return where a request goes that e1 is expected to begin after 1 s, e2 at once.

    Both are idle, and e1 has got no request for some time.
    """
    scheduler = pool("e1", "e2")
    for number in range(20):
        name = f"r{number}"
        now = NOW + 2.0 * number
        request = build.request(name, arrived=now, deadline=now + 30.0)
        [upstream] = build.granted(scheduler.register(request, now))
        scheduler.started(name, now)
        seconds = 5.0 if upstream == "e1" else 0.05
        end = build.completion(name, upstream, first_token=seconds, total=seconds + 1.0)
        scheduler.finished(end, now + seconds + 1.0)
    now = NOW + 200.0
    request = build.request("next", arrived=now, deadline=now + 30.0)
    changes = {key: now + value for key, value in changes.items()}
    [upstream] = build.granted(scheduler.register(request._replace(**changes), now))
    return upstream


def test_request_that_a_slow_upstream_would_serve_late_does_not_measure_it():
    assert slow_pick() == "e1"
    assert slow_pick(first_by=0.5) == "e2"
    assert slow_pick(deadline=2.0) == "e2"
