"""Measures the cost of control, and the time of restarts and repairs by log size."""

import time
import uuid
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import curio

from bench.control_load import async_take_claims, make_change
from bench.control_setup import (
    REPLICAS,
    ControlDeployment,
    wait_for,
)

REPAIR_TIMEOUT_S = 120.0


@cappa.command(name="cost")
@dataclass
class Cost:
    """Cost of control at nodes without other load, when idle and under changes."""

    nodes: Annotated[int, cappa.Arg(long=True)] = 9
    seconds: Annotated[float, cappa.Arg(long=True)] = 15.0
    changes_s: Annotated[float, cappa.Arg(long=True)] = 2.0
    workspaces: Annotated[int, cappa.Arg(long=True)] = 0
    """Workspaces in addition to the two of each configuration here."""

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Read processor time, memory and link counters before and after each phase."""
        others = {f"n{number}": "entry,dispatch" for number in range(self.nodes - 3)}
        # A host that can't reach control has all components but no session and no
        # configuration. The memory that it uses less is the memory cost of control.
        deployment.sessionless = {"alone"}
        deployment.start_all(
            others | {"alone": "entry,dispatch"}, "entry,dispatch", False
        )
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
        self, deployment: ControlDeployment, groups: dict[str, list[str]], action: Any
    ) -> dict[str, Any]:
        names = [name for group in groups.values() for name in group]
        before = {name: self._read(deployment, name) for name in names}
        started_at = time.monotonic()
        changes = action()
        seconds = time.monotonic() - started_at
        after = {name: self._read(deployment, name) for name in names}
        figures: dict[str, Any] = {"seconds": round(seconds, 1), "changes": changes}
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
            figures[group] = {
                "cpu_s_per_s": round(cpu / seconds, 4),
                "sent_bytes_s": round(sent / seconds),
                "received_bytes_s": round(received / seconds),
                "resident_kb": round(resident),
            }
        return figures

    def _read(self, deployment: ControlDeployment, name: str) -> tuple[float, int, int]:
        sent = deployment.counter(name, "links.sent_bytes")
        received = deployment.counter(name, "links.received_bytes")
        return deployment.cpu(name), sent, received

    def _change(self, deployment: ControlDeployment) -> int:
        return int(curio.run(self._async_change, deployment))

    async def _async_change(self, deployment: ControlDeployment) -> int:
        client = deployment.make_client()
        version = deployment.control()["control"]["state"]["config_version"]
        started_at = time.monotonic()
        count = 0
        while (now := time.monotonic()) - started_at < self.seconds:
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
    """Time of a restart, and of the repair after a lost disk, by log size."""

    claims: Annotated[list[int], cappa.Arg(long=True)] = ()  # type: ignore[assignment]
    snapshot_entries: Annotated[int, cappa.Arg(long=True)] = 10_000

    def run(self, deployment: ControlDeployment) -> dict[str, Any]:
        """Fill the log in steps; restart a follower, restart all, and lose a disk."""
        deployment.snapshot_entries = self.snapshot_entries
        deployment.start_all({}, "entry,dispatch", proxied=False)
        taken, rows = 0, []
        for claims in self.claims or [0, 10_000, 40_000, 90_000]:
            curio.run(async_take_claims, deployment, claims - taken)
            taken = claims
            rows.append(self._measure(deployment))
        return {"snapshot_entries": self.snapshot_entries, "rows": rows}

    def _measure(self, deployment: ControlDeployment) -> dict[str, Any]:
        leader = deployment.leader()
        restarted = next(name for name in REPLICAS if name != leader)
        folder = deployment.folder / f"data-{restarted}" / "replication"
        size = sum(f.stat().st_size for f in folder.iterdir() if f.is_file())
        claims = deployment.control()["control"]["state"]["claims"]
        index = deployment.control()["control"]["log"]["commit_index"]
        deployment.process(restarted).kill()
        wait_for(
            "the loss is seen", lambda: deployment.failure_tolerance([leader]) == 0
        )
        deployment.start_host(restarted)
        follower = wait_for(
            "a follower", lambda: deployment.failure_tolerance([leader]) == 1
        )
        for name in REPLICAS:
            deployment.process(name).kill()
        for name in REPLICAS:
            deployment.start_host(name)
        ready = wait_for(
            "all hosts", lambda: all(deployment.ready(n) for n in REPLICAS)
        )
        wait_for("redundancy", lambda: deployment.failure_tolerance() == 1)
        leader = deployment.leader()
        restarted = next(name for name in REPLICAS if name != leader)
        deployment.process(restarted).kill()
        wait_for(
            "the loss is seen", lambda: deployment.failure_tolerance([leader]) == 0
        )
        (deployment.folder / f"data-{restarted}").rename(
            deployment.folder / f"lost-{restarted}-{uuid.uuid4().hex}"
        )
        deployment.start_host(restarted)
        repair = wait_for(
            "the repair",
            lambda: deployment.failure_tolerance([leader]) == 1,
            REPAIR_TIMEOUT_S,
        )
        return {
            "claims": claims,
            "commit_index": index,
            "folder_kb": size // 1024,
            "follower_back_s": round(follower, 2),
            "all_ready_after_power_loss_s": round(ready, 2),
            "lost_disk_repaired_s": round(repair, 2),
        }
