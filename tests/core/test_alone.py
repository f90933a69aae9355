"""Tests of what finds the tests that must run alone."""

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from tests.alone import marks_alone
from tests.conftest import check_marks

SHOWN = "@pytest.mark.alone\ndef test_times(): ...\n"
HIDDEN = "@SLOW\ndef test_times(): ...\n"


def item_in(path: Path, mark: str | None) -> Any:
    """Return a test of a file, which has a mark."""
    return SimpleNamespace(
        path=path, nodeid="times", get_closest_marker=lambda name: name == mark
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
    check_marks([item_in(shown, "alone"), item_in(hidden, None)])
    with pytest.raises(pytest.UsageError, match="times"):
        check_marks([item_in(hidden, "alone")])
