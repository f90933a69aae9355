"""When an owner passes an upstream over, and when it is tried again."""

from collections.abc import Iterable

from bitterntiller.components.dispatch import FED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
STEP = 0.05


def granted(decisions: Iterable[Decision]) -> list[str]:
    return [one.request_id for one in decisions if isinstance(one, Granted)]


def send(scheduler: PoolScheduler, name: str, now: float, **changes: object) -> bool:
    """Register a request and start it if it is granted at once."""
    item = request(name, arrived=now, deadline=now + 30.0, **changes)
    if name not in granted(scheduler.register(item, now)):
        return False
    scheduler.started(name, now)
    return True


def lose(scheduler: PoolScheduler, name: str, now: float) -> list[str]:
    return granted(scheduler.finished(completion(name, outcome="unknown"), now))


def owner(*names: str, slots: int = 8) -> PoolScheduler:
    scheduler = PoolScheduler(FED_PARAMETERS)
    for name in names:
        scheduler.announce(upstream(name, slots=slots), NOW)
    return scheduler


def test_connections_that_are_reset_at_one_moment_shut_no_engine_out():
    """All requests wait for half a second or more beside a sound engine.

    Connections of some entry hosts are reset at one moment. The owner hears of a lost
    answer for each request on them within a millisecond, takes three of them for three
    failures in a row, and passes the engine over that all other hosts reach.
    """
    scheduler = owner("engine-1")
    for number in range(5):
        assert send(scheduler, f"r{number}", NOW)
    for number in range(4):
        lose(scheduler, f"r{number}", NOW + 1 + 0.001 * number)
    assert send(scheduler, "next", NOW + 1.01)


def test_failures_in_a_row_at_several_moments_shut_an_engine_out():
    scheduler = owner("engine-1")
    for number in range(3):
        at = NOW + number
        assert send(scheduler, f"r{number}", at)
        lose(scheduler, f"r{number}", at + 0.5)
    assert not send(scheduler, "next", NOW + 2.6)


def shut_out_beside_a_stream(*others: str) -> PoolScheduler:
    """Return an owner whose engine-1 is sick while a long stream runs well on it."""
    scheduler = owner("engine-1")
    assert send(scheduler, "stream", NOW, output_tokens=5_000)
    for number in range(3):
        at = NOW + number
        scheduler.progress("stream", 50 * number + 1, at)
        assert send(scheduler, f"r{number}", at)
        lose(scheduler, f"r{number}", at + 0.5)
    for name in others:
        scheduler.announce(upstream(name, slots=1), NOW + 2.5)
    return scheduler


def test_sick_engine_is_probed_beside_a_stream_that_runs_well_there():
    """Callers are told to come back in half a minute while four of five engines idle.

    A sick engine was tried again only when nothing was in flight on it. Long streams
    run well there, and so keep it shut out until the last of them has ended.
    """
    scheduler = shut_out_beside_a_stream()
    assert not send(scheduler, "early", NOW + 2.6)
    now = NOW + 2.6
    probes: list[str] = []
    while now < NOW + 3.3 and not probes:
        now += STEP
        probes = granted(scheduler.tick(now))
    assert probes == ["early"]
    scheduler.started("early", now)
    assert not send(scheduler, "second", now + STEP)
    assert granted(scheduler.finished(completion("early"), now + 0.1)) == ["second"]


def test_probe_that_hangs_is_followed_by_one_other_after_a_pause():
    """A hanging engine gets one request a pause, and does not fill up with probes."""
    scheduler = shut_out_beside_a_stream("busy")
    assert send(scheduler, "fills", NOW + 2.55)
    now = NOW + 2.6
    for number in range(6):
        scheduler.register(request(f"w{number}", arrived=now, deadline=now + 30.0), now)
    probed_at: list[float] = []
    while now < NOW + 6.0:
        now += STEP
        for name in granted(scheduler.tick(now)):
            scheduler.started(name, now)
            probed_at.append(now)
    gaps = [b - a for a, b in zip(probed_at, probed_at[1:], strict=False)]
    assert 2 <= len(probed_at) <= 7
    assert min(gaps) >= 0.5 - 1e-6


def test_when_all_are_sick_none_is_shut_out_for_long():
    """A service stays without an answer for ten seconds after its fault is over.

    Its only upstream failed for some seconds, so that the pause between probes had
    grown to its most.
    """
    scheduler = owner("engine-1")
    now = NOW
    number = 0
    while now < NOW + 30.0:
        now += STEP
        scheduler.tick(now)
        name = f"r{number}"
        if send(scheduler, name, now):
            lose(scheduler, name, now + 0.01)
        else:
            scheduler.cancel(name, now)
        number += 1
    scheduler.register(request("last", arrived=now, deadline=now + 30.0), now)
    begin = now
    found: list[str] = []
    while not found:
        now += STEP
        found = granted(scheduler.tick(now))
    assert now - begin <= 0.6
