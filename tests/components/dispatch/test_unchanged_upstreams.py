"""Owners whose upstreams don't change for a long time."""

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


def tick_for(scheduler: PoolScheduler, seconds: float) -> float:
    """Advance the time with ticks only, as the owner's loop does; return the end."""
    now = NOW
    while now < NOW + seconds:
        now += STEP
        scheduler.tick(now)
    return now


def granted(scheduler: PoolScheduler, name: str, now: float) -> list[str]:
    """Return the upstreams to which a new request is granted on arrival."""
    item = request(name, arrived=now, deadline=now + 5.0)
    decisions = scheduler.register(item, now)
    return [one.upstream for one in decisions if isinstance(one, Granted)]


@pytest.mark.parametrize("kind", ["engine", "plain"])
@pytest.mark.parametrize("seconds", [59.0, 61.0, HOUR])
def test_upstream_without_changes_gets_requests(kind, seconds):
    """An idle upstream gets no requests a minute after its last change.

    The list of upstreams is sent to owners only when it changes. The owner took the age
    of the last change for silence and removed each upstream a minute later, as soon as
    nothing ran there, until all requests were refused although upstreams were idle. The
    cause showed in the log: the last grants had announcements older than a minute, all
    their requests ended well, and no upstream was removed while a request ran there.
    """
    scheduler = PoolScheduler(REGISTERED_PARAMETERS._replace(kind=kind))
    scheduler.announce(upstream(), NOW)
    now = tick_for(scheduler, seconds)
    assert granted(scheduler, "after", now) == ["engine-1"]


def test_idle_upstream_is_kept_like_a_busy_one():
    """Only the upstream that is always busy is left after a minute."""
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


def test_upstream_that_left_is_removed_eventually():
    """Upstreams that left must not fill the owner's memory over a day of releases."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS)
    scheduler.announce(upstream(), NOW)
    scheduler.announce(upstream(leaving=True, sequence=2), NOW)
    tick_for(scheduler, 90.0)
    assert scheduler.describe(NOW + 90.0)["upstreams_by_name"] == {}


class Registered:
    """The registered upstreams, unchanged since the first version of the list."""

    version = 1
    by_name: Mapping[str, Any] = {"e1": build.announce("e1", 4)}


def test_owner_grants_after_an_hour_without_a_change_of_the_list():
    """The owner refuses a request after an hour without a change.

    This runs the owner's whole loop on a manual clock. The fault shows as routes
    without any response, since the owner has removed all their upstreams.
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
