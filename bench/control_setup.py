"""Deployments with three replicas of control, for bench.control_system."""

import hashlib
import json
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import curio

from bench.setup import cpu_seconds, resident_kb
from bitterntiller.components.links.coordinator import LinkCoordinator
from bitterntiller.components.links.models import Peer
from bitterntiller.components.node.client import ControlClient
from bitterntiller.components.settings.models import Address
from bitterntiller.core.clock import RuntimeClock
from tests.scenarios import builders
from tests.scenarios.deployment import Deployment, Host
from tests.scenarios.processes import free_port

REPLICAS = ("a", "b", "c")
POLL_S = 0.02
CALL_TIMEOUT_S = 2.0


class ControlDeployment(Deployment):
    """A deployment with the product's default timings, apart from those set here."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.timings: dict[str, float] = {"shutdown": 20.0}
        self.snapshot_entries = 10_000
        self.sessionless: set[str] = set()

    def _settings(self, host: Host) -> dict[str, Any]:
        value = super()._settings(host)
        value["timings"] = self.timings
        value["control"]["snapshot_entries"] = self.snapshot_entries
        if host.name in self.sessionless:
            value["control"]["addresses"] = [f"127.0.0.1:{free_port()}"]
        return value

    def start_all(
        self, others: dict[str, str], replica_roles: str, proxied: bool
    ) -> None:
        """Start three replicas and other hosts; others maps their names to roles."""
        for name in REPLICAS:
            self.add_host(name, {"roles": f"{replica_roles},control"}, proxied)
        for name, roles in others.items():
            self.add_host(name, {"roles": roles}, proxied)
        for name in self.hosts_by_name:
            self.start_host(name)
        wait_for("a first configuration", lambda: self._apply_first("a"))
        for name in self.hosts_by_name:
            if (
                name not in self.sessionless
                and "entry" in self.hosts_by_name[name].roles
            ):
                wait_for(f"{name} ready", lambda n=name: self.ready(n))
        wait_for("redundancy", lambda: self.failure_tolerance() == 1)

    def _apply_first(self, host: str) -> bool:
        return self.apply(host, builders.config_document()) == 200

    def ready(self, name: str) -> bool:
        """Return whether a host accepts new requests."""
        port = self.hosts_by_name[name].ports["caller"]
        return self.send_request(port, "GET", "/readyz")[0] == 200

    def control(self, names: Iterable[str] = REPLICAS) -> dict[str, Any]:
        """Return the leader's status of control, from the first host that responds."""
        for name in names:
            port = self.hosts_by_name[name].ports["operator"]
            status, body, _ = self.send_request(port, "GET", "/v1/control")
            if status == 200:
                return dict(body)
        return {}

    def failure_tolerance(self, names: Iterable[str] = REPLICAS) -> int | None:
        """Return how many more replicas can be lost without losing the quorum."""
        found = self.control(names)
        return found["control"]["log"]["survives_losses"] if found else None

    def leader(self) -> str:
        """Return the name of the leader's host."""
        until = time.monotonic() + 30
        while time.monotonic() < until:
            port = int(self.control().get("leader", ":0").rpartition(":")[2])
            for host in self.hosts_by_name.values():
                if host.advertised_port == port:
                    return host.name
            time.sleep(POLL_S)
        raise TimeoutError("no leader")

    def state(self, name: str) -> dict[str, Any]:
        """Return the state dump of a host, empty if there is none."""
        port = self.hosts_by_name[name].ports["operator"]
        status, body, _ = self.send_request(port, "GET", "/v1/state")
        return dict(body) if status == 200 else {}

    def counter(self, name: str, counter: str) -> int:
        """Return a counter of a host's metrics."""
        counters = self.state(name)["components"]["metrics"]["counters"]
        return int(counters.get(counter, 0))

    def cpu(self, name: str) -> float:
        """Return the processor time in seconds that a host has used."""
        return cpu_seconds(self.process(name).pid)

    def resident(self, name: str) -> int:
        """Return the resident memory of a host in KiB."""
        return resident_kb(self.process(name).pid)

    def make_client(self) -> ControlClient:
        """Return a client of the internal ports, for use with curio."""
        addresses = [
            f"127.0.0.1:{self.hosts_by_name[n].advertised_port}" for n in REPLICAS
        ]
        own = Address("127.0.0.1", free_port())
        key = (self.folder / "internal.key").read_bytes().strip()
        clock = RuntimeClock()
        peer = Peer("bench", "bench", str(own))
        links = LinkCoordinator(peer, own, key, clock, _NoMetrics())
        return ControlClient(links, clock, addresses, CALL_TIMEOUT_S)


class _NoMetrics:
    def count(self, name: str, by: int = 1) -> None: ...

    def timing(self, name: str, seconds: float) -> None: ...

    def gauge(self, name: str, value: float) -> None: ...


def wait_for(what: str, ready: Callable[[], bool], timeout: float = 60.0) -> float:
    """Wait until a condition is true; return the seconds that it took."""
    started_at = time.monotonic()
    while not ready():
        if time.monotonic() - started_at > timeout:
            raise TimeoutError(what)
        time.sleep(POLL_S)
    return time.monotonic() - started_at


def latency_summary(seconds: list[float]) -> dict[str, Any]:
    """Return count, median, 99th percentile and maximum, in milliseconds."""
    ordered = sorted(seconds)
    if not ordered:
        return {"n": 0}

    def at(quantile: float) -> float:
        place = min(int(len(ordered) * quantile), len(ordered) - 1)
        return round(ordered[place] * 1000, 1)

    return {"n": len(ordered), "p50_ms": at(0.5), "p99_ms": at(0.99), "max_ms": at(1)}


async def async_measure_rate(
    workers: int, seconds: float, async_one: Callable[[int], Any]
) -> dict[str, Any]:
    """Call concurrently with increasing numbers; return rate and latency."""
    times: list[float] = []
    results: dict[str, int] = {}
    until = time.monotonic() + seconds
    number = 0

    async def async_worker() -> None:
        nonlocal number
        while time.monotonic() < until:
            number += 1
            started_at = time.monotonic()
            result = await async_one(number)
            times.append(time.monotonic() - started_at)
            results[result] = results.get(result, 0) + 1

    started_at = time.monotonic()
    async with curio.TaskGroup() as group:
        for _ in range(workers):
            await group.spawn(async_worker)
    rate = round(len(times) / (time.monotonic() - started_at), 1)
    return {
        "a_second": rate,
        "at_once": workers,
        **latency_summary(times),
        "results": results,
    }


def config_bytes(number: int, workspaces: int = 0) -> bytes:
    """Return a configuration that is unique to a number, with more workspaces."""
    document = builders.config_document()
    for count in range(workspaces):
        token = hashlib.sha256(str(count).encode()).hexdigest()
        added = {"token_sha256": [token], "tier": "gold", "services": ["llm"]}
        document["workspaces"][f"w{count}"] = added
    document["tiers"]["gold"]["deadline_ms"] = 10_000 + number
    return json.dumps(document).encode()
