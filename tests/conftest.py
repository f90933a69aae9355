"""What all tests share: hypothesis' examples, marks, and failures' files."""

import compileall
import os
from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

from tests.alone import MARK, marks_alone
from tests.failed_tests import keep_files

# The same examples in each run, so that a run's verdict does not hang on chance;
# HYPOTHESIS_PROFILE=explore looks for new ones.
settings.register_profile("ci", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("bitterntiller", "platform", "soak", "standins", "tests")
"""Folders of what the processes of tests import."""


def pytest_sessionstart(session: pytest.Session) -> None:
    """Compile the sources once, where each process would compile them anew."""
    if hasattr(session.config, "workerinput"):
        return
    for folder in SOURCES:
        compileall.compile_dir(ROOT / folder, quiet=2)


def check_marks(items: list[pytest.Item]) -> None:
    """Refuse a test that would run in no part of the test command."""
    alone = (item for item in items if item.get_closest_marker(MARK))
    hidden = [item.nodeid for item in alone if not marks_alone(item.path)]
    if hidden:
        raise pytest.UsageError(f"marked {MARK}, but not in its file: {hidden}")


@pytest.hookimpl(wrapper=True)
def pytest_collection_modifyitems(
    items: list[pytest.Item],
) -> Generator[None, None, None]:
    """Check marks before the choice of a part takes tests away."""
    check_marks(items)
    yield


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Keep the files of a failed test that has a folder of its own."""
    report = yield
    folder: Any = getattr(item, "funcargs", {}).get("tmp_path")
    if report.when == "call" and report.failed and folder is not None:
        kept = keep_files(folder, item.nodeid, report.longreprtext)
        report.sections.append(("kept files", str(kept)))
    return report
