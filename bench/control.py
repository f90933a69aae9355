"""Measures the control component alone; prints JSON.

Heartbeats pass through the product's coordinators and the codec, without sockets and
without a replicated log; bench.control_system measures these with whole processes.
Run from the root of the project: python -m bench.control
"""

import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import curio

from bench.control_fleet import async_measure_heartbeats, measure_sessions
from bench.control_stubs import (
    make_change,
    make_claim,
    make_command,
    make_document,
    make_runtime,
    measure_allocation,
    measure_cpu_seconds,
)
from bitterntiller.components import replication
from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.control.const import MAX_CLAIMS_PER_GROUP
from bitterntiller.components.control.proposals import Proposer
from bitterntiller.components.control.state import ControlState
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.protocol import messages

NODES = (3, 9, 30, 320)
WORKSPACES = (5, 950)
CLAIMS = 20_000
CHANGES = 200


def measure_changes(workspaces: int) -> dict[str, Any]:
    state = ControlState()
    commands = [
        make_command(change=make_change(number, make_document(workspaces, number)))
        for number in range(CHANGES)
    ]

    def apply_all() -> None:
        for index, command in enumerate(commands, 1):
            state.apply(index, command)

    seconds = measure_cpu_seconds(apply_all)
    assert state.configuration.version == CHANGES
    document = make_document(workspaces)
    parse = measure_cpu_seconds(lambda: parse_config(document, 1))
    _, size = measure_allocation(lambda: parse_config(make_document(workspaces), 1))
    patches = state.configuration.patches_since(CHANGES - 1) or []
    snapshot = state.snapshot()
    restore = measure_cpu_seconds(lambda: ControlState().restore(snapshot))
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
    groups = range(0, CLAIMS, MAX_CLAIMS_PER_GROUP)
    commands = [
        make_command(
            claims=[
                make_claim(number) for number in range(at, at + MAX_CLAIMS_PER_GROUP)
            ]
        )
        for at in groups
    ]
    count = len(commands) * MAX_CLAIMS_PER_GROUP
    seconds = measure_cpu_seconds(
        lambda: [state.apply(index, item) for index, item in enumerate(commands, 1)]
    )
    assert len(state.claims.records_by_key) == count
    _, size = measure_allocation(lambda: _claims_state(commands))
    snapshot_seconds = measure_cpu_seconds(state.snapshot)
    data = state.snapshot()
    restore_seconds = measure_cpu_seconds(lambda: ControlState().restore(data))
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


async def async_measure_synced_claims(folder: Path, concurrency: int) -> dict[str, Any]:
    """Commit claims concurrently to the synced log of a single replica."""
    state = ControlState()
    runtime = make_runtime(1, RuntimeClock())
    runtime.settings = runtime.settings._replace(data_folder=folder / str(concurrency))
    log = await replication.async_setup(runtime, state)
    while not log.is_leader():
        await curio.sleep(0.01)
    proposer = Proposer(
        log,
        lambda: messages.Command(time_ms=1, forget_changes_ms=0, forget_claims_ms=0),
    )
    await runtime.async_spawn(proposer.async_run())
    latencies: list[float] = []
    total = 200 * concurrency if concurrency < 100 else 20 * concurrency

    async def claim_some(first: int) -> None:
        for number in range(first, total, concurrency):
            started_at = time.monotonic()
            reply = await proposer.async_claim(make_claim(number))
            latencies.append(time.monotonic() - started_at)
            assert reply.status == "taken"

    started_at = time.monotonic()
    async with curio.TaskGroup() as group:
        for first in range(concurrency):
            await group.spawn(claim_some, first)
    seconds = time.monotonic() - started_at
    await runtime.stack.aclose()
    latencies.sort()
    return {
        "together": concurrency,
        "claims": total,
        "claims_a_second": round(total / seconds),
        "p50_ms": round(latencies[len(latencies) // 2] * 1000, 2),
        "p99_ms": round(latencies[int(len(latencies) * 0.99)] * 1000, 2),
    }


def main() -> None:
    """Print all figures."""
    with tempfile.TemporaryDirectory(dir=sys.argv[1] if sys.argv[1:] else None) as name:
        synced = [
            curio.run(async_measure_synced_claims, Path(name), concurrency)
            for concurrency in (1, 16, 256)
        ]
    figures = {
        "changes": [measure_changes(workspaces) for workspaces in WORKSPACES],
        "claims": measure_claims(),
        "claims_synced_one_replica": synced,
        "sessions": measure_sessions(),
        "fleets": [
            curio.run(async_measure_heartbeats, nodes, workspaces)
            for workspaces in WORKSPACES
            for nodes in NODES
        ],
    }
    json.dump(figures, sys.stdout, indent=1)
    print()


if __name__ == "__main__":
    main()
