"""A node's session with control, on fakes of links and clock."""

import threading

import curio

from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages
from tests.components.control.builders import (
    FakeNetwork,
    make_change,
    make_control,
    make_document,
    make_node,
    parse_any,
)


def run_pair(main, **fields):
    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, log = make_control(clock, network)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            await main(control, make_node(clock, network, **fields), clock, network)

    curio.run(run)


async def async_change(control, number):
    document = make_document("llm", number=number, filler="x" * 400)
    change = make_change(f"c{number}", number - 1, document)
    assert (await control.async_change("operator", change)).status == "accepted"


def test_cut_off_for_hours_and_back():
    """
    A host loses control for hours while hundreds of changes happen. It takes no
    new work once its lease has ended, and after the first heartbeat that gets
    through it works under the newest configuration.
    """

    async def main(control, node, clock, network):
        await async_change(control, 1)
        assert await node.async_send_heartbeat()
        assert (node.config.version, node.lease.valid()) == (1, True)
        network.cut.add("10.0.0.1:7000")
        for number in range(2, 502):
            await async_change(control, number)
        clock.advance(2.98)
        assert not node.lease.valid()
        clock.advance(7200)
        assert not await node.async_send_heartbeat()
        network.cut.clear()
        assert await node.async_send_heartbeat()
        assert (node.config.version, node.lease.valid()) == (501, True)

    run_pair(main)


def test_a_frozen_process_finds_its_lease_ended():
    """
    A virtual machine is suspended between a heartbeat and its answer. When it
    wakes, the answer is there, but the lease it grants has long ended.
    """

    async def main(control, node, clock, network):
        sent_at = clock.now()
        reply = await control.async_heartbeat("kirkos-1", node.make_heartbeat())
        clock.advance(60)
        assert node.apply_reply(reply, sent_at)
        assert not node.lease.valid()

    run_pair(main)


def test_a_large_configuration_is_applied_off_the_event_loop():
    """
    A deployment has a thousand workspaces. Each change of it takes 40 ms to
    parse; parsed in the event loop, all streams of the host would halt for it.
    """

    async def main(control, node, clock, network):
        threads = []

        def parse(document, version):
            threads.append(threading.current_thread() is threading.main_thread())
            return parse_any(document, version)

        control._parse = node.config._parse = parse
        for number in range(2):
            workspaces = {f"w{n}": {"number": number} for n in range(1000)}
            change = make_change(f"c{number}", number, {"workspaces": workspaces})
            reply = await control.async_change("operator", change)
            assert reply.status == "accepted"
            assert await node.async_send_heartbeat()
        assert node.config.version == 2
        assert threads == [False] * 4

    run_pair(main)


def test_a_few_changes_come_as_patches():
    async def main(control, node, clock, network):
        heard = []
        remove = node.add_config_listener(lambda: heard.append(node.config.version))
        await async_change(control, 1)
        await node.async_send_heartbeat()
        await async_change(control, 2)
        await async_change(control, 3)
        reply = await control.async_heartbeat("kirkos-1", node.make_heartbeat())
        assert reply.config is None
        assert [change.version for change in reply.changes] == [2, 3]
        assert node.apply_reply(reply, clock.now())
        remove()
        await async_change(control, 4)
        await node.async_send_heartbeat()
        assert (heard, node.config.version) == ([1, 3], 4)

    run_pair(main)


def test_no_lease_for_a_configuration_that_can_not_be_used():
    """
    A host with older software gets a configuration that it can't read. Going on
    under the version before would break the promise that the new one is in
    force: it takes no new work until it can.
    """

    async def main(control, node, clock, network):
        control._parse = lambda document, version: None
        change = make_change("c1", 0, {"bad": True})
        assert (await control.async_change("operator", change)).status == "accepted"
        assert not await node.async_send_heartbeat()
        assert (node.config.version, node.lease.valid()) == (0, False)

    run_pair(main)


def test_changes_with_a_gap_are_refused_and_the_whole_is_asked_for():
    async def main(control, node, clock, network):
        gap = messages.HeartbeatReply(
            status="granted",
            leader="",
            lease_ms=3000,
            config_version=2,
            changes=[messages.ConfigChange(version=2, patch=b"{}")],
            term=1,
        )
        assert not node.apply_reply(gap, clock.now())
        assert (node.config.version, node.lease.valid()) == (0, False)
        assert node.make_heartbeat().config_version == -1
        await async_change(control, 1)
        assert await node.async_send_heartbeat()
        assert node.config.version == 1

    run_pair(main)


def test_the_leader_is_found_and_followed():
    """
    The first known control host is down and the second names a leader that
    died. The client goes on to the others until one answers as leader.
    """

    async def main(control, node, clock, network):
        async def refuse(sender, message):
            return messages.ConfigReply(status="not-leader", version=0, config=b"")

        network.handlers_by_address["10.0.0.8:7000"] = {messages.GetConfig: refuse}
        get = messages.GetConfig(unused=True)
        reply = await node.control_client.async_call_leader(get, 5)
        assert reply.status == "ok"
        assert node.control_client.leader == "10.0.0.1:7000"
        network.cut.add("10.0.0.1:7000")

        async def wait():
            clock.advance(10)

        await curio.spawn(wait, daemon=True)
        assert await node.control_client.async_call_leader(get, 5) is None

    run_pair(main, control=(9, 8, 1))


def test_hosts_stay_known_while_a_new_leader_has_not_heard_them():
    """
    Control fails over. The new leader has heard one host only; the others must
    stay reachable for the pool owners until they are heard again or known lost.
    """

    async def main(control, node, clock, network):
        def entry(host):
            return messages.HostEntry(host, f"{host}:7000", "kirkos", "a")

        def directory(version, partial, *hosts):
            entries = [entry(host) for host in hosts]
            return messages.Directory(version, entries, [], partial)

        assert node.directory.apply(directory(9, False, "bole-1", "yeka-1"))
        assert not node.directory.apply(directory(11, True, "bole-1"))
        assert not node.directory.apply(directory(10, False))
        assert set(node.hosts_by_name) == {"bole-1", "yeka-1"}
        assert node.directory.apply(directory(12, False, "bole-1"))
        assert set(node.hosts_by_name) == {"bole-1"}

    run_pair(main)


def test_a_lease_that_ends_between_two_heartbeats_is_told(monkeypatch):
    """
    Callers are refused for want of a lease, and no log line tells that it ended.
    The lease runs out while a heartbeat is on its way or its sender waits to try
    again, and the next look at it comes after the reply has renewed it.
    """
    told = []
    monkeypatch.setattr(
        "bitterntiller.core.events.emit",
        lambda kind, **fields: told.append((kind, fields.get("held"))),
    )

    async def main(control, node, clock, network):
        await async_change(control, 1)
        assert await node.async_send_heartbeat()
        clock.advance(2.98)
        assert not node.lease.valid()
        assert await node.async_send_heartbeat()
        leases = [held for kind, held in told if kind == "lease"]
        assert leases == [True, False, True]

    run_pair(main)
