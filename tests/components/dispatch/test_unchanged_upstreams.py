"""An owner whose upstreams have nothing new to say for a long time."""

from collections.abc import Mapping
from typing import Any

import curio
import pytest

from bitterntiller.components.dispatch import (
    REGISTERED_PARAMETERS,
    make_registered_scheduler,
)
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build
from tests.components.dispatch.fakes import (
    FakeConfig,
    FakeDirectory,
    FakeRuntime,
)
from tests.components.entry.fakes import FakeLease

from .builders import completion, request, upstream

NOW = 1000.0
HOUR = 3600.0
STEP = 0.25


def let_pass(scheduler: PoolScheduler, seconds: float) -> float:
    """Let time alone go by, as the owner's loop does; return the time after it."""
    now = NOW
    while now < NOW + seconds:
        now += STEP
        scheduler.tick(now)
    return now


def granted(scheduler: PoolScheduler, name: str, now: float) -> list[str]:
    """Return the upstreams to which a request is granted at its arrival."""
    item = request(name, arrived=now, deadline=now + 5.0)
    decisions = scheduler.register(item, now)
    return [one.upstream for one in decisions if isinstance(one, Granted)]


@pytest.mark.parametrize("kind", ["engine", "plain"])
@pytest.mark.parametrize("seconds", [59.0, 61.0, HOUR])
def test_upstream_that_has_nothing_new_to_say_is_given_work(kind, seconds):
    """A minute after the last change of an upstream, idle ones get no work any more.

    The list of upstreams is told to owners when it changes. For a minute none joins or
    leaves; then each is dropped at the first moment at which nothing runs there, the
    little used ones first, until all requests are refused beside idle upstreams.
    The owner took the age of the last change for silence. What proved it: the last
    grants before the loss told an announcement of over a minute, all that ran there had
    ended well, and none was lost while a request ran there.
    """
    scheduler = PoolScheduler(REGISTERED_PARAMETERS._replace(kind=kind))
    scheduler.announce(upstream(), NOW)
    now = let_pass(scheduler, seconds)
    assert granted(scheduler, "after", now) == ["engine-1"]


def test_busy_and_idle_upstreams_are_kept_alike():
    """Only the upstream that always had something to do is left after a minute."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream("idle", slots=1), NOW)
    scheduler.announce(upstream("busy", slots=1), NOW)
    long = request("long", output_tokens=10_000, deadline=NOW + HOUR)
    scheduler.register(long, NOW)
    scheduler.started("long", NOW)
    now = NOW
    while now < NOW + 90.0:
        now += STEP
        scheduler.progress("long", int((now - NOW) * 50), now)
        scheduler.tick(now)
    first = granted(scheduler, "second", now)
    scheduler.finished(completion("long", "busy"), now)
    both = first + granted(scheduler, "third", now)
    assert sorted(both) == ["busy", "idle"]


def test_upstream_that_has_left_is_forgotten_in_the_end():
    """What has gone must not fill the owner's memory over a day of releases."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream(), NOW)
    scheduler.announce(upstream(leaving=True, sequence=2), NOW)
    let_pass(scheduler, 90.0)
    assert scheduler.describe(NOW + 90.0)["upstreams_by_name"] == {}


class Registered:
    """The list of upstreams as a host has it, unchanged since its first version."""

    version = 1
    by_name: Mapping[str, Any] = {"e1": build.announce("e1", 4)}


def test_owner_grants_after_an_hour_without_a_change_of_the_list():
    """The owner's whole loop on a driven clock: an hour passes, then a request comes.

    In service it shows as routes that nobody answers, since all their requests go to
    upstreams that the owner knew and has dropped.
    """
    runtime = FakeRuntime()

    async def async_main() -> None:
        owner = DispatchCoordinator(
            runtime,
            FakeLease(),
            FakeConfig(),
            FakeDirectory(),
            make_registered_scheduler,
            Registered(),
        )
        task = await curio.spawn(owner.async_run)
        for _ in range(60):
            await curio.sleep(0.01)
            runtime.clock.advance(HOUR / 60)
        await curio.sleep(0.05)
        await owner.async_on_register("bole-1", build.register("r1"))
        await curio.sleep(0.3)
        await task.cancel()

    curio.run(async_main)
    sent = [message for _, message in runtime.links.sent]
    assert [type(message) for message in sent] == [messages.Grant]
