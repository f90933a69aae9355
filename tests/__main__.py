"""Runs the tests: `python -m tests`; the tests of KNOWN-RED.txt are passed over.

Each line of KNOWN-RED.txt has a test's id, a cause and an issue, parted by " | ".
The tests named there are printed, not run, and don't decide the verdict. Tests run side
by side, but for those marked alone, which follow one by one. Tests of one xdist_group
run in one process, since they share an expensive fixture.
"""

import os
import sys
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split(" | ")[0] for line in lines if line.strip()]


def run(arguments: list[str]) -> bool | None:
    """Return whether the selected tests passed, None if there were none."""
    code = pytest.main(["-q", *arguments])
    return None if code == pytest.ExitCode.NO_TESTS_COLLECTED else code == 0


def main() -> int:
    """Run most tests side by side, then those that must be alone."""
    red = known_red()
    chosen = [*[f"--deselect={test}" for test in red], *sys.argv[1:]]
    workers = str(max(1, (os.cpu_count() or 1) // 2))
    verdicts = [
        run(["-m", "not alone", "-n", workers, "--dist", "loadgroup", *chosen]),
        run(["-m", "alone", *chosen]),
    ]
    for test in red:
        print(f"known red, passed over: {test}")
    ran = [verdict for verdict in verdicts if verdict is not None]
    return 0 if ran and all(ran) else 1


if __name__ == "__main__":
    sys.exit(main())
