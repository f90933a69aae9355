"""What is kept of a test that failed."""

from pathlib import Path

import pytest

from tests import failed_tests
from tests.failed_tests import REPORT, keep_files

TEST = "tests/scenarios/test_scenarios.py::test_scenario[entry-killed]"


def test_report_and_files_of_a_failed_test_are_kept(tmp_path: Path) -> None:
    """A failed scenario's line and its hosts' logs were lost with its folder."""
    source = tmp_path / "test"
    (source / "data-a").mkdir(parents=True)
    (source / "a.log").write_bytes(b"started\n")
    kept = keep_files(source, TEST, "line 12 failed", tmp_path / "kept")
    assert kept.name.startswith("test_scenarios.py-test_scenario-entry-killed-")
    assert (kept / REPORT).read_text() == "line 12 failed"
    assert (kept / "a.log").read_bytes() == b"started\n"
    again = keep_files(source, TEST, "line 13 failed", tmp_path / "kept")
    assert again != kept


def test_end_of_a_long_log_is_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(failed_tests, "MAX_FILE_BYTES", 4)
    (tmp_path / "a.log").write_bytes(b"first last")
    kept = keep_files(tmp_path, TEST, "", tmp_path / "kept")
    assert (kept / "a.log").read_bytes() == b"last"
