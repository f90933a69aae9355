"""One control host and two nodes, from startup to a change in force."""

import curio

from bitterntiller.components import control, node, replication
from bitterntiller.core.clock import RuntimeClock

from .builders import FakeNetwork, make_change, make_runtime

DOCUMENT = {
    "services": {"llm": {"kind": "engine", "paths": ["/v1/chat"]}},
    "tiers": {},
    "workspaces": {},
}


async def wait_for(condition):
    async with curio.timeout_after(5):
        while not condition():
            await curio.sleep(0.02)


def test_nodes_get_lease_configuration_and_owner(tmp_path):
    async def main():
        network = FakeNetwork()
        clock = RuntimeClock()
        leader = make_runtime(clock, network, data_folder=tmp_path)
        other = make_runtime(clock, network, host="bole-1", number=2, control=(9, 1))
        async with leader.stack, other.stack:
            await control.async_setup(leader, replication.async_setup)
            nodes = [await node.async_setup(leader), await node.async_setup(other)]
            await wait_for(lambda: all(item.lease.valid() for item in nodes))
            change = make_change("c1", 0, DOCUMENT)
            reply = await nodes[1].control_client.async_call_leader(change, 2)
            assert (reply.status, reply.version) == ("accepted", 1)
            await wait_for(lambda: all(item.config.version == 1 for item in nodes))
            await wait_for(lambda: all(item.directory.owner("llm") for item in nodes))
            owners = {item.directory.owner("llm") for item in nodes}
            assert len(owners) == 1
            assert set(nodes[0].hosts_by_name) == {"kirkos-1", "bole-1"}

    curio.run(main)


def test_outcomes_survive_a_restart(tmp_path):
    async def start(change_id, expected):
        runtime = make_runtime(RuntimeClock(), data_folder=tmp_path)
        async with runtime.stack:
            coordinator = await control.async_setup(runtime, replication.async_setup)
            await wait_for(
                lambda: coordinator.state.applied or coordinator.leader_term()
            )
            change = make_change(change_id, 0, DOCUMENT)
            reply = await coordinator.async_change("kirkos-1", change)
            assert (reply.status, reply.version) == expected

    curio.run(start, "c1", ("accepted", 1))
    curio.run(start, "c1", ("accepted", 1))
    curio.run(start, "c2", ("conflict", 1))
