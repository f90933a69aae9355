"""Streams that are taken up at other hosts than the one that began them."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bitterntiller.components.stream_versions import const
from bitterntiller.components.stream_versions.digests import stream_digest
from bitterntiller.components.stream_versions.holders import holders
from bitterntiller.core.interfaces import StreamOrigin, UnknownOrigin
from tests.components.stream_versions.builders import (
    CONTROL_HOSTS,
    POOL,
    Fleet,
    Host,
    Leader,
    route,
)

FIRST = "first-attempt"


def play(step: Callable[[], Awaitable[Any]]) -> Any:
    return curio.run(step)


async def record(host: Host, first_id: str = FIRST, version: str = "v1") -> None:
    """Record a stream and let the host send it."""
    task = await curio.spawn(host.recorder.async_run())
    await host.coordinator.async_record(route(), first_id, POOL, version)
    await curio.sleep(0)
    await curio.sleep(0)
    await curio.sleep(0)
    await task.cancel()


async def check(host: Host) -> None:
    """Let a host on which no stream begins look at its holders and routes."""
    task = await curio.spawn(host.recorder.async_run())
    await curio.sleep(1.5 * const.CHECK_SECONDS)
    await task.cancel()


async def find(host: Host, first_id: str = FIRST) -> Any:
    return await host.coordinator.async_find(route(), first_id)


def test_other_host_finds_the_version():
    """A stream taken up at another host went to any version."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        await record(fleet.entry("e1"))
        fleet.clock.advance(0.5)
        return await find(fleet.entry("e2"))

    found = play(step)
    assert (found.version, found.source) == ("v1", const.SOURCE_HOLDER)
    assert 0.5 <= found.age < 0.6


def test_host_that_relayed_the_stream_asks_nobody():
    """A caller that came back to its host waited for control."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        await record(host)
        before = fleet.leader.asked
        return await find(host), fleet.leader.asked - before

    found, asked = play(step)
    assert (found.version, found.source, asked) == ("v1", const.SOURCE_RELAYED, 0)


def test_version_is_found_after_a_holder_and_the_entry_host_were_lost():
    """Streams of a killed host could not be taken up beside another lost host."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        await record(fleet.entry("e1"))
        lost = holders(stream_digest(FIRST), list(CONTROL_HOSTS))[0]
        fleet.network.cut.add(lost)
        fleet.leader.replies = False
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_nothing_is_sent_while_only_one_version_serves():
    """Each stream cost messages although there was nothing to know."""

    async def step() -> Any:
        fleet = Fleet("v1")
        await record(fleet.entry("e1"))
        fleet.leader.versions_by_service = {POOL: ("v1", "v2")}
        unknown = await find(fleet.entry("e2"))
        fleet.leader.versions_by_service = {POOL: ("v1",)}
        return unknown, await find(fleet.entry("e2"))

    unknown, found = play(step)
    assert isinstance(unknown, UnknownOrigin)
    assert (found.version, found.source) == ("v1", const.SOURCE_ONLY_VERSION)


def test_streams_from_before_the_second_version_are_told():
    """Streams that had begun before a version joined could not be taken up."""

    async def step() -> Any:
        fleet = Fleet("v1")
        host = fleet.entry("e1")
        await record(host)
        fleet.upstreams.set("v1", "v2")
        fleet.leader.versions_by_service = {POOL: ("v1", "v2")}
        await record(host, "another", "v2")
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_streams_from_a_time_with_one_version_are_told_too():
    """Only the first version that joined made a host tell of earlier streams."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        await record(host, "before")
        fleet.upstreams.set("v1")
        fleet.clock.advance(1.0)
        await record(host, "beside")
        fleet.clock.advance(2 * const.KEPT_SECONDS)
        await record(host)
        fleet.upstreams.set("v1", "v2")
        await record(host, "another", "v2")
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_streams_of_a_route_with_two_services_are_told():
    """A stream was unknown since each of the services had a single version."""

    async def step() -> Any:
        fleet = Fleet("v1", leader=Leader(**{POOL: ("v1",), "map": ("v1",)}))
        split = route(POOL, "map")
        fleet.config.set(split)
        host = fleet.entry("e1")
        task = await curio.spawn(host.recorder.async_run())
        await host.coordinator.async_record(split, FIRST, "map", "v1")
        await curio.sleep(0.01)
        await task.cancel()
        return await fleet.entry("e2").coordinator.async_find(split, FIRST)

    found = play(step)
    assert (found.pool, found.source) == ("map", const.SOURCE_HOLDER)


def moved_fleet() -> Fleet:
    """Return a fleet whose route has just moved to POOL from another service."""
    fleet = Fleet("v1", leader=Leader(**{POOL: ("v1",), "map": ("v2",)}))
    fleet.leader.led_to = ("map",)
    return fleet


def test_route_that_has_moved_has_several_services_at_hosts_started_later():
    """The service that a route had moved to was taken for the only one there was."""

    async def step() -> Any:
        return await find(moved_fleet().entry("e1"))

    assert isinstance(play(step), UnknownOrigin)


def test_streams_of_a_route_that_moved_before_the_host_started_are_told():
    """Streams that began after a move and a restart could not be taken up."""

    async def step() -> Any:
        fleet = moved_fleet()
        host = fleet.entry("e1")
        fleet.leader.replies = False
        await record(host)
        fleet.leader.replies = True
        fleet.clock.advance(const.FIND_TIMEOUT)
        await check(host)
        return await find(fleet.entry("e2"))

    assert play(step).source == const.SOURCE_HOLDER


def test_id_used_twice_here_is_not_asked_for_elsewhere():
    """A stream whose id had been used twice went on at one of the two versions."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        await record(host, FIRST, "v1")
        fleet.network.cut.update(CONTROL_HOSTS)
        await record(host, FIRST, "v2")
        fleet.network.cut.clear()
        return await find(host)

    found = play(step)
    assert isinstance(found, UnknownOrigin)
    assert found.final


def test_restarted_holders_are_told_again():
    """Streams were unknown after the hosts of control had been restarted in turn."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        await record(host)
        for name in CONTROL_HOSTS:
            fleet.start_control(name, "2")
            fleet.clock.advance(1.0)
            await record(host, f"beside-{name}", "v2")
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_restarted_holders_are_told_again_though_no_stream_begins():
    """Streams of a quiet host were unknown after all of control had been restarted."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        await record(host)
        for name in CONTROL_HOSTS:
            fleet.start_control(name, "2")
        await check(host)
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_holder_that_missed_a_message_is_told_again():
    """A stream was unknown as the links to its holders were down when it began."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        await record(host, "before")
        fleet.network.cut.update(CONTROL_HOSTS)
        await record(host)
        await check(host)
        fleet.network.cut.clear()
        fleet.clock.advance(const.RETRY_SECONDS)
        await check(host)
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_holder_without_power_is_not_told_of_all_streams_with_each_new_one():
    """Each stream that began cost messages for all others while a holder was down."""

    async def step() -> int:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        fleet.network.cut.update(CONTROL_HOSTS)
        for number in range(20):
            await record(host, f"stream-{number}")
        return fleet.metrics.counts_by_name[const.METRIC_MISSED_SENDS]

    assert play(step) <= const.HOLDERS * 20 + len(CONTROL_HOSTS)


def test_streams_are_told_once_a_second_version_joins_though_none_begins():
    """Streams of a host that was killed soon after a release could not be taken up."""

    async def step() -> Any:
        fleet = Fleet("v1", leader=Leader(**{POOL: ("v1", "v2")}))
        host = fleet.entry("e1")
        await record(host)
        fleet.upstreams.set("v1", "v2")
        await check(host)
        return await find(fleet.entry("e2"))

    assert play(step).version == "v1"


def test_host_that_has_not_heard_of_a_version_asks_control():
    """A host behind in its list took the only version it knew for the only one."""

    async def step() -> Any:
        fleet = Fleet("v1", leader=Leader(**{POOL: ("v1", "v2")}))
        return await find(fleet.entry("e2"), "nobody-knows")

    assert isinstance(play(step), UnknownOrigin)


def test_unknown_stream_is_not_final_while_hosts_do_not_answer():
    """A caller was told for ever what only a lost connection hid."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        host = fleet.entry("e1")
        young = await find(host)
        fleet.clock.advance(const.SETTLE_SECONDS)
        settled = await find(host)
        fleet.network.cut.add("c2")
        return young, settled, await find(host)

    assert [found.final for found in play(step)] == [False, True, False]


def test_stream_without_a_first_id_is_not_asked_for():
    """Callers that name no attempt were all given the same stream's version."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        await record(fleet.entry("e1"), "")
        return await find(fleet.entry("e2"), "")

    assert isinstance(play(step), UnknownOrigin)


def test_stream_taken_up_twice_keeps_its_first_version():
    """A second attempt was recorded with another version than the first."""

    async def step() -> Any:
        fleet = Fleet("v1", "v2")
        await record(fleet.entry("e1"))
        second = fleet.entry("e2")
        found = await find(second)
        await record(second, FIRST, found.version)
        return await find(fleet.entry("e3"))

    found = play(step)
    assert isinstance(found, StreamOrigin)
    assert found.version == "v1"
