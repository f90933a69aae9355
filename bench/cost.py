"""Measures processor time per request and role: `python -m bench.cost --help`.

docs/CAPACITY.md uses the figures, also those per announcement. One host has only the
entry role, another one owns the pools and runs control; the processor time of each is
read before and after a load.
"""

import json
import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import curio

from bench.client import Request, async_each, async_request
from bench.setup import ProcessCounts, chat_request, cpu_seconds, start_deployment
from tests.scenarios.builders import TOKENS_BY_WORKSPACE
from tests.scenarios.deployment import Deployment

TIMEOUT_S = 60.0
SLOTS = 400
IDLE_S = 10.0


@dataclass
class Cost:
    """Measure processor time by role, less that of an idle period."""

    requests: Annotated[int, cappa.Arg(long=True)] = 4000
    announcements: Annotated[int, cappa.Arg(long=True)] = 4000
    workers: Annotated[int, cappa.Arg(long=True)] = 32
    tokens: Annotated[int, cappa.Arg(long=True)] = 10


class Measurement:
    """Runs loads against one deployment and reads the processor time of each role."""

    def __init__(self, deployment: Deployment, workers: int) -> None:
        self._deployment = deployment
        self._workers = workers
        self._port = deployment.hosts_by_name["b0"].ports["caller"]
        self._idle_by_role = self._used(lambda: time.sleep(IDLE_S))

    def measure_requests(self, requests: list[Request]) -> dict[str, Any]:
        """Return the processor time of each role per request, in microseconds."""
        failures = 0

        async def async_one(request: Request) -> None:
            nonlocal failures
            result = await async_request(self._port, request, TIMEOUT_S)
            failures += result.status != 200 or result.cut

        used = self._used(
            lambda: curio.run(async_each, requests, self._workers, async_one)
        )
        figures: dict[str, Any] = {"failures": failures}
        for role in ("entry", "owner"):
            idle = self._idle_by_role[role] / self._idle_by_role["wall"]
            busy = used[role] - idle * used["wall"]
            figures[f"{role}_us"] = round(busy / len(requests) * 1e6, 1)
        figures["each_second"] = round(len(requests) / used["wall"])
        return figures

    def idle(self) -> dict[str, float]:
        """Return the fraction of a core that each role uses without load."""
        wall = self._idle_by_role["wall"]
        return {
            role: round(used / wall, 5)
            for role, used in self._idle_by_role.items()
            if role != "wall"
        }

    def _used(self, load: Any) -> dict[str, float]:
        pids = {
            "entry": self._deployment.process("b0").pid,
            "owner": self._deployment.process("a").pid,
        }
        before = {role: cpu_seconds(pid) for role, pid in pids.items()}
        started_at = time.perf_counter()
        load()
        used = {role: cpu_seconds(pid) - before[role] for role, pid in pids.items()}
        return used | {"wall": time.perf_counter() - started_at}


def lookup_request(number: int) -> Request:
    """Return a short request to the plain service."""
    token = TOKENS_BY_WORKSPACE["foresters"]
    headers = {"Authorization": f"Bearer {token}", "X-Deadline-Ms": "60000"}
    return Request("GET", f"/lookups/{number}", headers, b"")


def announcement_request(number: int) -> Request:
    """Return an announcement of one of 600 upstreams, all of which are leaving."""
    document = {
        "name": f"n{number % 600}",
        "service": "llm",
        "address": "127.0.0.1:9",
        "incarnation": 1,
        "sequence": number,
        "state": "leaving",
        "labels": {"model": "canopy", "zone": "bole", "generation": "g2"},
        "slots": 16,
        "kv_tokens": 100_000,
        "load": {"running": 3, "waiting": 0, "kv_tokens": 5000, "age_ms": 400},
    }
    headers = {"Authorization": "Bearer upstream-key"}
    body = json.dumps(document).encode()
    return Request("POST", "/v1/upstreams/announce", headers, body)


def main() -> None:
    """Run the measurement and print its figures as JSON."""
    cost = cappa.parse(Cost)
    sizes = ProcessCounts(engines=2, plain=2, slots=SLOTS, entry_only=1, token_ms=0.2)
    with tempfile.TemporaryDirectory() as folder, Deployment(Path(folder)) as found:
        start_deployment(found, sizes)
        measurement = Measurement(found, cost.workers)
        streams = [
            chat_request(f"c{number}", cost.tokens) for number in range(cost.requests)
        ]
        lookups = [lookup_request(number) for number in range(cost.requests)]
        announcements = [announcement_request(n) for n in range(cost.announcements)]
        figures = {
            "idle_cores": measurement.idle(),
            "lookup": measurement.measure_requests(lookups),
            "stream": measurement.measure_requests(streams) | {"tokens": cost.tokens},
            "announcement": measurement.measure_requests(announcements),
            "load_1m": round(os.getloadavg()[0], 1),
        }
    print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
