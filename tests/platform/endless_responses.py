"""Upstreams and callers whose bytes never end, with real processes.

`PYTHONPATH=platform python -m tests.platform.endless_responses [ROW...]` prints one
line for each row of the table, or for those named; `--seed N [--count M]` plays rows
drawn from M seeds from N on in their place, and `--keep FOLDER` keeps the files of the
hosts. It exits with 1 if a row misses a bound, and with 2 for a row that is not known
or served nobody before its trouble.
"""

import argparse
import contextlib
import json
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from tests.platform import endless_requests
from tests.platform.endless_callers import (
    Answer,
    Connections,
    EndlessCallers,
    Route,
    ask,
)
from tests.platform.endless_engine import Held, Orders
from tests.platform.endless_fleet import EndlessFleet, Usage, is_in_sample
from tests.platform.endless_rows import BESIDE_PAUSE, ROWS, Row, drawn_row
from tests.platform.stream_versions import print_row
from tests.scenarios.processes import ROOT

SECONDS_BEFORE = 4.0
SECONDS_TO_RECOVER = 2.0
SECONDS_AFTER = 3.0
PROCESS_SECONDS = 10.0
LONG_CALLERS = 4

MARGIN_BEFORE = 0.5
"""Part of the time before the trouble whose requests may still be in progress in it."""

NONE_AFTER_SECONDS = 0.5
"""A request without an end so long after its timeout has none."""

CLOSED_WITHIN = 0.2
BUSY_SLACK = 0.3
"""Longest time after its deadline that a connection to an upstream is open, and how
much later a busy machine may notice it."""

MIN_SERVED_AFTER = 0.95
MAX_SLOWER = 2.0
"""Most that the p99 of callers may grow while all engines are sound, as a factor."""

P99 = 0.99
NOT_RUN_STATUSES = (408, 421, 429, 503)
EXIT_FAULT, EXIT_USAGE = 1, 2


class NobodyServedError(Exception):
    """Raised for a row in which nobody was served before the trouble."""


class Times(NamedTuple):
    """Times of a play, by the machine's steady clock."""

    started: float
    trouble: float
    healed: float
    recovered: float
    ended: float


class Tally(NamedTuple):
    """What was seen in a row; times are in seconds, usage is that of entry hosts.

    Shares and counts are of requests that were sent during the trouble, but for before
    and after. none counts the requests without an end in time in the whole play, cut
    those that broke off after their head, unlogged those of them without a line in a
    host's log. repeated counts the calls that ran twice and may not, and denied those
    that ran though their answer promises that they did not. beyond is the longest time
    that a connection to an engine was open after its deadline, open the number of those
    still open at the end, probe_beyond that of health checks. dead hosts serve nobody
    at the end. sender_held is the longest time that a caller without end was connected.
    """

    before: float
    idempotent: float
    idempotent_count: int
    others: float
    others_count: int
    after: float
    after_count: int
    none: int
    longest_wait: float
    beyond: float
    open: int
    held_count: int
    probe_beyond: float
    probe_count: int
    statuses: str
    cut: int
    unlogged: int
    repeated: int
    denied: int
    p99_before: float
    p99: float
    cores_before: float
    cores: float
    megabytes_before: float
    megabytes: float
    leases_lost: int
    errors: int
    dead: int
    long_served: float
    long_count: int
    sender_held: float
    missed: tuple[str, ...] = ()

    @property
    def faultless(self) -> bool:
        """Whether no bound was missed."""
        return not self.missed


def play(row: Row, folder: Path) -> Tally:
    """Play a row on a fleet of its own; raise NobodyServedError."""
    with ExitStack() as stack:
        try:
            fleet = stack.enter_context(EndlessFleet(folder))
            fleet.add_engines()
            fleet.until(lambda: all(map(is_served, fleet.entry_ips)))
        except AssertionError as error:
            raise NobodyServedError(f"{row.name}: a host serves nobody") from error
        return play_on(row, fleet)


def play_on(row: Row, fleet: EndlessFleet) -> Tally:
    """Play a row on a fleet that serves."""
    usage = fleet.sample_usage()
    callers = EndlessCallers(fleet.entry_ips, row.callers)
    try:
        fleet.until(lambda: all(engine.runs() for engine in fleet.engines))
        started = time.monotonic()
        time.sleep(SECONDS_BEFORE)
        trouble = time.monotonic()
        sender_held = disturb(row, fleet, callers)
        healed = time.monotonic()
        time.sleep(SECONDS_TO_RECOVER)
        recovered = time.monotonic()
        time.sleep(SECONDS_AFTER)
        ended = time.monotonic()
    finally:
        callers.stop()
        usage.stop()
    fleet.check_engines()
    times = Times(started, trouble, healed, recovered, ended)
    early = sent_between(callers.answers, started, trouble)
    if not any(item.served for item in early):
        raise NobodyServedError(f"{row.name}: nobody served before the trouble")
    found = tally(fleet, callers.answers, times, sender_held)._replace(
        **_usage(usage.between(started, trouble), usage.between(trouble, healed))
    )
    return found._replace(missed=missed(row, found))


def is_served(ip: str) -> bool:
    """Return whether a host serves calls."""
    connections = Connections()
    answer = ask(Route.IDEMPOTENT, ip, connections)
    connections.close()
    return answer is not None and answer.served


def disturb(row: Row, fleet: EndlessFleet, callers: EndlessCallers) -> float:
    """Play the trouble; return the longest time that a sender was connected."""
    with ExitStack() as stack:
        for number in range(row.engines if row.sent else 0):
            sent = row.sent[number % len(row.sent)]
            orders = Orders(sent.kind, sent.slow, sent.probes)
            stack.enter_context(fleet.engines[number].obeying(orders))
        if row.long_megabytes:
            callers.add(Route.LONG, LONG_CALLERS, row.long_megabytes)
        senders = stack.enter_context(_senders(row, fleet)) if row.requests else None
        beside = threading.Thread(target=_run_beside, args=(row, fleet))
        beside.start()
        time.sleep(row.seconds)
        beside.join()
        return _longest(senders) if senders else 0.0


def _run_beside(row: Row, fleet: EndlessFleet) -> None:
    if row.beside is not None:
        time.sleep(BESIDE_PAUSE)
        row.beside(fleet)


@contextlib.contextmanager
def _senders(row: Row, fleet: EndlessFleet):
    """Start the process of callers that send without end."""
    arguments = endless_requests.Arguments(
        ips=fleet.entry_ips,
        kinds=row.requests,
        connections=row.connections,
        slow=row.slow_requests,
        seconds=row.seconds,
    )
    command = [sys.executable, "-m", endless_requests.__name__, *arguments.to_list()]
    with subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE) as process:
        try:
            yield process
        finally:
            process.kill()


def _longest(senders: "subprocess.Popen[bytes]") -> float:
    """Return the longest time that a sender was connected."""
    output, _ = senders.communicate(timeout=PROCESS_SECONDS)
    found = [json.loads(line)[2] for line in output.splitlines()]
    if not found:
        raise RuntimeError("no caller could send without end")
    return max(found)


def sent_between(answers: list[Answer], since: float, until: float) -> list[Answer]:
    """Return the answers to requests that were sent in a time."""
    return [item for item in answers if since <= item.at < until]


def share(answers: list[Answer]) -> float:
    """Return the share of requests that were served, 1 if there are none."""
    return sum(item.served for item in answers) / len(answers) if answers else 1.0


def p99(answers: list[Answer]) -> float:
    """Return the time in which 99 of 100 requests that were served had their answer."""
    seconds = sorted(item.seconds() for item in answers if item.served)
    return seconds[int(len(seconds) * P99)] if seconds else 0.0


def tally(
    fleet: EndlessFleet, answers: list[Answer], times: Times, sender_held: float
) -> Tally:
    """Return what was seen, but for the usage of the hosts."""
    now = time.monotonic()
    calls = [item for item in answers if item.route is not Route.LONG]
    long = [item for item in answers if item.route is Route.LONG]
    before = sent_between(calls, times.started, times.trouble - MARGIN_BEFORE)
    during = sent_between(calls, times.trouble, times.healed)
    after = sent_between(calls, times.recovered, times.ended)
    once = [item for item in calls if item.route is Route.ONCE]
    others = [item for item in during if item.route is Route.ONCE]
    idempotent = [item for item in during if item.route is not Route.ONCE]
    runs_by_request = Counter(
        run.request_id for engine in fleet.engines for run in engine.runs()
    )
    held = [item for engine in fleet.engines for item in engine.held()]
    logged = {line["request"] for line in fleet.events("response-cut")}
    fraction = fleet.logged_fraction()
    cut = [item for item in answers if item.cut]
    statuses = Counter(item.status for item in during)
    return Tally(
        before=share(before),
        idempotent=share(idempotent),
        idempotent_count=len(idempotent),
        others=share(others),
        others_count=len(others),
        after=share(after),
        after_count=len(after),
        none=sum(has_no_end(item) for item in answers),
        longest_wait=max(item.seconds() for item in answers),
        beyond=_longest_beyond(held, now, probes=False),
        open=sum(item.closed is None for item in held),
        held_count=sum(not item.is_probe for item in held),
        probe_beyond=_longest_beyond(held, now, probes=True),
        probe_count=sum(item.is_probe for item in held),
        statuses=",".join(f"{key}:{count}" for key, count in sorted(statuses.items())),
        cut=len(cut),
        unlogged=sum(
            item.request_id not in logged and is_in_sample(item.request_id, fraction)
            for item in cut
        ),
        repeated=sum(runs_by_request[item.request_id] > 1 for item in once),
        denied=sum(
            item.status in NOT_RUN_STATUSES and runs_by_request[item.request_id] > 0
            for item in once
        ),
        p99_before=p99(before),
        p99=p99(during),
        cores_before=0.0,
        cores=0.0,
        megabytes_before=0.0,
        megabytes=0.0,
        leases_lost=fleet.leases_lost(),
        errors=fleet.errors(),
        dead=sum(not is_served(ip) for ip in fleet.entry_ips),
        long_served=share(long),
        long_count=len(long),
        sender_held=sender_held,
    )


def has_no_end(answer: Answer) -> bool:
    """Return whether a request has no answer, refusal or close in time."""
    if answer.ended is None:
        return True
    return answer.seconds() > answer.route.timeout + NONE_AFTER_SECONDS


def _longest_beyond(held: list[Held], now: float, probes: bool) -> float:
    return max(
        (item.beyond(now) for item in held if item.is_probe is probes), default=0
    )


def _usage(before: Usage, during: Usage) -> dict[str, float]:
    return {
        "cores_before": before.cores,
        "cores": during.cores,
        "megabytes_before": before.megabytes,
        "megabytes": during.megabytes,
    }


def missed(row: Row, found: Tally) -> tuple[str, ...]:
    """Return the names of the bounds that a row has missed."""
    latest = CLOSED_WITHIN + BUSY_SLACK
    slower = found.p99 > MAX_SLOWER * found.p99_before
    is_missed_by_name = {
        "none": found.none > 0,
        "idempotent": found.idempotent < row.min_served,
        "others": row.engines_are_sound and found.others < row.min_served,
        "after": found.after < MIN_SERVED_AFTER,
        "beyond": found.beyond > latest or found.probe_beyond > latest,
        "open": found.open > 0,
        "repeated": found.repeated > 0,
        "denied": found.denied > 0,
        "unlogged": found.unlogged > 0,
        "leases_lost": found.leases_lost > 0,
        "errors": found.errors > 0,
        "dead": found.dead > 0,
        "cut": row.engines_are_sound and found.cut > 0,
        "long_served": found.long_served < row.min_served,
        "long_count": row.long_megabytes > 0 and not found.long_count,
        "p99": row.engines_are_sound and slower,
    }
    return tuple(name for name, is_missed in is_missed_by_name.items() if is_missed)


def play_all(rows: list[Row], keep: Path | None) -> int:
    """Print a line for each row; return the exit code."""
    code = 0
    for number, row in enumerate(rows):
        with ExitStack() as stack:
            if keep is None:
                folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            else:
                folder = keep / str(number)
                folder.mkdir(parents=True)
            try:
                found = play(row, folder)
            except NobodyServedError as error:
                print(error, file=sys.stderr)
                code = EXIT_USAGE
                continue
        print_row(row.name, found)
        if not found.faultless:
            code = code or EXIT_FAULT
    return code


def main() -> int:
    """Play all rows, those named, or those drawn from seeds."""
    parser = argparse.ArgumentParser(description="Play upstreams that never end.")
    parser.add_argument("rows", nargs="*", metavar="ROW")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    row_by_name = {row.name: row for row in ROWS}
    unknown = [name for name in arguments.rows if name not in row_by_name]
    if unknown:
        known = "; ".join(row_by_name)
        print(f"no such row: {'; '.join(unknown)}; known: {known}", file=sys.stderr)
        return EXIT_USAGE
    if arguments.seed is not None:
        seeds = range(arguments.seed, arguments.seed + arguments.count)
        return play_all([drawn_row(seed) for seed in seeds], arguments.keep)
    names = arguments.rows or row_by_name
    return play_all([row_by_name[name] for name in names], arguments.keep)


if __name__ == "__main__":
    sys.exit(main())
