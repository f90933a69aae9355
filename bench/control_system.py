"""Measures control with real processes: `python -m bench.control_system --help`.

Each command starts three replicas with synced logs, and nodes, on loopback, with the
default timings of the product. It prints one JSON document; the figures hold for the
machine and its load at that time.
"""

import json
import os
import sys
import tempfile
import threading
import time
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import curio

from bench.control_cost import Cost, Recovery
from bench.control_load import make_change, make_claim
from bench.control_setup import (
    REPLICAS,
    ControlDeployment,
    async_measure_rate,
    latency_summary,
    wait_for,
)
from tests.scenarios import builders
from tests.scenarios.load import Load


@cappa.command(name="commits")
@dataclass
class Commits:
    """Changes and claims per second, with 1, 32 and 256 at once."""

    seconds: Annotated[float, cappa.Arg(long=True)] = 8.0

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Send to the leader's internal port."""
        deployment.start_all({}, "entry,dispatch", proxied=False)
        return dict(curio.run(self._async_run, deployment))

    async def _async_run(self, deployment: ControlDeployment) -> dict[str, Any]:
        client = deployment.make_client()
        version = 1

        async def async_change(number: int) -> str:
            nonlocal version
            message = make_change(version, number)
            reply = await client.async_call_leader(message, 5.0)
            version = max(version, reply.version)
            return str(reply.status)

        async def async_claim(number: int) -> str:
            message = make_claim(uuid.uuid4().hex)
            return str((await client.async_call_leader(message, 5.0)).status)

        found = {}
        for name, one in (("changes", async_change), ("claims", async_claim)):
            for workers in (1, 32, 256):
                measured = await async_measure_rate(workers, self.seconds, one)
                found[f"{name}_{workers}"] = measured
        timings = deployment.state(deployment.leader())["components"]["metrics"]
        found["sync"] = timings["timers"].get("replication.sync")
        return found


@cappa.command(name="failover")
@dataclass
class Failover:
    """Time from killing the leader until a change is accepted again."""

    tries: Annotated[int, cappa.Arg(long=True)] = 30

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Kill the leader, send changes to the others, and restart it."""
        deployment.start_all({}, "entry,dispatch", proxied=False)
        times = []
        for number in range(self.tries):
            leader = deployment.leader()
            others = [name for name in REPLICAS if name != leader]
            version = deployment.control()["control"]["state"]["config_version"]
            deployment.process(leader).kill()
            started_at = time.monotonic()
            curio.run(self._async_until_accepted, deployment, version, number)
            times.append(time.monotonic() - started_at)
            deployment.start_host(leader)
            wait_for(
                "redundancy", lambda o=others: deployment.failure_tolerance(o) == 1
            )
        return {
            "without_leader": latency_summary(times),
            "all_s": [round(t, 2) for t in times],
        }

    async def _async_until_accepted(
        self, deployment: ControlDeployment, version: int, number: int
    ) -> None:
        client = deployment.make_client()
        message = make_change(version, number)
        while True:
            reply = await client.async_call_once(message, 0.5)
            if reply is not None and reply.status == "accepted":
                return
            await curio.sleep(0.01)


@cappa.command(name="in-force")
@dataclass
class InForce:
    """Time from sending a change until it is in force on 9 nodes."""

    tries: Annotated[int, cappa.Arg(long=True)] = 30
    tries_cut: Annotated[int, cappa.Arg(long=True)] = 10

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Watch the version at all nodes; then again with one node partitioned."""
        nodes = {f"n{number}": "entry,dispatch" for number in range(6)}
        deployment.start_all(nodes, "entry,dispatch", proxied=True)
        unpartitioned = [
            self._change(deployment, number, "") for number in range(self.tries)
        ]
        partitioned = []
        for number in range(self.tries_cut):
            for name in REPLICAS:
                deployment.set_cut("n5", name, True)
            partitioned.append(self._change(deployment, 1000 + number, "n5"))
            for name in REPLICAS:
                deployment.set_cut("n5", name, False)
            wait_for("n5 is back", lambda: deployment.ready("n5"))
        return {
            "accepted": latency_summary([accepted for accepted, _ in unpartitioned]),
            "in_force_on_9": latency_summary([done for _, done in unpartitioned]),
            "in_force_with_one_cut": latency_summary([done for _, done in partitioned]),
            "resolution_ms": 20,
        }

    def _change(
        self, deployment: ControlDeployment, number: int, partitioned: str
    ) -> tuple[float, float]:
        version = deployment.control()["control"]["state"]["config_version"]
        config = builders.config_document()
        config["tiers"]["gold"]["deadline_ms"] = 10_000 + number
        port = deployment.hosts_by_name["a"].ports["operator"]
        headers = {"If-Match": f'"{version}"'}
        done: list[float] = []
        started_at = time.monotonic()

        def watch(name: str) -> None:
            wait_for(
                name,
                lambda: self._enforces_version(
                    deployment, name, version + 1, partitioned
                ),
            )
            done.append(time.monotonic() - started_at)

        threads = [
            threading.Thread(target=watch, args=(name,))
            for name in deployment.hosts_by_name
        ]
        status, _, _ = deployment.send_request(
            port, "PUT", "/v1/config", config, headers
        )
        accepted = time.monotonic() - started_at
        assert status == 200, status
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(done) == len(threads)
        return accepted, max(done)

    def _enforces_version(
        self, deployment: ControlDeployment, name: str, version: int, partitioned: str
    ) -> bool:
        """Return whether a node can send nothing under an older configuration."""
        if name == partitioned:
            return not deployment.ready(name)
        node = deployment.state(name).get("components", {}).get("node", {})
        return bool(node.get("config_version", 0) >= version)


@cappa.command(name="goodput")
@dataclass
class Goodput:
    """Requests served while control is unreachable, with two lease durations.

    Callers send to entry hosts. A separate host owns the pool; only the leader is
    partitioned from it, in the case leader-cut. serving-on tries leases of an hour.
    """

    seconds: Annotated[float, cappa.Arg(long=True)] = 12.0
    serving_on: Annotated[bool, cappa.Arg(long=True)] = False
    case: Annotated[str, cappa.Arg(long=True)] = "host-cut"
    """host-cut, leader-cut or quorum-lost"""

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Load the hosts, inject the fault, and compare with the rate before it."""
        if self.serving_on:
            deployment.timings |= {"lease": 3600.0, "owner_lease": 3700.0}
        roles = {"owner": "dispatch", "d": "entry", "e": "entry"}
        deployment.start_all(roles, "entry", proxied=True)
        deployment.start_upstream("plain", "p1", {"slots": "64"})
        wait_for("p1", lambda: bool(deployment.records("accepted")))
        leader = deployment.leader()
        callers = [name for name in deployment.hosts_by_name if name != "owner"]
        loads = {name: self._load(deployment, name) for name in callers}
        time.sleep(5.0)
        before = {name: load.done for name, load in loads.items()}
        time.sleep(5.0)
        rate = {name: (loads[name].done - before[name]) / 5.0 for name in callers}
        start = {name: loads[name].done for name in callers}
        call_offsets = {name: len(loads[name].calls) for name in callers}
        faulty_host = self._inject_fault(deployment, leader)
        time.sleep(self.seconds)
        done = {name: loads[name].done - start[name] for name in callers}
        refusals: dict[str, int] = {}
        for name in callers:
            for call in loads[name].calls[call_offsets[name] :]:
                if not call.whole:
                    key = f"{call.outcome}/{call.reason}"
                    refusals[key] = refusals.get(key, 0) + 1
        for name in deployment.hosts_by_name:
            if name != faulty_host and self.case != "quorum-lost":
                deployment.set_cut(faulty_host, name, False)
        for load in loads.values():
            load.stopping = True
        expected = {name: rate[name] * self.seconds for name in callers}
        reachable = [n for n in callers if n != faulty_host]
        if self.case == "quorum-lost":
            reachable = [n for n in callers if n in ("d", "e", faulty_host)]
        others = sum(expected[n] for n in reachable)
        return {
            "case": self.case,
            "serving_on": self.serving_on,
            "seconds": self.seconds,
            "rate_before": round(sum(rate.values()), 1),
            "kept_at_broken_host": round(
                done[faulty_host] / max(expected[faulty_host], 1), 3
            ),
            "kept_at_others": round(sum(done[n] for n in reachable) / others, 3),
            "not_done": refusals,
        }

    def _load(self, deployment: ControlDeployment, name: str) -> Load:
        port = deployment.hosts_by_name[name].ports["caller"]
        return Load([port], deployment.records, name, 4)

    def _inject_fault(self, deployment: ControlDeployment, leader: str) -> str:
        if self.case == "quorum-lost":
            for name in REPLICAS:
                if name != leader:
                    deployment.process(name).kill()
            return leader
        faulty_host = leader if self.case == "leader-cut" else "d"
        for name in REPLICAS:
            if name != faulty_host:
                deployment.set_cut(faulty_host, name, True)
        if self.case == "leader-cut":
            deployment.set_cut(faulty_host, "owner", True)
        return faulty_host


@dataclass
class ControlSystem:
    """Measure control with real processes."""

    command: cappa.Subcommands[Commits | Failover | InForce | Goodput | Cost | Recovery]


def main() -> None:
    """Run one measurement and print its figures."""
    system = cappa.parse(ControlSystem)
    with tempfile.TemporaryDirectory() as folder:
        with ControlDeployment(Path(folder)) as deployment:
            started_at, load = time.monotonic(), os.getloadavg()[0]
            try:
                figures = system.command.run(deployment)
            except Exception:
                print(deployment.log_tails(), file=sys.stderr)
                raise
        figures["took_s"] = round(time.monotonic() - started_at, 1)
        figures["load_1m"] = [round(load, 1), round(os.getloadavg()[0], 1)]
        figures["cores"] = os.cpu_count()
        print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
