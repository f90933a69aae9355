"""Sends requests while entry hosts get faults, and counts the runs of each request.

Processes are killed or stopped, and hosts lose their paths to some or all upstreams.

The stand-ins record the runs of each request.
"""

import random
import signal
import threading
import time
from collections import Counter
from typing import Any

import curio

from bench.client import Request, Result, async_each, async_request, is_correct
from bench.setup import chat_request
from standins.responses import digest
from tests.scenarios import builders
from tests.scenarios.cut_paths import REFUSE, RESET, SILENT
from tests.scenarios.deployment import Deployment

TIMEOUT_S = 40.0
PAUSE_S = (0.3, 1.2)
STOPPED_S = (0.5, 4.0)
KEYED_ATTEMPTS = 4
KEYED_PAUSE_S = 0.5


class Chaos:
    """One run; the hosts named c… get faults, one or two at a time."""

    def __init__(
        self, deployment: Deployment, count: int, workers: int, seed: int
    ) -> None:
        self._deployment = deployment
        self._count = count
        self._workers = workers
        self._random = random.Random(seed)
        self._hosts = list(deployment.hosts_by_name.values())
        self._results: dict[int, tuple[Request, list[Result]]] = {}
        self._signals: Counter[str] = Counter()
        self._done = threading.Event()

    def run(self) -> dict[str, Any]:
        """Send all requests and return the counts."""
        threads = [
            threading.Thread(target=target)
            for target in (self._inject_faults, self._cut_paths)
        ]
        for thread in threads:
            thread.start()
        started_at = time.perf_counter()
        try:
            curio.run(async_each, range(self._count), self._workers, self._async_one)
        finally:
            wall = time.perf_counter() - started_at
            self._done.set()
            for thread in threads:
                thread.join()
        time.sleep(3.0)
        return self._summarize() | {"run_s": round(wall, 1)}

    def _inject_faults(self) -> None:
        rng = random.Random(self._random.random())
        names = [host.name for host in self._hosts if host.name.startswith("c")]
        while not self._done.wait(rng.uniform(*PAUSE_S)):
            name = rng.choice(names)
            process = self._deployment.process(name)
            if rng.random() < 0.5:
                self._signals["SIGKILL"] += 1
                process.kill()
                self._done.wait(rng.uniform(*PAUSE_S))
                process.start()
            else:
                self._signals["SIGSTOP"] += 1
                process.signal(signal.SIGSTOP)
                self._done.wait(rng.uniform(*STOPPED_S))
                process.signal(signal.SIGCONT)

    def _cut_paths(self) -> None:
        """Cut the paths of one host after another, beside the other faults."""
        rng = random.Random(self._random.random())
        names = [host.name for host in self._hosts if host.name.startswith("c")]
        upstreams = list(self._deployment.upstreams_by_name)
        while not self._done.wait(rng.uniform(*PAUSE_S)):
            name = rng.choice(names)
            mode = rng.choice((SILENT, RESET, REFUSE))
            chosen = rng.sample(upstreams, rng.randint(1, len(upstreams)))
            self._signals[f"cut {mode}"] += 1
            self._deployment.cut_upstreams(name, mode, chosen)
            self._done.wait(rng.uniform(*STOPPED_S))
            self._deployment.heal_upstreams(name)

    async def _async_one(self, number: int) -> None:
        request = self._request(number)
        results: list[Result] = []
        self._results[number] = (request, results)
        max_attempts = KEYED_ATTEMPTS if "Idempotency-Key" in request.headers else 1
        for _ in range(max_attempts):
            results.append(await self._async_send(request))
            if results[-1].status == 200 and not results[-1].cut:
                return
            if max_attempts > 1:
                await curio.sleep(KEYED_PAUSE_S)

    async def _async_send(self, request: Request) -> Result:
        """Send to a random host; try the next one if it refuses the connection."""
        hosts = self._random.sample(self._hosts, len(self._hosts))
        for host in hosts:
            result = await async_request(host.ports["caller"], request, TIMEOUT_S)
            if result.sent:
                break
        return result

    def _request(self, number: int) -> Request:
        kind = number % 10
        name = f"c{number}"
        if kind < 5:
            return chat_request(name, tokens=5 + number % 40)
        token = builders.TOKENS_BY_WORKSPACE["wards"]
        headers = {"Authorization": f"Bearer {token}"}
        if kind == 5:
            return Request("GET", f"/lookups?request={name}", headers, b"")
        if kind == 6:
            target = "/v1/completions"
            body = builders.request_body(target, name, 10)
            return Request("POST", target, headers, body)
        if kind == 7:
            headers["Idempotency-Key"] = name
        body = builders.request_body("/bonds", name, 0)
        return Request("POST", "/bonds", headers, body)

    def _summarize(self) -> dict[str, Any]:
        runs: Counter[tuple[str, str]] = Counter(
            (record["path"], record["digest"])
            for record in self._deployment.records("run")
        )
        counts: Counter[str] = Counter()
        violations: list[dict[str, Any]] = []
        for number, (request, results) in self._results.items():
            ran = runs[request.target, digest(request.body)]
            counts[f"runs {ran}"] += 1
            for result in results:
                counts[f"heard {describe_result(result)}"] += 1
            for fault in find_faults(request, results, ran):
                counts[f"FAULT {fault}"] += 1
                violations.append(
                    {
                        "number": number,
                        "fault": fault,
                        "runs": ran,
                        "heard": [describe_result(result) for result in results],
                    }
                )
        recorded = sum(runs.values())
        return {
            "requests": len(self._results),
            "recorded_runs": recorded,
            "signals": dict(self._signals),
            "counts": dict(sorted(counts.items())),
            "faults": violations[:20],
        }


def describe_result(result: Result) -> str:
    """Return a short description of the response that a caller got."""
    if not result.sent:
        return "no host"
    if result.status == 0:
        return "connection broke before an answer"
    if result.cut:
        return f"{result.status} cut"
    words = (str(result.status), result.outcome, result.reason)
    return " ".join(word for word in words if word)


def find_faults(request: Request, results: list[Result], ran: int) -> list[str]:
    """Return which guarantees a request's responses and runs violate."""
    faults = []
    if ran > 1:
        faults.append("ran more than once")
    for result in results:
        whole = result.status == 200 and not result.cut
        if whole and not is_correct(request, result):
            faults.append("wrong, mixed or short without a visible cut")
        if whole and ran == 0:
            faults.append("answered but never ran")
    # If a request with an idempotency key was sent more than once, only the last
    # response counts: a not-run for the first copy may have been true until the second
    # copy ran.
    last = results[-1]
    if last.outcome == "not-run" and ran:
        faults.append("not-run that had run")
    return faults
