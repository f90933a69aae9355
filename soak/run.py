"""One run of a soak: the fleet, its load and its troubles, and what was seen."""

import json
import os
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from soak.checks import CONTACT_WINDOW, Evidence
from soak.load import SoakLoad, fill
from soak.schedule import Trouble
from soak.troubles import Troubles
from tests.platform.processes import SUBNET
from tests.platform.soak_fleet import SoakFleet
from tests.scenarios.processes import ROOT

CALM_SECONDS = CONTACT_WINDOW + 5.0
"""Time of undisturbed load after the last trouble."""

WARM_UP_SECONDS = 1.0
FIRST_ENTRY_NUMBER = 9
MAX_ENTRY_HOSTS = 80
MAX_ERROR_TEXT = 300


def entry_ips(hosts: int) -> tuple[str, ...]:
    """Return the addresses of some entry hosts."""
    first = FIRST_ENTRY_NUMBER
    return tuple(f"{SUBNET}.{number}" for number in range(first, first + hosts))


def run(
    schedule: Sequence[Trouble], seed: int, hosts: int, folder: Path, tree: Path = ROOT
) -> tuple[Evidence, int]:
    """Play a schedule; return what was seen, and how many troubles were left out.

    tree is the folder of the code that the hosts run.
    """
    with SoakFleet(folder, entry_ips(hosts), tree) as fleet:
        fleet.add_all_engines()
        load = SoakLoad(fleet, seed)
        time.sleep(WARM_UP_SECONDS)
        files_before = _open_files(fleet)
        troubles = Troubles(fleet, load, seed)
        troubles.play(tuple(schedule))
        calm = time.monotonic()
        time.sleep(CALM_SECONDS)
        load.stop()
        ended = time.monotonic()
        files_after = _open_files(fleet)
        filled = time.monotonic()
        fill(fleet)
        used = {
            engine.name: engine.requests_since(filled)
            for engine in (*fleet.engines, *fleet.plain)
        }
        held = [item for engine in fleet.ordered_engines for item in engine.held]
    evidence = Evidence(
        runs=Counter(item for engine in fleet.all_engines for item in engine.requests),
        calls=[
            item._replace(at=load.call_time(item.at)) for item in load.calls.responses
        ],
        streams=[*load.streams.streams, *load.moving_streams.streams],
        answers=load.long_streams.answers,
        broken_off=frozenset().union(
            *(engine.broken_off for engine in fleet.stream_engines)
        ),
        cut_lines={
            ip: _requests_cut(fleet.process_by_ip[ip].log) for ip in fleet.entry_ips
        },
        held=held,
        prompts=load.prompts.sent,
        crashes=fleet.crashes,
        arrivals=fleet.arrivals,
        applied=troubles.applied,
        late=troubles.late,
        calm=calm,
        ended=ended,
        used=used,
        acknowledged=load.operator.acknowledged,
        read=load.operator.read,
        accepted_badly=load.operator.accepted_badly,
        errors=[
            text
            for process in fleet.process_by_ip.values()
            for text in _errors(process.log)
        ],
        files_before=files_before,
        files_after=files_after,
        left=fleet.processes_left,
    )
    return evidence, troubles.left_out


def _open_files(fleet: SoakFleet) -> dict[str, int]:
    found = {}
    for ip, process in fleet.process_by_ip.items():
        try:
            found[ip] = len(os.listdir(f"/proc/{process.pid}/fd"))
        except OSError:
            continue
    return found


def _requests_cut(log: Path) -> frozenset[str]:
    """Return the requests whose responses a host's log calls cut."""
    found = set()
    for line in log.read_text(errors="replace").splitlines():
        if '"event":"response-cut"' in line:
            try:
                found.add(json.loads(line)["request"])
            except ValueError:
                continue
    return frozenset(found)


def _errors(log: Path) -> list[str]:
    """Return the records at level error in a log, shortened."""
    found = []
    for line in log.read_text(errors="replace").splitlines():
        if '"level":"error"' not in line:
            continue
        try:
            record = json.loads(line)
        except ValueError:
            continue
        last = record.get("traceback", "").strip().rpartition("\n")[2]
        found.append(f"{log.name}: {record['text']} {last}"[:MAX_ERROR_TEXT])
    return found
