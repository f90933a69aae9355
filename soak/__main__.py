"""Runs a soak: `python -m soak SEED [--seconds N] [--hosts N]`."""

import json
import signal
import sys
import tempfile
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from soak.checks import Finding, findings
from soak.run import MAX_ENTRY_HOSTS, run
from soak.schedule import Kind, Trouble, draw, pairs
from tests.scenarios.processes import ROOT

DEFAULT_SECONDS = 60.0
DEFAULT_HOSTS = 6
MAX_SHOWN = 20
EXIT_FOUND = 1
EXIT_USAGE = 2
EXIT_TERMINATED = 143


@cappa.command(name="soak")
@dataclass
class Soak:
    """Disturb a fleet of real programs and check what callers and engines saw."""

    seed: int
    seconds: Annotated[float, cappa.Arg(long=True, help="Length of the schedule.")] = (
        DEFAULT_SECONDS
    )
    hosts: Annotated[int, cappa.Arg(long=True, help="Number of entry hosts.")] = (
        DEFAULT_HOSTS
    )
    only: Annotated[
        list[str], cappa.Arg(long=True, help="Play only troubles of these kinds.")
    ] = field(default_factory=list)
    skip: Annotated[
        list[int], cappa.Arg(long=True, help="Leave these troubles out, by number.")
    ] = field(default_factory=list)
    keep: Annotated[
        Path | None, cappa.Arg(long=True, help="A folder for the hosts' files.")
    ] = None
    tree: Annotated[
        Path, cappa.Arg(long=True, help="The folder of the code that hosts run.")
    ] = ROOT
    show: Annotated[bool, cappa.Arg(long=True, help="Only print the schedule.")] = False


def schedule(soak: Soak) -> tuple[Trouble, ...]:
    """Return the troubles of a run."""
    drawn = draw(soak.seed, soak.seconds)
    return tuple(
        item
        for number, item in enumerate(drawn)
        if number not in soak.skip and (not soak.only or item.kind in soak.only)
    )


def problem(soak: Soak) -> str:
    """Return what is wrong with the arguments, empty if nothing is."""
    if not 1 <= soak.hosts <= MAX_ENTRY_HOSTS:
        return f"--hosts is from 1 to {MAX_ENTRY_HOSTS}, not {soak.hosts}"
    if not soak.seconds > 0:
        return f"--seconds is above 0, not {soak.seconds:g}"
    unknown = sorted(set(soak.only) - set(Kind))
    if unknown:
        return f"no such kind: {', '.join(unknown)}; known: {', '.join(Kind)}"
    if not (soak.tree / "platform/start.py").exists():
        return f"--tree {soak.tree} has no platform/start.py"
    return ""


def report(soak: Soak, found: list[Finding], played: tuple[Trouble, ...]) -> None:
    """Print the findings of each check, and how to play them again."""
    print(
        json.dumps(
            {
                "seed": soak.seed,
                "troubles": Counter(item.kind for item in played),
                "pairs": len(pairs(played)),
                "findings": Counter(item.check for item in found),
            }
        )
    )
    for item in found[:MAX_SHOWN]:
        print(f"{item.check}: {item.text}")
    if found:
        print(
            f"play it again: python -m soak {soak.seed} --seconds {soak.seconds:g} "
            f"--hosts {soak.hosts} --keep FOLDER; leave troubles out with --skip"
        )


def main() -> int:
    """Run the soak of the command line.

    Return 1 if a check did not hold, 2 for arguments that can't be used.
    """
    soak = cappa.parse(Soak)
    wrong = problem(soak)
    if wrong:
        print(wrong, file=sys.stderr)
        return EXIT_USAGE
    played = schedule(soak)
    if soak.show:
        for number, item in enumerate(played):
            print(number, json.dumps(item._asdict()))
        return 0
    # Ends the hosts as well, like an interrupt.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    with ExitStack() as stack:
        folder = soak.keep
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        evidence, left_out = run(
            played, soak.seed, soak.hosts, folder, soak.tree.resolve()
        )
    found = findings(evidence)
    report(soak, found, played)
    print(f"left out, as their targets were taken: {left_out}")
    return EXIT_FOUND if found else 0


if __name__ == "__main__":
    sys.exit(main())
