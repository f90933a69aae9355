"""Measures the control part alone: figures as JSON on standard output.

Heartbeats go through the product's coordinators and the codec, without sockets
and without a replicated log: the cost of those is measured with whole processes.
Run from the root of the project: python -m bench.control
"""

import gc
import json
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import curio

from bitterntiller.components import replication
from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.control.const import MAX_CLAIM_GROUP
from bitterntiller.components.control.coordinator import ControlCoordinator
from bitterntiller.components.control.heartbeats import period
from bitterntiller.components.control.proposals import Proposer
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.settings.models import (
    Address,
    Control,
    Keys,
    Listen,
    Settings,
    Timings,
)
from bitterntiller.core.clock import Clock, ManualClock, RuntimeClock
from bitterntiller.core.interfaces import ProposalResult
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import decode, encode, messages

NODES = (3, 9, 30, 320)
WORKSPACES = (5, 950)
CLAIMS = 20_000
CHANGES = 200
ROUNDS_OF_HEARTBEATS = 20
CHANGES_A_DAY = 1100
NODE_CHANGES_A_DAY = 2 * (240 + 7)
"""A host that goes and a host that comes are two changes of the directory."""
DAY = 86400


class NoMetrics:
    def count(self, name: str, by: int = 1) -> None: ...

    def timing(self, name: str, seconds: float) -> None: ...

    def gauge(self, name: str, value: float) -> None: ...


class NoLinks:
    def handle(self, cls: type, handler: Any) -> Callable[[], None]:
        return lambda: None


class LocalLog:
    """Commits at once in memory."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._index = 0

    async def async_propose(self, command: bytes, timeout: float) -> ProposalResult:
        self._index += 1
        result = self._state.apply(self._index, command)
        return ProposalResult("committed", result, "")

    async def async_confirm(self, timeout: float) -> int | None:
        return self._index

    def is_leader(self) -> bool:
        return True

    def leader(self) -> str:
        return "10.0.0.1:7000"

    def status(self) -> Mapping[str, Any]:
        return {"term": 1}


def make_runtime(number: int, clock: Clock) -> Runtime:
    ip = f"10.0.{number // 250}.{number % 250}"
    settings = Settings(
        host=f"host-{number}",
        zone=f"zone-{number % 6}",
        region="addis",
        roles=("entry", "dispatch"),
        listen=Listen(Address(ip, 80), Address(ip, 7000), Address(ip, 81)),
        keys=Keys(b"", b"", b""),
        control=Control(addresses=(Address(ip, 7000),), bootstrap=(f"host-{number}",)),
        data_folder=None,
        statsd=None,
    )
    runtime = Runtime(settings, clock, NoMetrics())
    runtime.links = NoLinks()
    return runtime


def make_document(workspaces: int, number: int = 0) -> dict[str, Any]:
    """Return a valid document; number changes one label of one workspace."""
    names = ["canopy-llm", "map", "underwriting"]
    services = {
        name: {"kind": "engine", "paths": [f"/{name}/v1"], "labels": {}}
        for name in names
    }
    tiers = {f"t{rank}": {"rank": rank, "deadline_ms": 30000} for rank in range(3)}
    entries = {
        f"workspace-{index}": {
            "token_sha256": [f"{index:064x}"],
            "tier": f"t{index % 3}",
            "services": names,
            "labels": {"share": "2", "concurrency": "64", "rate": "50"},
        }
        for index in range(workspaces)
    }
    entries["workspace-0"]["labels"]["rate"] = str(number + 1)
    return {"services": services, "tiers": tiers, "workspaces": entries}


def make_change(number: int, document: dict[str, Any]) -> Any:
    return messages.Change(
        change_id=f"change-{number}",
        base_version=number,
        config=json.dumps(document).encode(),
    )


def make_claim(number: int) -> Any:
    return messages.Claim(
        action="take",
        workspace=f"workspace-{number % 50}",
        key=f"key-{number:032d}",
        digest=f"{number:064x}",
        host="host-1",
        incarnation="0" * 32,
        upstream="bole-1",
        request_id=f"{number:032x}",
        outcome="",
        http_status=0,
        address="10.0.0.1:7000",
    )


def make_command(**content: Any) -> bytes:
    command = messages.Command(time_ms=1, forget_changes_ms=0, forget_claims_ms=0)
    for name, value in content.items():
        setattr(command, name, value)
    return encode(command)


def processor_seconds(call: Callable[[], Any]) -> float:
    began = time.process_time()
    call()
    return time.process_time() - began


def allocated(call: Callable[[], Any]) -> tuple[Any, int]:
    """Return the result of a call and the bytes that it left allocated."""
    gc.collect()
    tracemalloc.start()
    result = call()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, size


def measure_changes(workspaces: int) -> dict[str, Any]:
    state = ControlState()
    commands = [
        make_command(change=make_change(number, make_document(workspaces, number)))
        for number in range(CHANGES)
    ]

    def apply_all() -> None:
        for index, command in enumerate(commands, 1):
            state.apply(index, command)

    seconds = processor_seconds(apply_all)
    assert state.configuration.version == CHANGES
    document = make_document(workspaces)
    parse = processor_seconds(lambda: parse_config(document, 1))
    _, size = allocated(lambda: parse_config(make_document(workspaces), 1))
    patches = state.configuration.patches_since(CHANGES - 1) or []
    snapshot = state.snapshot()
    restore = processor_seconds(lambda: ControlState().restore(snapshot))
    return {
        "workspaces": workspaces,
        "apply_ms": round(seconds / CHANGES * 1000, 3),
        "applies_a_second": round(CHANGES / seconds),
        "parse_ms": round(parse * 1000, 2),
        "config_bytes": len(state.configuration.text),
        "patch_bytes": sum(len(patch.data or b"") for patch in patches),
        "parsed_and_document_bytes_of_memory": size,
        "restore_ms": round(restore * 1000, 2),
    }


def measure_claims() -> dict[str, Any]:
    state = ControlState()
    groups = range(0, CLAIMS, MAX_CLAIM_GROUP)
    commands = [
        make_command(
            claims=[make_claim(number) for number in range(at, at + MAX_CLAIM_GROUP)]
        )
        for at in groups
    ]
    count = len(commands) * MAX_CLAIM_GROUP
    seconds = processor_seconds(
        lambda: [state.apply(index, item) for index, item in enumerate(commands, 1)]
    )
    assert len(state.claims.records_by_key) == count
    _, size = allocated(lambda: _claims_state(commands))
    snapshot_seconds = processor_seconds(state.snapshot)
    data = state.snapshot()
    restore_seconds = processor_seconds(lambda: ControlState().restore(data))
    return {
        "claims": count,
        "applies_a_second": round(count / seconds),
        "bytes_of_memory_each": round(size / count),
        "bytes_of_log_each": round(sum(map(len, commands)) / count),
        "bytes_of_snapshot_each": round(len(data) / count),
        "snapshot_ms_for_10000": round(snapshot_seconds / count * 1e7, 1),
        "restore_ms_for_10000": round(restore_seconds / count * 1e7, 1),
    }


def _claims_state(commands: list[bytes]) -> ControlState:
    state = ControlState()
    for index, command in enumerate(commands, 1):
        state.apply(index, command)
    return state


async def async_measure_synced_claims(folder: Path, together: int) -> dict[str, Any]:
    """Commit claims to a synced log of one replica, some at the same time."""
    state = ControlState()
    runtime = make_runtime(1, RuntimeClock())
    runtime.settings = runtime.settings._replace(data_folder=folder / str(together))
    log = await replication.async_setup(runtime, state)
    while not log.is_leader():
        await curio.sleep(0.01)
    proposer = Proposer(
        log,
        lambda: messages.Command(time_ms=1, forget_changes_ms=0, forget_claims_ms=0),
    )
    await runtime.async_spawn(proposer.async_run())
    latencies: list[float] = []
    total = 200 * together if together < 100 else 20 * together

    async def claim_some(first: int) -> None:
        for number in range(first, total, together):
            began = time.monotonic()
            reply = await proposer.async_claim(make_claim(number))
            latencies.append(time.monotonic() - began)
            assert reply.status == "taken"

    began = time.monotonic()
    async with curio.TaskGroup() as group:
        for first in range(together):
            await group.spawn(claim_some, first)
    seconds = time.monotonic() - began
    await runtime.stack.aclose()
    latencies.sort()
    return {
        "together": together,
        "claims": total,
        "claims_a_second": round(total / seconds),
        "p50_ms": round(latencies[len(latencies) // 2] * 1000, 2),
        "p99_ms": round(latencies[int(len(latencies) * 0.99)] * 1000, 2),
    }


class Fleet:
    """One leader and some nodes, with the bytes that would cross the links."""

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
        """Have each node send one heartbeat; add up time and bytes."""
        heartbeats = self._in_nodes(
            lambda: [encode(node.make_heartbeat()) for node in self.nodes]
        )
        replies: list[bytes] = []

        async def answer(data: bytes) -> None:
            heartbeat = decode(messages.Heartbeat, data)
            reply = await self.leader.async_heartbeat(heartbeat.host, heartbeat)
            replies.append(encode(reply))

        began = time.process_time()
        async with curio.TaskGroup() as group:
            for data in heartbeats:
                await group.spawn(answer, data)
        self.leader_seconds += time.process_time() - began
        self.bytes_up += sum(map(len, heartbeats))
        self.bytes_down += sum(map(len, replies))
        now = self.clock.now()

        def take_all() -> None:
            for node, data in zip(self.nodes, replies, strict=True):
                assert node.take_reply(decode(messages.HeartbeatReply, data), now)

        self._in_nodes(take_all)
        self.clock.advance(0.5)

    def _in_nodes(self, call: Callable[[], Any]) -> Any:
        began = time.process_time()
        result = call()
        self.node_seconds += time.process_time() - began
        return result

    async def async_measured(self, rounds: int) -> dict[str, float]:
        """Return costs of one heartbeat, over some rounds."""
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


async def async_measure_fleet(nodes: int, workspaces: int) -> dict[str, Any]:
    fleet = Fleet(nodes, workspaces)
    await fleet.leader.async_start(tick=False)
    await fleet.async_change()
    for _ in range(10):
        await fleet.async_round()
        await fleet.leader.async_place()
    await fleet.async_round()
    steady = await fleet.async_measured(ROUNDS_OF_HEARTBEATS)
    await fleet.async_change()
    change = await fleet.async_measured(1)
    fleet.nodes[0]._runtime.incarnation = "f" * 32
    await fleet.async_measured(1)
    await fleet.leader.async_place()
    directory = await fleet.async_measured(1)
    await fleet.leader._runtime.stack.aclose()
    seconds = period(nodes, Timings())
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
        "node_bytes_a_second": _rate(day, costs, steady, "bytes_up", "bytes_down"),
        "node_core_percent": _rate(day, costs, steady, "node_us") / 1e4,
        "leader_core_percent": nodes * _rate(day, costs, steady, "leader_us") / 1e4,
    }


def _rate(
    day: dict[str, float],
    costs: dict[str, dict[str, float]],
    steady: dict[str, float],
    *fields: str,
) -> float:
    """Return the mean cost a second of one node, what is special on top."""
    total = 0.0
    for kind, count in day.items():
        for field in fields:
            base = steady[field] if kind != "heartbeats" else 0.0
            total += count * max(costs[kind][field] - base, 0.0)
    return round(total / DAY, 2)


def measure_sessions() -> dict[str, int]:
    """Return the memory of a session at the leader and a host at a node."""

    def build() -> Fleet:
        fleet = Fleet(320, 5)
        fleet.nodes = fleet.nodes[:1]
        return fleet

    _, base = allocated(build)

    def build_sessions() -> Fleet:
        fleet = build()
        term = fleet.leader.leading()
        for number in range(320):
            runtime = make_runtime(number, fleet.clock)
            node = NodeCoordinator(runtime, parse_config)
            heartbeat = decode(messages.Heartbeat, encode(node.make_heartbeat()))
            term.sessions.hear(heartbeat, fleet.clock.now())
        return fleet

    fleet, with_sessions = allocated(build_sessions)
    term = fleet.leader.leading()
    term.rebuild_directory(fleet.clock.now())
    data = encode(term.directory.current)
    assert len(term.directory.current.hosts) == 320
    node = fleet.nodes[0]
    _, hosts = allocated(lambda: node.directory.apply(decode(messages.Directory, data)))
    return {
        "leader_bytes_a_session": round((with_sessions - base) / 320),
        "node_bytes_a_host": round(hosts / 320),
        "directory_bytes_a_host": round(len(data) / 320),
    }


def main() -> None:
    """Print all figures."""
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if sys.argv[1:] else None) as name:
        synced = [
            curio.run(async_measure_synced_claims, Path(name), together)
            for together in (1, 16, 256)
        ]
    figures = {
        "changes": [measure_changes(workspaces) for workspaces in WORKSPACES],
        "claims": measure_claims(),
        "claims_synced_one_replica": synced,
        "sessions": measure_sessions(),
        "fleets": [
            curio.run(async_measure_fleet, nodes, workspaces)
            for workspaces in WORKSPACES
            for nodes in NODES
        ],
    }
    json.dump(figures, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
