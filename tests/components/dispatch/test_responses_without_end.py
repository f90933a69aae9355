"""Upstreams whose responses bring bytes but no end, and those whose are only long."""

import pytest

from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.dispatch.upstream_events import (
    PATH_CHANGES,
    UpstreamChange,
)
from tests.components.dispatch import builders as build
from tests.components.dispatch.test_failed_paths import (
    CUT_OFF,
    NOW,
    SOUND,
    pool,
    register,
    serve,
)

DEADLINE_SECONDS = 2.0


def overrun(
    scheduler: PoolScheduler,
    request_id: str,
    host: str,
    now: float,
    fault: str = "overrun",
) -> list[str]:
    """Send a request whose response has no end; return the upstreams of its grant."""
    names = register(scheduler, request_id, host, now)
    for name in names:
        scheduler.started(request_id, now)
        end = build.overrun(request_id, name, fault=fault)
        scheduler.finished(end, now + DEADLINE_SECONDS)
    return names


def sick(scheduler: PoolScheduler, now: float, name: str = "e1") -> bool:
    return scheduler.describe(now)["upstreams_by_name"][name]["sick"]


def changes(scheduler: PoolScheduler) -> list[UpstreamChange]:
    return [event.change for event in scheduler.take_events()]


def test_output_of_a_stream_does_not_clear_an_upstream_of_calls_without_end():
    """Events of one stream made up for any number of responses without an end."""
    scheduler = pool("e1")
    register(scheduler, "stream", SOUND, NOW)
    scheduler.started("stream", NOW)
    for number in range(3):
        now = NOW + number * DEADLINE_SECONDS
        assert overrun(scheduler, f"c{number}", SOUND, now) == ["e1"]
        scheduler.progress("stream", 10 * number + 1, now + 2.0, 0.1)
    now = NOW + 3 * DEADLINE_SECONDS
    assert sick(scheduler, now)
    assert register(scheduler, "next", SOUND, now + 1.0) == []
    scheduler.cancel("next", now + 1.0)
    scheduler.finished(build.completion("stream", "e1"), now + 1.0)
    assert not sick(scheduler, now + 1.0)
    assert serve(scheduler, "after", SOUND, now + 1.0) == "e1"


def sent_streams(output_tokens: int) -> tuple[int, bool]:
    """Return how many streams an upstream gets in 14 s, and whether it is sick then.

    Each brings output_tokens events and has no end at its deadline.
    """
    scheduler = pool("e1", slots=6)
    running: list[tuple[float, str]] = []
    sent = 0
    for step in range(140):
        now = NOW + 0.1 * step
        while running and running[0][0] + DEADLINE_SECONDS <= now:
            _, name = running.pop(0)
            end = build.overrun(name, "e1", output_tokens=output_tokens)
            scheduler.finished(end, now)
        for began, name in running:
            part = min(1.0, (now - began) / 1.5)
            scheduler.progress(name, int(part * output_tokens), now, 0.1)
        if register(scheduler, f"r{step}", SOUND, now):
            scheduler.started(f"r{step}", now)
            running.append((now, f"r{step}"))
            sent += 1
        else:
            scheduler.cancel(f"r{step}", now)
    return sent, sick(scheduler, NOW + 14.0)


def test_upstream_of_streams_without_end_gets_trials_only():
    """Its own events cleared it, so that it got requests as if it were well."""
    sent, is_sick = sent_streams(output_tokens=1_000)
    assert is_sick
    assert sent <= 12


def test_upstream_of_long_streams_stays_in_use():
    sent, is_sick = sent_streams(output_tokens=60)
    assert not is_sick
    assert sent > 30


def test_responses_without_end_are_no_fault_of_the_path():
    """Hosts were said not to reach an upstream that had sent them bytes."""
    scheduler = pool("e1")
    for number in range(3):
        now = NOW + number * DEADLINE_SECONDS
        register(scheduler, f"c{number}", CUT_OFF, now)
        scheduler.started(f"c{number}", now)
        serve(scheduler, f"s{number}", SOUND, now + 1.9)
        end = build.overrun(f"c{number}", "e1")
        scheduler.finished(end, now + DEADLINE_SECONDS)
    assert not PATH_CHANGES.intersection(changes(scheduler))


@pytest.mark.parametrize("fault", ["overrun", "malformed"])
def test_upstream_whose_bytes_are_no_responses_is_sick_for_all_hosts(fault):
    """One host after the other tried it, as another had just got an answer."""
    scheduler = pool("e1")
    serve(scheduler, "s", SOUND, NOW)
    scheduler.take_events()
    for number in range(3):
        now = NOW + 0.1 * (number + 1)
        register(scheduler, f"c{number}", CUT_OFF, now)
        scheduler.returned(f"c{number}", "lost-answer", False, now, fault=fault)
    assert changes(scheduler) == [UpstreamChange.UNHEALTHY]


def test_response_without_end_counts_though_it_came_through_another_host():
    """What a host between relays is the upstream's; a broken tunnel isn't."""
    scheduler = pool("e1")
    for number in range(3):
        now = NOW + number * DEADLINE_SECONDS
        register(scheduler, f"c{number}", CUT_OFF, now)
        scheduler.started(f"c{number}", now)
        end = build.overrun(f"c{number}", "e1", relay=SOUND)
        scheduler.finished(end, now + DEADLINE_SECONDS)
    assert sick(scheduler, NOW + 3 * DEADLINE_SECONDS)


def test_callers_with_little_time_do_not_make_an_upstream_sick():
    """Callers with short deadlines took an upstream of long responses from the others.

    Their responses are whole a little later.
    """
    scheduler = pool("e1")
    for number in range(5):
        now = NOW + number
        assert serve(scheduler, f"s{number}", SOUND, now) == "e1"
        assert overrun(scheduler, f"c{number}", CUT_OFF, now, "unfinished") == ["e1"]
    for number in range(5):
        now = NOW + 10.0 + number
        assert overrun(scheduler, f"d{number}", CUT_OFF, now, "unfinished") == ["e1"]
    assert changes(scheduler) == [UpstreamChange.USABLE]


def test_copies_of_a_request_without_end_do_not_wait_for_each_other():
    """A response that never ended was taken for the sign of a crash."""
    scheduler = pool("e1", "e2")
    request = build.request("r1", entry_host=SOUND, fingerprint=7)
    scheduler.register(request, NOW)
    scheduler.started("r1", NOW)
    now = NOW + DEADLINE_SECONDS
    scheduler.finished(build.overrun("r1", "e1"), now)
    for name in ("r2", "r3"):
        copy = request._replace(request_id=name)
        assert build.granted(scheduler.register(copy, now))
