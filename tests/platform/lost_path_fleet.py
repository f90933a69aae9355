"""A fleet of the platform whose hosts lose their paths to each other, and its callers.

`PYTHONPATH=platform python -m tests.platform.lost_path_fleet [ROW...]` prints a table.
"""

import itertools
import json
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from bitterntiller_platform.wire import PATH_CONFIGURATION

from tests.platform.builders import document, route
from tests.platform.processes import SERVICE, SUBNET, Fleet, PlatformProcess, ask
from tests.platform.stream_versions import INTERNAL_PORT
from tests.scenarios.lost_paths import Direction, add_loss
from tests.scenarios.processes import ROOT, Process

CONTROL_IPS = tuple(f"{SUBNET}.{number}" for number in range(1, 6))
ENTRY_IPS = (f"{SUBNET}.9", f"{SUBNET}.10")
CALL_SECONDS = 1.0
"""How long an operator waits for a response."""

CALL_PAUSE = 0.1
CONTACT_WINDOW = 3.0
"""Seconds after a loss from which all hosts have to serve."""

NOTICE_SECONDS = 0.2
"""Time until all hosts have read of a loss."""

OK = 200


class LostPathFleet(Fleet):
    """A fleet whose hosts can lose their paths to all others."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, CONTROL_IPS, ENTRY_IPS, configuration(1))

    def _process(self, ip: str, settings: Path) -> Process:
        process = PlatformProcess(ip, settings, self._folder, self.tree)
        process.command = [
            sys.executable,
            str(ROOT / "tests/scenarios/run_with_lost_paths.py"),
            str(self._loss_file),
            ip,
            str(INTERNAL_PORT),
            str(self.tree / "platform/start.py"),
        ]
        return process

    @property
    def _loss_file(self) -> Path:
        return self._folder / "losses"

    def lose(
        self,
        ips: Iterable[str],
        seconds: float,
        direction: Direction = Direction.BOTH,
    ) -> float:
        """Let hosts lose their paths to all others; return when they have them again.

        With 0 seconds, only open connections fall silent.
        """
        begins = time.monotonic() + NOTICE_SECONDS
        add_loss(self._loss_file, begins, begins + seconds, ips, direction)
        return begins + seconds

    def restart_with_seeds(self, ip: str, seeds: Iterable[str]) -> None:
        """Kill a host, and start it with its disk and other seeds in its settings."""
        self.process_by_ip[ip].kill()
        self.seeds = tuple(seeds)
        self._settings_path(ip).write_text(self._settings(ip, bootstrap=False))
        self.process_by_ip[ip].start()

    def leader(self) -> str:
        """Return the address of the control host that led last."""
        self.until(self._led)
        return max(self._led())[1]

    def all_vote(self) -> bool:
        """Return whether a membership has had all control hosts as voters."""
        found = [event["voter_by_host"] for _, event in self._events("members")]
        return any(sum(hosts.values()) == len(self.control_ips) for hosts in found)

    def _led(self) -> list[tuple[int, str]]:
        """Return the terms in the logs of control hosts, and who led in each."""
        return [(event["term"], ip) for ip, event in self._events("leading")]

    def _events(self, name: str) -> Iterator[tuple[str, dict[str, Any]]]:
        """Yield the events of a name in the logs of control hosts."""
        for ip in self.control_ips:
            for line in self.process_by_ip[ip].log.read_text().splitlines():
                if f'"event":"{name}"' in line:
                    yield ip, json.loads(line[line.index("{") :])


def configuration(version: int) -> dict[str, Any]:
    """Return a configuration with a route that only this version has."""
    tiles = route(
        name="r-2", path_prefix="/tiles/", route_kind="idempotent", service=SERVICE
    )
    added = route(name="r-new", path_prefix=f"/new{version}/", service=SERVICE)
    return document(tiles, added) | {"version": version}


class Call(NamedTuple):
    """A call of a control host; status 0 if nothing came within CALL_SECONDS."""

    at: float
    ip: str
    method: str
    status: int
    seconds: float


class Callers:
    """Operators who read and change the configuration at each control host."""

    def __init__(self, ips: Iterable[str]) -> None:
        self.calls: list[Call] = []
        self._versions = itertools.count(2)
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(ip, method), daemon=True)
            for ip in ips
            for method in ("GET", "PUT")
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the calls in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, ip: str, method: str) -> None:
        while not self._stopped.wait(CALL_PAUSE):
            body = configuration(next(self._versions)) if method == "PUT" else None
            at = time.monotonic()
            status, _ = ask(ip, method, PATH_CONFIGURATION, body, timeout=CALL_SECONDS)
            self.calls.append(Call(at, ip, method, status, time.monotonic() - at))

    def failed(self, since: float, until: float) -> list[Call]:
        """Return the calls that began in a time and were not served."""
        return [
            call
            for call in self.calls
            if since <= call.at < until and call.status != OK
        ]

    def served_again(self, healed: float) -> dict[tuple[str, str], float]:
        """Return the end of the last failure after a loss, by host and method."""
        found = {}
        for call in self.calls:
            if call.at + call.seconds > healed and call.status != OK:
                found[call.ip, call.method] = call.at + call.seconds - healed
        return found


Trouble = Callable[[LostPathFleet], float]
"""Begins a trouble; returns when it ends."""


def _others(fleet: LostPathFleet) -> list[str]:
    leader = fleet.leader()
    return [ip for ip in fleet.control_ips if ip != leader]


def _all_silent(fleet: LostPathFleet) -> float:
    return max(fleet.lose([ip], 0.0) for ip in (*fleet.control_ips, *fleet.entry_ips))


ROWS: dict[str, Trouble] = {
    "leader-5": lambda fleet: fleet.lose([fleet.leader()], 5.0),
    "leader-20": lambda fleet: fleet.lose([fleet.leader()], 20.0),
    "leader-outwards": lambda fleet: fleet.lose(
        [fleet.leader()], 6.0, Direction.OUTWARDS
    ),
    "leader-inwards": lambda fleet: fleet.lose(
        [fleet.leader()], 6.0, Direction.INWARDS
    ),
    "leader-and-one": lambda fleet: fleet.lose(
        [fleet.leader(), _others(fleet)[0]], 8.0
    ),
    "two-others": lambda fleet: fleet.lose(_others(fleet)[:2], 8.0),
    "majority": lambda fleet: fleet.lose(_others(fleet)[:3], 8.0),
    "all-silent": _all_silent,
    "short": lambda fleet: fleet.lose([fleet.leader()], 0.7),
}


class Row(NamedTuple):
    """What callers of control saw of a trouble; seconds count from its end.

    late are the calls that began CONTACT_WINDOW after it and weren't served.
    """

    ended: float
    calls: Callers
    late: list[Call]


def run_row(fleet: LostPathFleet, trouble: Trouble, seconds_after: float) -> Row:
    """Let a trouble begin and end under calls of all control hosts."""
    callers = Callers(fleet.control_ips)
    time.sleep(1.0)
    ended = trouble(fleet)
    time.sleep(ended + seconds_after - time.monotonic())
    callers.stop()
    late = callers.failed(ended + CONTACT_WINDOW, ended + seconds_after)
    return Row(ended, callers, late)


def main() -> None:
    """Print a line for each trouble and host."""
    for name in sys.argv[1:] or ROWS:
        with tempfile.TemporaryDirectory() as folder:
            with LostPathFleet(Path(folder)) as fleet:
                time.sleep(3.0)
                leader = fleet.leader()
                row = run_row(fleet, ROWS[name], 8.0)
                again = row.calls.served_again(row.ended)
                print(name, "leader", leader, "then", fleet.leader(), "late", row.late)
                for (ip, method), seconds in sorted(again.items()):
                    print(f"   {ip} {method} failed last {seconds:.2f} s after")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
