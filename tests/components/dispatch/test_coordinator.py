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
    """Run a coordinator during a step; return the ids of granted requests."""
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


def test_dead_entry_host_does_not_delay_grants_of_other_hosts():
    """All requests of a pool waited a second whenever an entry host was dead.

    A host lost its power while its requests waited. The owner granted one of them and
    tried to connect to the host until the timeout; the grants of all other hosts were
    sent after that one.
    """

    async def async_step(owner: Any, runtime: FakeRuntime, _: Any) -> None:
        runtime.links.stuck = {"1"}
        await owner.async_on_announce("e", build.announce("e1", 4))
        await owner.async_on_register("bole-1", build.register("r1", "bole-1"))
        await owner.async_on_register("yeka-1", build.register("r2", "yeka-1"))

    assert granted_after(async_step) == ["r2"]


def test_registration_that_arrives_before_the_ownership():
    """Requests waited two seconds longer than necessary after each change of owner.

    The entry host received the new owner first and registered at once. The owner, which
    received its ownership with its next heartbeat, had dropped the registration.
    """

    async def async_step(owner: Any, _: Any, directory: FakeDirectory) -> None:
        directory.owned = False
        await owner.async_on_register("bole-1", build.register("r1"))
        directory.owned = True
        await owner.async_on_announce("e", build.announce("e1", 4))

    assert granted_after(async_step) == ["r1"]


def test_running_requests_reported_before_the_new_epoch():
    """A new owner loaded an engine twice for as long as earlier requests ran.

    Entry hosts report running requests once, when they receive the new owner. This may
    be before the owner receives its epoch, and the requests were never counted.
    """

    async def async_step(owner: Any, _: Any, directory: FakeDirectory) -> None:
        item = build.running("r0", "e1")
        message = messages.Reregister(
            pool=build.POOL, epoch=2, entry_host="bole-1", waiting=[], running=[item]
        )
        await owner.async_on_reregister("bole-1", message)
        directory.epoch = 2
        await owner.async_on_announce("e", build.announce("e1", 1))
        await curio.sleep(0.2)
        await owner.async_on_register("bole-1", build.register("r1"))

    assert granted_after(async_step) == []


def test_slot_of_a_dead_entry_process_is_granted_at_once():
    """A request waited a second for a slot that was free already.

    The entry process that used the slot had died and restarted. The owner freed the
    slot and granted it to the next request, but did not send that grant.
    """

    async def async_step(owner: Any, runtime: FakeRuntime, directory: Any) -> None:
        await owner.async_on_announce("e", build.announce("e1", 1))
        await owner.async_on_register("bole-1", build.register("r1"))
        await owner.async_on_register("yeka-1", build.register("r2", "yeka-1"))
        directory.hosts_by_name["bole-1"] = Host("1", "newer")
        runtime.clock.advance(0.6)

    assert granted_after(async_step) == ["r1", "r2"]


def test_owner_without_a_lease_grants_nothing():
    """Two owners loaded the same engine after one of them was partitioned for a while.

    The partitioned owner has lost its lease, and the pool has another owner. It must
    not act on messages that still reach it.
    """

    async def async_step(owner: Any, _: Any, __: Any) -> None:
        await owner.async_on_announce("e", build.announce("e1", 4))
        owner._lease.held = False
        await owner.async_on_register("bole-1", build.register("r1"))

    assert granted_after(async_step) == []


def test_host_that_returns_to_an_owner_leaves_no_ended_requests():
    """Requests waited four seconds beside idle upstreams after a partition of a second.

    An entry host used another owner for a moment and reported the ends of its requests
    there. It returned before the first owner had dropped it, and all requests that ran
    at the start of the partition still occupied slots at that owner.
    """

    async def async_step(owner: Any, runtime: FakeRuntime, _: Any) -> None:
        await owner.async_on_announce("e", build.announce("e1", 2))
        for name in ("ended", "runs"):
            await owner.async_on_register("bole-1", build.register(name))
        await owner.async_on_register("yeka-1", build.register("other", "yeka-1"))
        await curio.sleep(0.05)
        message = messages.Reregister(
            pool=build.POOL,
            epoch=0,
            entry_host="bole-1",
            waiting=[build.register("waits")],
            running=[build.running("runs", "e1")],
        )
        await owner.async_on_reregister("bole-1", message)

    granted = granted_after(async_step)
    assert granted == ["ended", "runs", "other"]


def test_grant_names_the_version_of_the_upstream():
    """An entry host could not tell to which version it sent the rest of a stream."""
    runtime = FakeRuntime()

    async def async_main() -> None:
        owner = coordinator(runtime, FakeDirectory())
        task = await curio.spawn(owner.async_run)
        await owner.async_on_announce("e", build.announce("e1", 4, version="v2"))
        await owner.async_on_register("bole-1", build.register("r1", "bole-1"))
        await curio.sleep(0.3)
        await task.cancel()

    curio.run(async_main)
    grants = [item for _, item in runtime.links.sent if is_grant(item)]
    assert [item.version for item in grants] == ["v2"]
