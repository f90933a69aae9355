"""Callers of entry hosts of which some lose their paths to all engines.

`PYTHONPATH=platform python -m tests.platform.cut_off` prints the whole table.
"""

import statistics
import tempfile
import threading
import time
import uuid
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from tests.platform.builders import KEY, document, route
from tests.platform.cut_fleet import CutFleet
from tests.platform.processes import (
    CONTROL_IPS,
    ENGINE_PORT,
    ENTRY_PORT,
    SERVICE,
    SUBNET,
    ask,
)
from tests.scenarios.cut_paths import (
    FOREIGN_ANSWER,
    PACKET_BYTES,
    REFUSE,
    RESET,
    SILENT,
    SILENT_LARGE,
    SILENT_REQUEST,
    SWALLOW_REQUEST,
    SWALLOW_RESPONSE,
    TRUNCATE,
)

ENTRY_IPS = tuple(f"{SUBNET}.{number}" for number in range(9, 15))
ENGINES = 6
CALLERS_PER_HOST = 2
CALL_PAUSE = 0.03
SECONDS_BEFORE = 3.0
CONTACT_WINDOW = 4.0
"""Seconds after the cut from which callers of all hosts are compared."""

IDEMPOTENT_WINDOW = 1.0
"""Seconds after the cut from which calls that may be repeated are compared."""

CUT_SECONDS = 9.0
SECONDS_TO_RECOVER = 2.0
SECONDS_AFTER = 2.0
PATHS = ("/tiles/1", "/pins/1")
OK = 200
PADDING = "0" * (PACKET_BYTES + 100)
"""Makes a request longer than a packet."""


class Call(NamedTuple):
    """A call of an entry host; seconds is how long it took."""

    at: float
    ip: str
    status: int
    seconds: float
    request_id: str


class Served(NamedTuple):
    """Calls that were served, of all; p50 is the median of their seconds."""

    served: int
    calls: int
    p50: float

    @property
    def share(self) -> float:
        """The share of the calls that were served."""
        return self.served / max(1, self.calls)


class Row(NamedTuple):
    """The calls of hosts that were cut off and of the others, by time.

    cut_repeatable are those that may be repeated, from IDEMPOTENT_WINDOW after the cut.
    cut_lost is the number of others that weren't served at a host, the largest one.
    """

    before: Served
    cut: Served
    others: Served
    cut_after: Served
    cut_repeatable: Served
    cut_lost: int
    runs_by_request: dict[str, int]
    repeated_wrongly: int


class TwoRoutesFleet(CutFleet):
    """A fleet with a route of idempotent calls and one of others."""

    def __init__(self, folder: Path) -> None:
        tiles = route(
            name="r-2", path_prefix="/tiles/", route_kind="idempotent", service=SERVICE
        )
        pins = route(
            name="r-3",
            path_prefix="/pins/",
            route_kind="non_idempotent",
            service=SERVICE,
        )
        super().__init__(folder, CONTROL_IPS, ENTRY_IPS, document(tiles, pins))


class HostCallers:
    """Threads that call one entry host each and record the calls."""

    def __init__(self, ips: tuple[str, ...]) -> None:
        self.calls: list[Call] = []
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(ip, number), daemon=True)
            for ip in ips
            for number in range(CALLERS_PER_HOST)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the calls in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, ip: str, number: int) -> None:
        while not self._stopped.wait(CALL_PAUSE):
            request_id = uuid.uuid4().hex
            headers = {
                "Host": "trees.example",
                "Authorization": f"Token {KEY}",
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": "2500",
                "X-Padding": PADDING,
            }
            at = time.monotonic()
            path = PATHS[number % len(PATHS)]
            status, _ = ask(ip, "GET", path, None, headers, ENTRY_PORT)
            seconds = time.monotonic() - at
            self.calls.append(Call(at, ip, status, seconds, path + request_id))

    def served(
        self, ips: tuple[str, ...], since: float, until: float, path: str = ""
    ) -> Served:
        """Return how many calls of some hosts that began in a time were served."""
        chosen = [
            call
            for call in self.calls
            if call.ip in ips
            and since <= call.at < until
            and call.request_id.startswith(path)
        ]
        good = [call.seconds for call in chosen if call.status == OK]
        p50 = statistics.median(good) if good else 0.0
        return Served(len(good), len(chosen), p50)

    def failed(
        self, ips: tuple[str, ...], since: float, until: float, path: str
    ) -> int:
        """Return how many calls of some hosts and a path weren't served."""
        found = self.served(ips, since, until, path)
        return found.calls - found.served


def run_row(folder: Path, mode: str, count: int) -> Row:
    """Cut some entry hosts off from all engines for a while, under load."""
    return run_cuts(folder, dict.fromkeys(ENTRY_IPS[:count], mode))


def run_cuts(folder: Path, mode_by_ip: dict[str, str]) -> Row:
    """Cut each of some entry hosts off from all engines in its own way."""
    cut_ips = tuple(mode_by_ip)
    other_ips = tuple(ip for ip in ENTRY_IPS if ip not in mode_by_ip)
    with TwoRoutesFleet(folder) as fleet:
        engines = [
            fleet.engine(f"e-{number}", number, "v1") for number in range(ENGINES)
        ]
        for ip in ENTRY_IPS:
            fleet.until(lambda ip=ip: _is_served(ip))
        callers = HostCallers(ENTRY_IPS)
        started = time.monotonic()
        time.sleep(SECONDS_BEFORE)
        cut_at = time.monotonic()
        with ExitStack() as stack:
            for ip, mode in mode_by_ip.items():
                stack.enter_context(fleet.cut((ip,), mode, ENGINE_PORT))
            time.sleep(CUT_SECONDS)
            healed = time.monotonic()
        time.sleep(SECONDS_TO_RECOVER + SECONDS_AFTER)
        ended = time.monotonic()
        callers.stop()
        runs: dict[str, int] = {}
        for engine in engines:
            for request_id in engine.requests:
                runs[request_id] = runs.get(request_id, 0) + 1
        window = (cut_at + CONTACT_WINDOW, healed - 0.5)
        return Row(
            before=callers.served(ENTRY_IPS, started, cut_at),
            cut=callers.served(cut_ips, *window),
            others=callers.served(other_ips, *window),
            cut_after=callers.served(cut_ips, healed + SECONDS_TO_RECOVER, ended - 0.5),
            cut_repeatable=callers.served(
                cut_ips, cut_at + IDEMPOTENT_WINDOW, healed - 0.5, PATHS[0]
            ),
            cut_lost=max(
                callers.failed((ip,), cut_at, healed, PATHS[1]) for ip in cut_ips
            ),
            runs_by_request=runs,
            repeated_wrongly=sum(
                runs.get(call.request_id.removeprefix(PATHS[1]), 0) > 1
                for call in callers.calls
                if call.request_id.startswith(PATHS[1])
            ),
        )


def _is_served(ip: str) -> bool:
    headers = {
        "Host": "trees.example",
        "Authorization": f"Token {KEY}",
        "X-Attempt-Id": uuid.uuid4().hex,
        "X-Deadline-Ms": "1000",
    }
    return ask(ip, "GET", PATHS[0], None, headers, ENTRY_PORT)[0] == OK


ROWS = (
    (SILENT, 2),
    (SILENT, 3),
    (SILENT, 5),
    (RESET, 2),
    (RESET, 4),
    (REFUSE, 2),
    (REFUSE, 5),
    *(
        (mode, count)
        for mode in (
            SWALLOW_REQUEST,
            SWALLOW_RESPONSE,
            SILENT_REQUEST,
            SILENT_LARGE,
            TRUNCATE,
            FOREIGN_ANSWER,
        )
        for count in (2, 4, 5)
    ),
)


def main() -> None:
    """Print one line for each mode and number of hosts."""
    for mode, count in ROWS:
        with tempfile.TemporaryDirectory() as folder:
            row = run_row(Path(folder), mode, count)
        print(
            mode,
            f"{count} of {len(ENTRY_IPS)}",
            *(
                f"{name} {part.served}/{part.calls} p50 {part.p50 * 1000:.0f} ms"
                for name, part in zip(Row._fields, row[:5], strict=False)
            ),
            f"lost once {row.cut_lost}",
            f"repeated wrongly {row.repeated_wrongly}",
            flush=True,
        )


if __name__ == "__main__":
    main()
