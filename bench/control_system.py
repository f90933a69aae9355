"""Figures of control with real processes: `python -m bench.control_system --help`.

Each command starts three replicas with synced logs, and nodes, on loopback, with the
timings of the product. It prints one JSON document; the figures hold for the machine
and its load at that time.
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

from bench.control_setup import (
    REPLICAS,
    ControlDeployment,
    async_timed,
    config_bytes,
    spread,
    wait_for,
)
from bitterntiller.protocol import messages
from tests.scenarios import builders
from tests.scenarios.operators import Load

TRANSFER_PATIENCE_S = 120.0


def make_claim(key: str) -> Any:
    """Return the message that takes a claim."""
    return messages.Claim(
        action="take",
        workspace=f"w{key[0]}",
        key=key,
        digest="0" * 64,
        host="bench",
        incarnation="bench",
        upstream="e1",
        request_id=key,
        outcome="",
        http_status=0,
        address="127.0.0.1:1",
    )


def make_change(base: int, number: int, workspaces: int = 0) -> Any:
    """Return the message of a change with an id of its own."""
    return messages.Change(
        change_id=uuid.uuid4().hex,
        base_version=base,
        config=config_bytes(number, workspaces),
    )


async def async_take_claims(deployment: ControlDeployment, count: int) -> None:
    """Have so many claims taken, 256 at once."""
    client = deployment.make_client()
    left = iter(range(count))

    async def async_worker() -> None:
        for _ in left:
            await client.async_call_leader(make_claim(uuid.uuid4().hex), 5.0)

    async with curio.TaskGroup() as group:
        for _ in range(256):
            await group.spawn(async_worker)


@cappa.command(name="commits")
@dataclass
class Commits:
    """Changes and claims a second, one at a time and 32 at once."""

    seconds: Annotated[float, cappa.Arg(long=True)] = 8.0

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Send to the leader's internal port."""
        deployment.begin({}, "entry,dispatch", proxied=False)
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
                measured = await async_timed(workers, self.seconds, one)
                found[f"{name}_{workers}"] = measured
        timings = deployment.state(deployment.leader())["components"]["metrics"]
        found["sync"] = timings["timers"].get("replication.sync")
        return found


@cappa.command(name="failover")
@dataclass
class Failover:
    """Time from the killing of the leader until a change is accepted again."""

    tries: Annotated[int, cappa.Arg(long=True)] = 30

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Kill the leader, ask the others for changes, start it again."""
        deployment.begin({}, "entry,dispatch", proxied=False)
        times = []
        for number in range(self.tries):
            leader = deployment.leader()
            others = [name for name in REPLICAS if name != leader]
            version = deployment.control()["control"]["state"]["config_version"]
            deployment.process(leader).kill()
            begun = time.monotonic()
            curio.run(self._async_until_accepted, deployment, version, number)
            times.append(time.monotonic() - begun)
            deployment.start_host(leader)
            wait_for("redundancy", lambda o=others: deployment.survives(o) == 1)
        return {"without_leader": spread(times), "all_s": [round(t, 2) for t in times]}

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
    """Time from the sending of a change until it is in force on 9 nodes."""

    tries: Annotated[int, cappa.Arg(long=True)] = 30
    tries_cut: Annotated[int, cappa.Arg(long=True)] = 10

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Watch the version at all nodes; then with one of them cut off."""
        nodes = {f"n{number}": "entry,dispatch" for number in range(6)}
        deployment.begin(nodes, "entry,dispatch", proxied=True)
        whole = [self._change(deployment, number, "") for number in range(self.tries)]
        cut = []
        for number in range(self.tries_cut):
            for name in REPLICAS:
                deployment.set_cut("n5", name, True)
            cut.append(self._change(deployment, 1000 + number, "n5"))
            for name in REPLICAS:
                deployment.set_cut("n5", name, False)
            wait_for("n5 is back", lambda: deployment.ready("n5"))
        return {
            "accepted": spread([accepted for accepted, _ in whole]),
            "in_force_on_9": spread([done for _, done in whole]),
            "in_force_with_one_cut": spread([done for _, done in cut]),
            "resolution_ms": 20,
        }

    def _change(
        self, deployment: ControlDeployment, number: int, cut: str
    ) -> tuple[float, float]:
        version = deployment.control()["control"]["state"]["config_version"]
        config = builders.config_document()
        config["tiers"]["gold"]["deadline_ms"] = 10_000 + number
        port = deployment.hosts_by_name["a"].ports["operator"]
        headers = {"If-Match": f'"{version}"'}
        done: list[float] = []
        begun = time.monotonic()

        def watch(name: str) -> None:
            wait_for(name, lambda: self._obeys(deployment, name, version + 1, cut))
            done.append(time.monotonic() - begun)

        threads = [
            threading.Thread(target=watch, args=(name,))
            for name in deployment.hosts_by_name
        ]
        status, _, _ = deployment.ask(port, "PUT", "/v1/config", config, headers)
        accepted = time.monotonic() - begun
        assert status == 200, status
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(done) == len(threads)
        return accepted, max(done)

    def _obeys(
        self, deployment: ControlDeployment, name: str, version: int, cut: str
    ) -> bool:
        """Tell whether a node can send nothing under an older configuration."""
        if name == cut:
            return not deployment.ready(name)
        node = deployment.state(name).get("components", {}).get("node", {})
        return bool(node.get("config_version", 0) >= version)


@cappa.command(name="goodput")
@dataclass
class Goodput:
    """Requests answered while control can't be reached, under two lease rules.

    Callers ask entry hosts; a host of its own owns the pool and stays reachable
    but for the leader's cut. serving-on is an experiment: leases of an hour.
    """

    seconds: Annotated[float, cappa.Arg(long=True)] = 12.0
    serving_on: Annotated[bool, cappa.Arg(long=True)] = False
    case: Annotated[str, cappa.Arg(long=True)] = "host-cut"
    """host-cut, leader-cut or quorum-lost"""

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Load the hosts, break something, and compare with before."""
        if self.serving_on:
            deployment.timings |= {"lease": 3600.0, "owner_lease": 3700.0}
        roles = {"owner": "dispatch", "d": "entry", "e": "entry"}
        deployment.begin(roles, "entry", proxied=True)
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
        places = {name: len(loads[name].calls) for name in callers}
        broken = self._break(deployment, leader)
        time.sleep(self.seconds)
        done = {name: loads[name].done - start[name] for name in callers}
        refusals: dict[str, int] = {}
        for name in callers:
            for call in loads[name].calls[places[name] :]:
                if not call.whole:
                    key = f"{call.outcome}/{call.reason}"
                    refusals[key] = refusals.get(key, 0) + 1
        for name in deployment.hosts_by_name:
            if name != broken and self.case != "quorum-lost":
                deployment.set_cut(broken, name, False)
        for load in loads.values():
            load.stopping = True
        expected = {name: rate[name] * self.seconds for name in callers}
        reached = [n for n in callers if n != broken]
        if self.case == "quorum-lost":
            reached = [n for n in callers if n in ("d", "e", broken)]
        others = sum(expected[n] for n in reached)
        return {
            "case": self.case,
            "serving_on": self.serving_on,
            "seconds": self.seconds,
            "rate_before": round(sum(rate.values()), 1),
            "kept_at_broken_host": round(done[broken] / max(expected[broken], 1), 3),
            "kept_at_others": round(sum(done[n] for n in reached) / others, 3),
            "not_done": refusals,
        }

    def _load(self, deployment: ControlDeployment, name: str) -> Load:
        port = deployment.hosts_by_name[name].ports["caller"]
        return Load([port], deployment.records, name, 4)

    def _break(self, deployment: ControlDeployment, leader: str) -> str:
        if self.case == "quorum-lost":
            for name in REPLICAS:
                if name != leader:
                    deployment.process(name).kill()
            return leader
        broken = leader if self.case == "leader-cut" else "d"
        for name in REPLICAS:
            if name != broken:
                deployment.set_cut(broken, name, True)
        if self.case == "leader-cut":
            deployment.set_cut(broken, "owner", True)
        return broken


@cappa.command(name="cost")
@dataclass
class Cost:
    """What control costs a node that has nothing else to do, and a change."""

    nodes: Annotated[int, cappa.Arg(long=True)] = 9
    seconds: Annotated[float, cappa.Arg(long=True)] = 15.0
    changes_s: Annotated[float, cappa.Arg(long=True)] = 2.0
    workspaces: Annotated[int, cappa.Arg(long=True)] = 0
    """Workspaces besides the two that each configuration here has."""

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Read processor time, memory and the links' counters twice."""
        others = {f"n{number}": "entry,dispatch" for number in range(self.nodes - 3)}
        # A host that finds no control has all parts but no session and no
        # configuration: what it lacks in memory is what control takes.
        deployment.sessionless = {"alone"}
        deployment.begin(others | {"alone": "entry,dispatch"}, "entry,dispatch", False)
        time.sleep(5.0)
        leader = deployment.leader()
        followers = [name for name in REPLICAS if name != leader]
        sample = list(others)[:6]
        groups = {"leader": [leader], "follower": followers, "node": sample}
        groups["alone"] = ["alone"]
        idle = self._measure(deployment, groups, lambda: time.sleep(self.seconds))
        changed = self._measure(deployment, groups, lambda: self._change(deployment))
        sizes = {"nodes": self.nodes, "workspaces": self.workspaces + 2}
        return sizes | {"idle": idle, "under_changes": changed}

    def _measure(
        self, deployment: ControlDeployment, groups: dict[str, list[str]], act: Any
    ) -> dict[str, Any]:
        names = [name for group in groups.values() for name in group]
        before = {name: self._read(deployment, name) for name in names}
        begun = time.monotonic()
        changes = act()
        seconds = time.monotonic() - begun
        after = {name: self._read(deployment, name) for name in names}
        found: dict[str, Any] = {"seconds": round(seconds, 1), "changes": changes}
        for group, members in groups.items():
            if not members:
                continue
            gains = [
                [y - x for x, y in zip(before[m], after[m], strict=True)]
                for m in members
            ]
            cpu, sent, received = (
                sum(c) / len(members) for c in zip(*gains, strict=True)
            )
            resident = sum(deployment.resident(m) for m in members) / len(members)
            found[group] = {
                "cpu_s_per_s": round(cpu / seconds, 4),
                "sent_bytes_s": round(sent / seconds),
                "received_bytes_s": round(received / seconds),
                "resident_kb": round(resident),
            }
        return found

    def _read(self, deployment: ControlDeployment, name: str) -> tuple[float, int, int]:
        sent = deployment.counter(name, "links.sent_bytes")
        received = deployment.counter(name, "links.received_bytes")
        return deployment.cpu(name), sent, received

    def _change(self, deployment: ControlDeployment) -> int:
        return int(curio.run(self._async_change, deployment))

    async def _async_change(self, deployment: ControlDeployment) -> int:
        client = deployment.make_client()
        version = deployment.control()["control"]["state"]["config_version"]
        begun = time.monotonic()
        count = 0
        while (now := time.monotonic()) - begun < self.seconds:
            reply = await client.async_call_leader(
                make_change(version, count, self.workspaces), 5.0
            )
            assert reply.status == "accepted", reply
            version = reply.version
            count += 1
            await curio.sleep(max(0.0, now + 1 / self.changes_s - time.monotonic()))
        return count


@cappa.command(name="recovery")
@dataclass
class Recovery:
    """Times of a restart and of the repair of a lost disk, against the size."""

    claims: Annotated[list[int], cappa.Arg(long=True)] = ()  # type: ignore[assignment]
    snapshot_entries: Annotated[int, cappa.Arg(long=True)] = 10_000

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Fill the log step by step; restart a follower, all, and lose a disk."""
        deployment.snapshot_entries = self.snapshot_entries
        deployment.begin({}, "entry,dispatch", proxied=False)
        taken, rows = 0, []
        for claims in self.claims or [0, 10_000, 40_000, 90_000]:
            curio.run(async_take_claims, deployment, claims - taken)
            taken = claims
            rows.append(self._measure(deployment))
        return {"snapshot_entries": self.snapshot_entries, "rows": rows}

    def _measure(self, deployment: ControlDeployment) -> dict[str, Any]:
        leader = deployment.leader()
        one = next(name for name in REPLICAS if name != leader)
        folder = deployment.folder / f"data-{one}" / "replication"
        size = sum(f.stat().st_size for f in folder.iterdir() if f.is_file())
        claims = deployment.control()["control"]["state"]["claims"]
        index = deployment.control()["control"]["log"]["commit_index"]
        deployment.process(one).kill()
        wait_for("the loss is seen", lambda: deployment.survives([leader]) == 0)
        deployment.start_host(one)
        follower = wait_for("a follower", lambda: deployment.survives([leader]) == 1)
        for name in REPLICAS:
            deployment.process(name).kill()
        for name in REPLICAS:
            deployment.start_host(name)
        ready = wait_for(
            "all hosts", lambda: all(deployment.ready(n) for n in REPLICAS)
        )
        wait_for("redundancy", lambda: deployment.survives() == 1)
        leader = deployment.leader()
        one = next(name for name in REPLICAS if name != leader)
        deployment.process(one).kill()
        wait_for("the loss is seen", lambda: deployment.survives([leader]) == 0)
        (deployment.folder / f"data-{one}").rename(
            deployment.folder / f"lost-{one}-{uuid.uuid4().hex}"
        )
        deployment.start_host(one)
        repair = wait_for(
            "the repair",
            lambda: deployment.survives([leader]) == 1,
            TRANSFER_PATIENCE_S,
        )
        return {
            "claims": claims,
            "commit_index": index,
            "folder_kb": size // 1024,
            "follower_back_s": round(follower, 2),
            "all_ready_after_power_loss_s": round(ready, 2),
            "lost_disk_repaired_s": round(repair, 2),
        }


@dataclass
class ControlSystem:
    """Measure control with real processes."""

    command: cappa.Subcommands[Commits | Failover | InForce | Goodput | Cost | Recovery]


def main() -> None:
    """Run one measurement and print its figures."""
    system = cappa.parse(ControlSystem)
    with tempfile.TemporaryDirectory() as folder:
        with ControlDeployment(Path(folder)) as deployment:
            begun, load = time.monotonic(), os.getloadavg()[0]
            try:
                figures = system.command.run(deployment)
            except Exception:
                print(deployment.describe_ends(), file=sys.stderr)
                raise
        figures["took_s"] = round(time.monotonic() - begun, 1)
        figures["load_1m"] = [round(load, 1), round(os.getloadavg()[0], 1)]
        figures["cores"] = os.cpu_count()
        print(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
