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

from tests.marks import marks_alone

TESTS = Path(__file__).resolve().parent
KNOWN_RED = TESTS.parent / "KNOWN-RED.txt"
ENDED = (
    pytest.ExitCode.TESTS_FAILED,
    pytest.ExitCode.OK,
    pytest.ExitCode.NO_TESTS_COLLECTED,
)
"""Exit codes of a part that ran to its end; the first of them decides."""


def known_red() -> list[str]:
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.split(" | ")[0] for line in lines if line.strip()]


def run(parts: list[list[str]]) -> int:
    """Run some parts of the tests, and return the exit code of all of them.

    A part may have no tests, as long as another one has some. An interrupt or an error
    of the test command ends the run.
    """
    codes = []
    for arguments in parts:
        codes.append(pytest.main(["-q", *arguments]))
        if codes[-1] not in ENDED:
            return int(codes[-1])
    return next(int(code) for code in ENDED if code in codes)


def files_of_alone() -> list[str]:
    """Return the files with tests marked alone; conftest.py refuses any other file."""
    return sorted(str(path) for path in TESTS.rglob("*.py") if marks_alone(path))


def main() -> int:
    """Run most tests side by side, then those that must be alone.

    Unless tests are chosen by arguments, the second part collects only the files that
    it needs, as the collection of all takes seconds.
    """
    red = known_red()
    chosen = [*[f"--deselect={test}" for test in red], *sys.argv[1:]]
    # Most tests wait more than they work, so one core is enough to spare.
    workers = str(max(1, (os.cpu_count() or 1) - 1))
    together = ["-m", "not alone", "-n", workers, "--dist", "loadgroup", *chosen]
    files = [] if sys.argv[1:] else files_of_alone()
    code = run([together, ["-m", "alone", *chosen, *files]])
    for test in red:
        print(f"known red, passed over: {test}")
    return code


if __name__ == "__main__":
    sys.exit(main())
