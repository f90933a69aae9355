"""Answers of engines that fall silent for a moment, beside another trouble.

`PYTHONPATH=platform python -m tests.platform.silent_engines [ROW...]` prints one line
for each row of the table, or for those named. It exits with 1 if a row shows a fault,
and with 2 for a row that is not known or served nobody before its trouble.
"""

import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from tests.platform.builders import KEY
from tests.platform.processes import CONTROL_IPS
from tests.platform.silent_callers import (
    Answer,
    Connections,
    Kind,
    SilentCallers,
    ask,
)
from tests.platform.silent_fleet import ENGINES, ENTRY_IPS, SilentFleet
from tests.platform.stream_versions import print_row
from tests.scenarios.cut_paths import REFUSE

SECONDS_BEFORE = 4.5
"""Time of undisturbed load, in which streams grow older than callers wait for their
first output."""

ROUNDS = 3
SECONDS_BETWEEN = 4.0
SECONDS_TO_RECOVER = 2.0
SECONDS_AFTER = 4.0
HEAD_START = 0.2
"""How much earlier than the pause the other trouble begins."""

CHANGES = 3
CHANGE_PAUSE = 0.3
CUT_SECONDS = 2.5
DOWN_SECONDS = 1.0
BURST = 30
GRACE_SECONDS = 7.0
"""Time that a host has for the answers in progress when it is told to stop."""

BAD_GATEWAY = 502
EXIT_FAULT, EXIT_USAGE = 1, 2

Beside = Callable[[SilentFleet, SilentCallers, int], None]
"""A trouble beside the pause of the given round."""


class NobodyServedError(Exception):
    """Raised for a row in which nobody was served before the trouble."""


class Tally(NamedTuple):
    """What callers, engines and hosts saw in a row.

    cut counts answers that broke off well within their deadline while their engine
    lived on and their host wasn't told to stop, excused the others that broke off;
    unlogged are those of both without a line in their host's log. bad_gateway counts
    the 502 to requests whose engine lived on, headless those whose
    connection broke before a status, left those whose caller gave up.
    repeated counts calls that may not be repeated and ran twice. before and after are
    shares that were served.
    """

    answers: int
    whole: int
    cut: int
    excused: int
    unlogged: int
    bad_gateway: int
    headless: int
    left: int
    repeated: int
    before: float
    after: float

    @property
    def faultless(self) -> bool:
        """Whether nothing happened that must not."""
        return not (self.cut or self.bad_gateway or self.repeated or self.unlogged)


class Row(NamedTuple):
    """A row: how many engines are paused, for how long, and what happens beside it."""

    name: str
    beside: Beside
    seconds: float = 1.3
    engines: int = ENGINES
    rounds: int = ROUNDS


def nothing(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Leave the rest of the fleet alone."""


def change(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Change the configuration several times in quick succession."""
    for _ in range(CHANGES):
        fleet.change()
        time.sleep(CHANGE_PAUSE)


def cut_paths(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Refuse new connections from half of the entry hosts to one engine."""
    port = fleet.engines[number % ENGINES].port
    with fleet.cut(ENTRY_IPS[: len(ENTRY_IPS) // 2], REFUSE, port):
        time.sleep(CUT_SECONDS)


def leave(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Let an engine leave once it has finished what it runs."""
    fleet.replace_engine(number % ENGINES)


def stop_entry(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Stop an entry host, and start it again."""
    fleet.stop_entry(ENTRY_IPS[number % len(ENTRY_IPS)])


def reload_entry(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Let the entry hosts read their settings again."""
    for ip in ENTRY_IPS:
        fleet.process_by_ip[ip].signal(signal.SIGHUP)


def burst(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Send many streams at one moment."""
    callers.burst(BURST)


def kill_control(fleet: SilentFleet, callers: SilentCallers, number: int) -> None:
    """Kill a host of control, and start it again."""
    process = fleet.process_by_ip[CONTROL_IPS[number % len(CONTROL_IPS)]]
    process.kill()
    time.sleep(DOWN_SECONDS)
    process.start()


ROWS = (
    Row("all", nothing),
    Row("all, changes", change),
    Row("three, changes", change, engines=3),
    Row("all for 0.8 s, changes", change, seconds=0.8),
    Row("all for 1.6 s, changes", change, seconds=1.6),
    Row("all for 1.9 s, changes", change, seconds=1.9),
    Row("three, paths cut", cut_paths, engines=3),
    Row("all, paths cut", cut_paths),
    Row("all, an engine leaves", leave),
    Row("all, an entry host stops", stop_entry),
    Row("all, entry hosts read their settings", reload_entry),
    Row("all, a burst", burst),
    Row("all, a control host is killed", kill_control),
)


def pause(fleet: SilentFleet, callers: SilentCallers, row: Row, number: int) -> None:
    """Pause engines once, beside the other trouble of a row; return after both."""
    beside = threading.Thread(target=row.beside, args=(fleet, callers, number))
    beside.start()
    time.sleep(HEAD_START)
    first = number % ENGINES
    chosen = (fleet.engines[first:] + fleet.engines[:first])[: row.engines]
    with fleet.paused(chosen):
        time.sleep(row.seconds)
    beside.join()


def play(row: Row, folder: Path, seconds_after: float = SECONDS_AFTER) -> Tally:
    """Play a row on a fleet of its own; raise NobodyServedError."""
    with SilentFleet(folder) as fleet:
        fleet.add_engines()
        try:
            fleet.until(lambda: all(map(is_served, fleet.entry_ips)))
        except AssertionError as error:
            raise NobodyServedError(f"{row.name}: a host serves nobody") from error
        callers = SilentCallers(fleet.entry_ips)
        try:
            fleet.until(lambda: all(engine.runs() for engine in fleet.engines))
            started = time.monotonic()
            time.sleep(SECONDS_BEFORE)
            paused = time.monotonic()
            for number in range(row.rounds):
                if number:
                    time.sleep(SECONDS_BETWEEN)
                pause(fleet, callers, row, number)
            time.sleep(SECONDS_TO_RECOVER)
            recovered = time.monotonic()
            time.sleep(seconds_after)
        finally:
            callers.stop()
        fleet.check_engines()
        before = share(callers.answers, started, paused)
        if not before:
            raise NobodyServedError(f"{row.name}: nobody served before the trouble")
        after = share(callers.answers, recovered, time.monotonic())
        return tally(fleet, callers.answers, before, after)


def is_served(ip: str) -> bool:
    """Return whether a host serves calls."""
    return ask(Kind.IDEMPOTENT, ip, Connections(kept=False), KEY).whole


def share(answers: list[Answer], since: float, until: float) -> float:
    """Return the share served of the requests that were sent in a time."""
    chosen = [item for item in answers if since <= item.at < until]
    return sum(item.whole for item in chosen) / max(1, len(chosen))


def tally(
    fleet: SilentFleet, answers: list[Answer], before: float, after: float
) -> Tally:
    """Return what was seen."""
    runs = [run for engine in fleet.all_engines for run in engine.runs()]
    count_by_request = Counter(run.request_id for run in runs)
    broken_off = {
        run.request_id
        for engine in fleet.ended_engines
        for run in engine.runs()
        if run.ended is None
    }
    logged = {line["request"] for line in fleet.events("response-cut")}
    broken = [item for item in answers if item.broken]
    cut = [
        item
        for item in broken
        if item.broken_early
        and item.request_id not in broken_off
        and not _stopped(fleet, item)
    ]
    return Tally(
        answers=len(answers),
        whole=sum(item.whole for item in answers),
        cut=len(cut),
        excused=len(broken) - len(cut),
        unlogged=sum(item.request_id not in logged for item in broken),
        bad_gateway=sum(
            item.status == BAD_GATEWAY and item.request_id not in broken_off
            for item in answers
        ),
        headless=sum(not item.status and not item.left for item in answers),
        left=sum(item.left for item in answers),
        repeated=sum(
            item.kind is Kind.ONCE and count_by_request[item.request_id] > 1
            for item in answers
        ),
        before=before,
        after=after,
    )


def _stopped(fleet: SilentFleet, answer: Answer) -> bool:
    """Return whether the host of an answer was told to stop and had no time left."""
    stopped_at = fleet.stopped_at_by_ip.get(answer.ip)
    return stopped_at is not None and (
        answer.at <= stopped_at and answer.ended >= stopped_at + GRACE_SECONDS - 0.5
    )


def main() -> int:
    """Print the counts of all rows, or of those named."""
    row_by_name = {row.name: row for row in ROWS}
    unknown = [name for name in sys.argv[1:] if name not in row_by_name]
    if unknown:
        known = "; ".join(row_by_name)
        print(f"no such row: {'; '.join(unknown)}; known: {known}", file=sys.stderr)
        return EXIT_USAGE
    code = 0
    for name in sys.argv[1:] or row_by_name:
        with tempfile.TemporaryDirectory() as folder:
            try:
                found = play(row_by_name[name], Path(folder))
            except NobodyServedError as error:
                print(error, file=sys.stderr)
                code = EXIT_USAGE
                continue
        print_row(name, found)
        if not found.faultless:
            code = code or EXIT_FAULT
    return code


if __name__ == "__main__":
    sys.exit(main())
