"""Heartbeats that arrive while control has no leader."""

import curio

from bitterntiller.components.control import coordinator
from bitterntiller.core.clock import ManualClock
from tests.components.control.builders import (
    FakeNetwork,
    make_control,
    make_node,
)


def test_heartbeat_waits_for_the_leader(monkeypatch):
    """Guards against entry hosts rejecting requests for a third of a second.

    Control has recovered, but their heartbeats were rejected while it had no leader,
    and are repeated only after a delay.
    """

    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, log = make_control(clock, network)
        elected = curio.Event()

        async def async_wait_for_leader(timeout):
            await elected.wait()
            log.leads, log.address = True, "10.0.0.1:7000"

        log.async_wait_for_leader = async_wait_for_leader
        log.leads, log.address = False, ""
        await control.async_start(tick=False)
        async with control._runtime.stack:
            node = make_node(clock, network)
            beat = await curio.spawn(node.async_send_heartbeat)
            await curio.sleep(0.02)
            assert not beat.terminated
            await elected.set()
            assert await beat.join()
            assert node.lease.valid()

    curio.run(run)


def test_heartbeat_is_rejected_without_a_leader(monkeypatch):
    monkeypatch.setattr(coordinator, "LEADER_WAIT", 0.01)

    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, log = make_control(clock, network)
        log.leads, log.address = False, ""
        await control.async_start(tick=False)
        async with control._runtime.stack:
            node = make_node(clock, network)
            assert not await node.async_send_heartbeat()

    curio.run(run)


def test_first_reply_lists_hosts_that_started_together():
    """Guards against requests waiting 0.25 s for an owner after all hosts restart.

    The leader would send a directory that it built before the first heartbeat.
    """

    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, _ = make_control(clock, network)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            node = make_node(clock, network)
            assert await node.async_send_heartbeat()
            assert set(node.hosts_by_name) == {node.make_heartbeat().host}

    curio.run(run)
