"""Tests of the marks that say where a test runs."""

import os
import subprocess
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from tests.conftest import check_marks
from tests.marks import group_in, marks_alone

SHOWN = "@pytest.mark.alone\ndef test_times(): ...\n"
HIDDEN = "@SLOW\ndef test_times(): ...\n"


GROUPED = 'pytestmark = pytest.mark.xdist_group("fleets")\n'

NOTED = f"""import os
import pytest

{GROUPED}

@pytest.mark.parametrize("number", range(12))
def test_note(number):
    with open("processes", "a") as file:
        print(os.environ["PYTEST_XDIST_WORKER"], file=file)
"""


def item_in(path: Path, *marks: pytest.Mark) -> Any:
    """Return a test of a file, which has some marks."""
    mark_by_name = {mark.name: mark for mark in marks}
    return SimpleNamespace(
        path=path, nodeid="times", get_closest_marker=mark_by_name.get
    )


@pytest.mark.parametrize(
    ("name", "text", "found"),
    [
        ("test_times.py", SHOWN, True),
        ("test_times.py", HIDDEN, False),
        ("times.py", SHOWN, False),
    ],
)
def test_file_with_a_test_that_runs_alone_is_found(tmp_path, name, text, found):
    (tmp_path / name).write_text(text)
    assert marks_alone(tmp_path / name) is found


def test_test_that_would_run_in_no_part_is_an_error(tmp_path):
    """A mark under another name takes a test out of both parts of the command."""
    shown, hidden = tmp_path / "test_shown.py", tmp_path / "test_hidden.py"
    shown.write_text(SHOWN)
    hidden.write_text(HIDDEN)
    check_marks([item_in(shown, pytest.mark.alone.mark), item_in(hidden)])
    with pytest.raises(pytest.UsageError, match="times"):
        check_marks([item_in(hidden, pytest.mark.alone.mark)])


def test_group_is_that_of_the_file(tmp_path):
    grouped, free = tmp_path / "test_grouped.py", tmp_path / "test_free.py"
    grouped.write_text(GROUPED)
    free.write_text(HIDDEN)
    assert (group_in(grouped), group_in(free)) == ("fleets", None)
    mark = pytest.mark.xdist_group("fleets").mark
    check_marks([item_in(grouped, mark), item_in(free)])
    for path, found in ((free, mark), (grouped, pytest.mark.xdist_group("b").mark)):
        with pytest.raises(pytest.UsageError, match="times"):
            check_marks([item_in(path, found)])


def test_tests_of_a_group_run_in_one_process(tmp_path):
    """Tests of one group ran in several processes, and several large fleets at once."""
    (tmp_path / "test_noted.py").write_text(NOTED)
    command = "-p tests.conftest -n 2 --dist loadgroup -p no:cacheprovider".split()
    root = Path(__file__).resolve().parents[2]
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *command, f"--rootdir={tmp_path}"],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": str(root)},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 0, done.stdout
    processes = (tmp_path / "processes").read_text().split()
    assert len(processes) == 12
    assert len(set(processes)) == 1
