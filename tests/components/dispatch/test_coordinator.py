"""Tests of the timing and the messages of an owner."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build
from tests.components.dispatch.fakes import (
    FakeDirectory,
    FakeRuntime,
    Host,
    coordinator,
)

Step = Callable[[Any, FakeRuntime, FakeDirectory], Awaitable[None]]


def granted_after(step: Step) -> list[str]:
    """Run a coordinator while a step goes on; return the ids it granted."""
    runtime = FakeRuntime()
    directory = FakeDirectory()

    async def async_main() -> None:
        owner = coordinator(runtime, directory)
        task = await curio.spawn(owner.async_run)
        async with curio.timeout_after(5.0):
            await step(owner, runtime, directory)
        await curio.sleep(0.3)
        await task.cancel()

    curio.run(async_main)
    return [item.request_id for _, item in runtime.links.sent if is_grant(item)]


def is_grant(message: Any) -> bool:
    return isinstance(message, messages.Grant)


def test_dead_entry_host_holds_up_no_other_hosts_grants():
    """All requests of a pool wait a second whenever one entry host is dead.

    A host loses its power while its requests wait. The owner grants one of them
    and dials the host until the connection times out; the grants of all other
    hosts stand behind that one.
    """

    async def async_step(owner: Any, runtime: FakeRuntime, _: Any) -> None:
        runtime.links.stuck = {"1"}
        await owner.async_on_announce("e", build.announce("e1", 4))
        await owner.async_on_register("bole-1", build.register("r1", "bole-1"))
        await owner.async_on_register("yeka-1", build.register("r2", "yeka-1"))

    assert granted_after(async_step) == ["r2"]


def test_registration_before_the_owner_knows_that_it_owns():
    """Requests wait two seconds more than needed after each change of owner.

    The entry host hears of the new owner first and registers at once. The owner
    hears of it at its next heartbeat, and has dropped the registration.
    """

    async def async_step(owner: Any, _: Any, directory: FakeDirectory) -> None:
        directory.owned = False
        await owner.async_on_register("bole-1", build.register("r1"))
        directory.owned = True
        await owner.async_on_announce("e", build.announce("e1", 4))

    assert granted_after(async_step) == ["r1"]


def test_running_work_told_before_the_owner_knows_its_epoch():
    """A new owner loads an engine twice for as long as the old work runs.

    Entry hosts tell of running work when they hear of the new owner, which may
    be before the owner does. Told once, it would never be counted.
    """

    async def async_step(owner: Any, _: Any, directory: FakeDirectory) -> None:
        item = build.running("r0", "e1")
        told = messages.Reregister(
            pool=build.POOL, epoch=2, entry_host="bole-1", waiting=[], running=[item]
        )
        await owner.async_on_reregister("bole-1", told)
        directory.epoch = 2
        await owner.async_on_announce("e", build.announce("e1", 1))
        await curio.sleep(0.2)
        await owner.async_on_register("bole-1", build.register("r1"))

    assert granted_after(async_step) == []


def test_slot_of_a_dead_entry_process_is_granted_at_once():
    """A request waits a second for a slot that is free already.

    The entry process that held the slot has died and come back. The owner frees
    the slot and grants it to the next request, but does not send that grant.
    """

    async def async_step(owner: Any, runtime: FakeRuntime, directory: Any) -> None:
        await owner.async_on_announce("e", build.announce("e1", 1))
        await owner.async_on_register("bole-1", build.register("r1"))
        await owner.async_on_register("yeka-1", build.register("r2", "yeka-1"))
        directory.hosts_by_name["bole-1"] = Host("1", "newer")
        runtime.clock.advance(0.6)

    assert granted_after(async_step) == ["r1", "r2"]


def test_owner_without_a_lease_grants_nothing():
    """Two owners load the same engine after one of them was cut off for a while.

    The one that was cut off has lost its lease, and the pool has another owner;
    it must not act on what still reaches it.
    """

    async def async_step(owner: Any, _: Any, __: Any) -> None:
        await owner.async_on_announce("e", build.announce("e1", 4))
        owner._lease.held = False
        await owner.async_on_register("bole-1", build.register("r1"))

    assert granted_after(async_step) == []


def test_host_that_turns_back_leaves_no_ended_requests_behind():
    """Requests wait four seconds beside idle upstreams after a cut of a second.

    An entry host passes an owner over for a moment and tells the ends of its requests
    to another one. It turns back before the first owner has forgotten it, and all that
    ran at the beginning of the cut still fills the slots in that owner's book.
    """

    async def async_step(owner: Any, runtime: FakeRuntime, _: Any) -> None:
        await owner.async_on_announce("e", build.announce("e1", 2))
        for name in ("ended", "runs"):
            await owner.async_on_register("bole-1", build.register(name))
        await owner.async_on_register("yeka-1", build.register("other", "yeka-1"))
        await curio.sleep(0.05)
        told = messages.Reregister(
            pool=build.POOL,
            epoch=0,
            entry_host="bole-1",
            waiting=[build.register("waits")],
            running=[build.running("runs", "e1")],
        )
        await owner.async_on_reregister("bole-1", told)

    granted = granted_after(async_step)
    assert granted == ["ended", "runs", "other"]
