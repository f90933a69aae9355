"""Hundreds of changes of a configuration with many routes, one after the other."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.fleet import Fleet, Record, document, main, route  # noqa: E402

MEMORY_MB = 296
ROUTES = 1300
PREFIX = "/reports/" + 9 * "canopy-cover-of-the-sub-cities-and-wards/"
SECONDS = 112.0
AT_ONCE = 4
ENDS = 3
"""Ends of processes in the day that the rule allows less of."""

RESTART_SECONDS = 0.5
MEGABYTE = 1024 * 1024


def configuration(version: int, routes: int) -> dict[str, Any]:
    """Return a configuration; successive versions change a time-out."""
    table = [
        route(
            f"r-{number:04d}",
            f"{PREFIX}{number:04d}/",
            "llm",
            "streaming",
            timeout_ms=12000 + (version if number == 0 else 0),
            hostname=f"ficu{number % 40:02d}.foresters.addis.example",
            session_affinity=True,
        )
        for number in range(routes)
    ]
    return document(version, table)


def resident(pid: int) -> int:
    """Return the bytes of a process that are in memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096


class Platform:
    """Kills each process that uses more than its memory, and starts it again."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.ends = dict.fromkeys(fleet.control_ips, 0)
        self.most = dict.fromkeys(fleet.control_ips, 0.0)
        self._fleet, self._record = fleet, record

    async def async_run(self) -> None:
        """Look ten times a second."""
        while True:
            await asyncio.sleep(0.1)
            for ip in self._fleet.control_ips:
                process = self._fleet.processes[ip]
                size = 0.0
                if process.poll() is None:
                    size = resident(process.pid) / MEGABYTE
                self.most[ip] = max(self.most[ip], size)
                if size > MEMORY_MB:
                    self.ends[ip] += 1
                    text = f"{ip} uses {size:.0f} MB, over {MEMORY_MB}: it is killed"
                    self._record.add(f"{text}, for the {self.ends[ip]}. time")
                    process.kill()
                    process.wait()
                    self._fleet.spawn(self._async_restart(ip))

    async def _async_restart(self, ip: str) -> None:
        await asyncio.sleep(RESTART_SECONDS)
        self._fleet.start(ip)


class Operator:
    """Sends one change after the other, each until it is acknowledged."""

    def __init__(self, fleet: Fleet, record: Record, routes: int) -> None:
        self.acknowledged = 0
        self._fleet, self._record, self._routes = fleet, record, routes
        self._version = 1

    async def async_run(self) -> None:
        """Send changes until cancelled."""
        while True:
            self._version += 1
            version = self._version
            change = configuration(version, self._routes)
            while True:
                answer = await self._fleet.async_control(
                    "PUT", "/-/config", change, 3.0
                )
                if answer.status == 200:
                    break
                if 400 <= answer.status < 500:
                    text = f"version {version}: {answer.status} {answer.body!r}"
                    self._record.add(text)
                    return
                await asyncio.sleep(0.1)
            self.acknowledged += 1


def is_broken(ends: list[int]) -> bool:
    """Return whether half of the core ended by itself as often as the rule says."""
    return 2 * sum(count >= ENDS for count in ends) >= len(ends)


async def async_play(record: Record, trouble: bool) -> bool:
    """Return whether half of the core ended by itself as often as the rule says."""
    routes = ROUTES if trouble else 40
    size = len(json.dumps(configuration(2, routes)))
    record.add(f"{routes} routes, {size} bytes a configuration")
    settings = {"limits__memory_mb": MEMORY_MB, "fault_tolerance__machines": 2}
    async with Fleet(record, control=5, edges=1, **settings) as fleet:
        await fleet.async_configure(configuration(1, 7))
        platform = Platform(fleet, record)
        operator = Operator(fleet, record, routes)
        fleet.spawn(platform.async_run())
        for _ in range(AT_ONCE):
            fleet.spawn(operator.async_run())
        broken = False
        for second in range(1, int(SECONDS) + 1):
            await asyncio.sleep(1)
            broken = is_broken(list(platform.ends.values()))
            if second % 5 == 0:
                text = ", ".join(f"{most:.0f}" for most in platform.most.values())
                text = f"{operator.acknowledged} changes acknowledged; most MB: {text}"
                record.add(text)
            if broken:
                break
            if not trouble and operator.acknowledged >= 800:
                break
        record.add(f"{operator.acknowledged} changes acknowledged")
        record.add(f"ends by memory: {list(platform.ends.values())}")
    return broken


main(async_play, Path(__file__).resolve().parent)
