"""Measures whole deployments on one machine: `python -m bench.system --help`.

Each command starts hosts and stand-ins on loopback, ends them by process id, and
prints one JSON document. The figures hold for the machine and its load at that time.
"""

import json
import os
import platform
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import curio

from bench.chaos import Chaos, describe_result
from bench.client import Request, Result, async_each, async_request
from bench.setup import (
    ProcessCounts,
    chat_request,
    cpu_seconds,
    quantiles,
    resident_kb,
    start_deployment,
)
from bitterntiller.components.settings.models import Timings
from tests.scenarios.deployment import Deployment

TIMEOUT_S = 120.0
REQUIRED_TOKENS_S = 4400
STREAMS = 254
HELD_STREAMS = 1000


@cappa.command(name="latency")
@dataclass
class Latency:
    """Latency to the first byte: direct, via one host, and with a separate owner."""

    count: Annotated[int, cappa.Arg(long=True)] = 2000

    def run(self, deployment: Deployment) -> dict[str, Any]:
        """Send one request at a time, on each path in turn, so that noise is shared."""
        start_deployment(
            deployment, ProcessCounts(engines=1, entry_only=1, token_ms=1.0)
        )
        ports_by_path = {
            "direct": deployment.upstreams_by_name["e0"].port,
            "one_host": deployment.hosts_by_name["a"].ports["caller"],
            "two_hosts": deployment.hosts_by_name["b0"].ports["caller"],
        }
        times_by_path: dict[str, list[float]] = {path: [] for path in ports_by_path}

        async def async_all() -> None:
            for number in range(self.count + 50):
                for path, port in ports_by_path.items():
                    request = chat_request(f"{path}-{number}", tokens=3)
                    result = await async_request(port, request, TIMEOUT_S)
                    assert result.status == 200 and not result.cut, result
                    if number >= 50:
                        times_by_path[path].append(result.first_s * 1000)

        curio.run(async_all)
        ms_by_path = {path: quantiles(times) for path, times in times_by_path.items()}
        direct = ms_by_path["direct"]
        added = {
            path: {key: round(value - direct[key], 3) for key, value in found.items()}
            for path, found in ms_by_path.items()
            if path != "direct"
        }
        return {"first_byte_ms": ms_by_path, "added_ms": added, "each": self.count}


@cappa.command(name="relay")
@dataclass
class Relay:
    """Chunks relayed by one entry process, and the processor time that they take."""

    seconds: Annotated[float, cappa.Arg(long=True)] = 15.0
    streams: Annotated[int, cappa.Arg(long=True)] = STREAMS
    tokens_s: Annotated[float, cappa.Arg(long=True)] = REQUIRED_TOKENS_S
    """Tokens per second that the engines produce over all streams."""

    def run(self, deployment: Deployment) -> dict[str, Any]:
        """Relay streams through an entry process that owns no pool."""
        token_ms = 1000 * self.streams / self.tokens_s
        sizes = ProcessCounts(engines=6, slots=200, entry_only=1, token_ms=token_ms)
        start_deployment(deployment, sizes)
        host = deployment.hosts_by_name["b0"]
        tokens = int(self.seconds * self.tokens_s / self.streams)
        requests = [
            chat_request(f"s{number}", tokens) for number in range(self.streams)
        ]
        results: list[Result] = []

        async def async_one(request: Request) -> None:
            port = host.ports["caller"]
            results.append(await async_request(port, request, TIMEOUT_S))

        pid = deployment.process("b0").pid
        cpu, started_at = cpu_seconds(pid), time.perf_counter()
        curio.run(async_each, requests, self.streams, async_one)
        wall, cpu = time.perf_counter() - started_at, cpu_seconds(pid) - cpu
        chunks = sum(result.body.count(b"\n\n") for result in results)
        return {
            "streams": self.streams,
            "asked_chunks_s": self.tokens_s,
            "chunks_s": round(chunks / wall),
            "entry_cpu": round(cpu / wall, 3),
            "chunks_per_cpu_s": round(chunks / cpu),
            "times_need_on_one_core": round(chunks / cpu / REQUIRED_TOKENS_S, 2),
            "heard": Counter(describe_result(result) for result in results),
        }


@cappa.command(name="memory")
@dataclass
class Memory:
    """Resident memory of an entry process after requests and with open streams."""

    count: Annotated[int, cappa.Arg(long=True)] = 10_000

    def run(self, deployment: Deployment) -> dict[str, Any]:
        """Serve the requests in ten batches, then hold streams open."""
        sizes = ProcessCounts(engines=4, slots=400, entry_only=1, token_ms=0.2)
        start_deployment(deployment, sizes)
        host = deployment.hosts_by_name["b0"]
        pids = {name: deployment.process(name).pid for name in ("a", "b0")}
        resident: dict[str, dict[str, int]] = {}

        def record_resident(when: str) -> None:
            resident[when] = {name: resident_kb(pid) for name, pid in pids.items()}

        failures = 0

        async def async_one(request: Request) -> None:
            nonlocal failures
            result = await async_request(host.ports["caller"], request, TIMEOUT_S)
            failures += result.status != 200 or result.cut

        record_resident("after 0")
        tenth = self.count // 10
        for part in range(10):
            requests = (chat_request(f"m{part}-{n}", 10) for n in range(tenth))
            curio.run(async_each, requests, 32, async_one)
            record_resident(f"after {(part + 1) * tenth}")
        for name in deployment.upstreams_by_name:
            deployment.set_faults(name, {"slow": 10_000.0})
        curio.run(self._async_hold, host.ports["caller"], record_resident)
        return {"resident_kb": resident, "failures": failures}

    async def _async_hold(
        self, port: int, record_resident: Callable[[str], None]
    ) -> None:
        tasks = []
        for number in range(HELD_STREAMS):
            request = chat_request(f"h{number}", 10)
            tasks.append(await curio.spawn(async_request, port, request, 30.0))
        await curio.sleep(8.0)
        record_resident(f"with {HELD_STREAMS} held")
        for task in tasks:
            await task.cancel()
        await curio.sleep(3.0)
        record_resident("after they left")


@cappa.command(name="chaos")
@dataclass
class ChaosRun:
    """Requests while entry hosts are killed, stopped and lose paths to upstreams."""

    count: Annotated[int, cappa.Arg(long=True)] = 10_000
    workers: Annotated[int, cappa.Arg(long=True)] = 32
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def run(self, deployment: Deployment) -> dict[str, Any]:
        """Compare the runs that the stand-ins recorded with the callers' responses."""
        sizes = ProcessCounts(engines=3, plain=2, slots=32, both_roles=3, token_ms=3.0)
        start_deployment(deployment, sizes)
        chaos = Chaos(deployment, self.count, self.workers, self.seed)
        return chaos.run()


@dataclass
class System:
    """Measure whole deployments."""

    command: cappa.Subcommands[Latency | Relay | Memory | ChaosRun]
    keep: Annotated[Path | None, cappa.Arg(long=True)] = None
    """A folder in which to keep the logs and records; by default they are removed."""


def main() -> None:
    """Run one measurement and print its figures."""
    system = cappa.parse(System)
    with ExitStack() as stack:
        if system.keep is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        else:
            folder = system.keep
            folder.mkdir(parents=True, exist_ok=True)
        # The default timings, instead of the short ones of the scenarios.
        timings = Timings()._asdict()
        deployment = stack.enter_context(Deployment(folder, **timings))
        started_at = time.perf_counter()
        figures = system.command.run(deployment)
        figures["seconds"] = round(time.perf_counter() - started_at, 1)
        figures["load_1m"] = round(os.getloadavg()[0], 1)
        figures["cores"] = os.cpu_count()
        figures["python"] = platform.python_version()
        print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
