"""Stubs and commands for measuring the control component in one process."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Mapping
from typing import Any

from bitterntiller.components.control.state import ControlState
from bitterntiller.components.settings.models import (
    Address,
    Control,
    Keys,
    Listen,
    Settings,
)
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import ProposalResult
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import encode, messages


class NoMetrics:
    def count(self, name: str, by: int = 1) -> None: ...

    def timing(self, name: str, seconds: float) -> None: ...

    def gauge(self, name: str, value: float) -> None: ...


class NoLinks:
    def handle(self, cls: type, handler: Any) -> Callable[[], None]:
        return lambda: None


class LocalLog:
    """A replicated log that commits at once in memory."""

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

    async def async_wait_for_leader(self, timeout: float) -> None:
        return

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
    """Return a valid document; number sets one label of one workspace."""
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


def measure_cpu_seconds(call: Callable[[], Any]) -> float:
    started_at = time.process_time()
    call()
    return time.process_time() - started_at


def measure_allocation(call: Callable[[], Any]) -> tuple[Any, int]:
    """Return the result of a call and the bytes that stay allocated."""
    gc.collect()
    tracemalloc.start()
    result = call()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, size
