"""Starts deployments for measurements, and reads processor time and memory."""

import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from bench.client import Request
from tests.scenarios import builders
from tests.scenarios.deployment import Deployment

READY_S = 30.0
POLL_S = 0.05


class ProcessCounts(NamedTuple):
    """Number of processes of each kind; host a has all roles and gets no faults."""

    engines: int = 1
    plain: int = 0
    slots: int = 64
    entry_only: int = 0
    both_roles: int = 0
    token_ms: float = 5.0


def start_deployment(deployment: Deployment, sizes: ProcessCounts) -> None:
    """Start all processes and wait until each host accepts requests."""
    deployment.add_host("a", {"roles": "entry,dispatch,control"}, False)
    for number in range(sizes.entry_only):
        deployment.add_host(f"b{number}", {"roles": "entry"}, False)
    for number in range(sizes.both_roles):
        deployment.add_host(f"c{number}", {}, False)
    for name in deployment.hosts_by_name:
        deployment.start_host(name)
    options = {"slots": str(sizes.slots), "kv-tokens": "100000000"}
    engine = options | {"token-ms": str(sizes.token_ms), "prefill-us": "0"}
    for number in range(sizes.engines):
        deployment.start_upstream("engine", f"e{number}", dict(engine))
    for number in range(sizes.plain):
        deployment.start_upstream("plain", f"p{number}", dict(options))
    _wait("the configuration", lambda: _apply(deployment))
    for name, host in deployment.hosts_by_name.items():
        port = host.ports["caller"]
        _wait(
            name, lambda p=port: deployment.send_request(p, "GET", "/readyz")[0] == 200
        )
    upstreams = len(deployment.upstreams_by_name)
    _wait("upstreams", lambda: len(deployment.records("accepted")) == upstreams)


def _apply(deployment: Deployment) -> bool:
    return deployment.apply("a", builders.config_document()) == 200


def _wait(what: str, ready: Callable[[], bool]) -> None:
    until = time.monotonic() + READY_S
    while not ready():
        if time.monotonic() > until:
            raise TimeoutError(f"{what} is not ready")
        time.sleep(POLL_S)


def chat_request(name: str, tokens: int, **fields: object) -> Request:
    """Return a streaming chat request with a unique body."""
    target = "/v1/chat/completions"
    body = builders.request_body(target, name, tokens, stream=True, **fields)
    token = builders.TOKENS_BY_WORKSPACE["foresters"]
    headers = {
        "Authorization": f"Bearer {token}",
        "X-Request-Id": name,  # echoed by an engine if requested directly
        "X-Deadline-Ms": "120000",
    }
    return Request("POST", target, headers, body)


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    columns = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(columns[11]) + int(columns[12])) / os.sysconf("SC_CLK_TCK")


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the median and the 99th percentile."""
    ordered = sorted(values)
    return {
        "p50": round(ordered[len(ordered) // 2], 3),
        "p99": round(ordered[int(len(ordered) * 0.99)], 3),
    }
