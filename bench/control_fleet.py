"""Measures heartbeats of one leader and many nodes, in memory, through the codec."""

import time
from collections.abc import Callable
from typing import Any

import curio

from bench.control_stubs import (
    LocalLog,
    make_change,
    make_document,
    make_runtime,
    measure_allocation,
)
from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.control.heartbeats import heartbeat_interval
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.settings.models import (
    Timings,
)
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import decode, encode, messages

ROUNDS_OF_HEARTBEATS = 20
CHANGES_A_DAY = 1100
NODE_CHANGES_A_DAY = 2 * (240 + 7)
"""A host that leaves and a host that joins are two changes of the directory."""
DAY = 86400


class Fleet:
    """One leader and its nodes; counts the bytes that the links would carry."""

    def __init__(self, nodes: int, workspaces: int) -> None:
        self.clock = ManualClock()
        self.state = ControlState()
        self.workspaces = workspaces
        self.changes = 0
        self.leader = ControlCoordinator(
            make_runtime(0, self.clock), LocalLog(self.state), self.state, parse_config
        )
        self.nodes = [
            NodeCoordinator(make_runtime(number, self.clock), parse_config)
            for number in range(nodes)
        ]
        self.leader_seconds = 0.0
        self.node_seconds = 0.0
        self.bytes_up = 0
        self.bytes_down = 0

    async def async_change(self) -> None:
        document = make_document(self.workspaces, self.changes)
        change = make_change(self.changes, document)
        reply = await self.leader.async_change("operator", change)
        assert reply.status == "accepted", reply.text
        self.changes += 1

    async def async_round(self) -> None:
        """Send one heartbeat from each node; add up processor time and bytes."""
        heartbeats = self._time_nodes(
            lambda: [encode(node.make_heartbeat()) for node in self.nodes]
        )
        replies: list[bytes] = []

        async def handle_heartbeat(data: bytes) -> None:
            heartbeat = decode(messages.Heartbeat, data)
            reply = await self.leader.async_heartbeat(heartbeat.host, heartbeat)
            replies.append(encode(reply))

        started_at = time.process_time()
        async with curio.TaskGroup() as group:
            for data in heartbeats:
                await group.spawn(handle_heartbeat, data)
        self.leader_seconds += time.process_time() - started_at
        self.bytes_up += sum(map(len, heartbeats))
        self.bytes_down += sum(map(len, replies))
        now = self.clock.now()

        def apply_replies() -> None:
            for node, data in zip(self.nodes, replies, strict=True):
                assert node.apply_reply(decode(messages.HeartbeatReply, data), now)

        self._time_nodes(apply_replies)
        self.clock.advance(0.5)

    def _time_nodes(self, call: Callable[[], Any]) -> Any:
        started_at = time.process_time()
        result = call()
        self.node_seconds += time.process_time() - started_at
        return result

    async def async_measure_rounds(self, rounds: int) -> dict[str, float]:
        """Return the mean cost of one heartbeat over a number of rounds."""
        self.leader_seconds = self.node_seconds = 0.0
        self.bytes_up = self.bytes_down = 0
        for _ in range(rounds):
            await self.async_round()
        count = rounds * len(self.nodes)
        return {
            "leader_us": round(self.leader_seconds / count * 1e6, 1),
            "node_us": round(self.node_seconds / count * 1e6, 1),
            "bytes_up": round(self.bytes_up / count),
            "bytes_down": round(self.bytes_down / count),
        }


async def async_measure_heartbeats(nodes: int, workspaces: int) -> dict[str, Any]:
    fleet = Fleet(nodes, workspaces)
    await fleet.leader.async_start(tick=False)
    await fleet.async_change()
    for _ in range(10):
        await fleet.async_round()
        await fleet.leader.async_place()
    await fleet.async_round()
    steady = await fleet.async_measure_rounds(ROUNDS_OF_HEARTBEATS)
    await fleet.async_change()
    change = await fleet.async_measure_rounds(1)
    fleet.nodes[0]._runtime.incarnation = "f" * 32
    await fleet.async_measure_rounds(1)
    await fleet.leader.async_place()
    directory = await fleet.async_measure_rounds(1)
    await fleet.leader._runtime.stack.aclose()
    seconds = heartbeat_interval(nodes, Timings())
    day = {
        "heartbeats": DAY / seconds,
        "changes": CHANGES_A_DAY,
        "directories": NODE_CHANGES_A_DAY * nodes / 320,
    }
    costs = {"heartbeats": steady, "changes": change, "directories": directory}
    return {
        "nodes": nodes,
        "workspaces": workspaces,
        "heartbeat_period_s": seconds,
        "heartbeats_a_second_one_leader_core": round(1e6 / steady["leader_us"]),
        "steady": steady,
        "with_a_change": change,
        "with_a_new_directory": directory,
        "node_bytes_a_second": _mean_rate(day, costs, steady, "bytes_up", "bytes_down"),
        "node_core_percent": _mean_rate(day, costs, steady, "node_us") / 1e4,
        "leader_core_percent": nodes
        * _mean_rate(day, costs, steady, "leader_us")
        / 1e4,
    }


def _mean_rate(
    day: dict[str, float],
    costs: dict[str, dict[str, float]],
    steady: dict[str, float],
    *fields: str,
) -> float:
    """Return the mean cost per second of one node.

    A change or a directory adds the extra cost of the heartbeat that carries it.
    """
    total = 0.0
    for kind, count in day.items():
        for field in fields:
            base = steady[field] if kind != "heartbeats" else 0.0
            total += count * max(costs[kind][field] - base, 0.0)
    return round(total / DAY, 2)


def measure_sessions() -> dict[str, int]:
    """Return the memory of one session at the leader and of one host at a node."""

    def build() -> Fleet:
        fleet = Fleet(320, 5)
        fleet.nodes = fleet.nodes[:1]
        return fleet

    _, base = measure_allocation(build)

    def build_sessions() -> Fleet:
        fleet = build()
        term = fleet.leader.leader_term()
        for number in range(320):
            runtime = make_runtime(number, fleet.clock)
            node = NodeCoordinator(runtime, parse_config)
            heartbeat = decode(messages.Heartbeat, encode(node.make_heartbeat()))
            term.sessions.record_heartbeat(heartbeat, fleet.clock.now())
        return fleet

    fleet, with_sessions = measure_allocation(build_sessions)
    term = fleet.leader.leader_term()
    term.rebuild_directory(fleet.clock.now())
    data = encode(term.directory.current)
    assert len(term.directory.current.hosts) == 320
    node = fleet.nodes[0]
    _, hosts = measure_allocation(
        lambda: node.directory.apply(decode(messages.Directory, data))
    )
    return {
        "leader_bytes_a_session": round((with_sessions - base) / 320),
        "node_bytes_a_host": round(hosts / 320),
        "directory_bytes_a_host": round(len(data) / 320),
    }
