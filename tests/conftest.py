"""What all tests share: hypothesis' examples, bytecode, order and failures' files."""

import compileall
import os
from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings
from xdist.scheduler import LoadGroupScheduling

from tests.failed_tests import keep_files
from tests.marks import ALONE, GROUP, group_in, marks_alone

# The same examples in each run, so that a run's verdict does not hang on chance;
# HYPOTHESIS_PROFILE=explore looks for new ones.
settings.register_profile("ci", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", deadline=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("bitterntiller", "platform", "soak", "standins", "tests")
"""Folders of what the processes of tests import."""

LONGEST_FIRST = (
    "tests/bench/test_queue_sizes.py",
    "tests/components/entry/test_quota_sizes.py",
    "tests/platform/test_stream_versions.py",
    "tests/scenarios/",
    "tests/platform/",
)
"""Beginnings of the ids of tests that take seconds, those that take longest first."""


def pytest_sessionstart(session: pytest.Session) -> None:
    """Compile the sources once, where each process would compile them anew."""
    if hasattr(session.config, "workerinput"):
        return
    for folder in SOURCES:
        compileall.compile_dir(ROOT / folder, quiet=2)


def place(item: pytest.Item) -> int:
    """Return the place of a test in LONGEST_FIRST, that of the others last."""
    places = (
        n for n, start in enumerate(LONGEST_FIRST) if item.nodeid.startswith(start)
    )
    return next(places, len(LONGEST_FIRST))


def check_marks(items: list[pytest.Item]) -> None:
    """Refuse a test that would run in no part of the test command, or in no group."""
    for item in items:
        if item.get_closest_marker(ALONE) and not marks_alone(item.path):
            raise pytest.UsageError(f"{item.nodeid}: {ALONE}, but not in its file")
        group = item.get_closest_marker(GROUP)
        if group and group.args != (group_in(item.path),):
            raise pytest.UsageError(f"{item.nodeid}: its file is in another group")


class GroupScheduling(LoadGroupScheduling):
    """Hands all tests of a group to one process.

    The group of a test can't be read from its id: pytest forms the id itself, without
    the suffix that pytest-xdist adds.
    """

    def _split_scope(self, nodeid: str) -> str:
        path = self.config.rootpath / nodeid.partition("::")[0]
        return group_in(path) or nodeid


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(
    config: pytest.Config, log: Any
) -> GroupScheduling | None:
    """Choose what hands out the tests to the processes."""
    grouped = config.getvalue("dist") == "loadgroup"
    return GroupScheduling(config, log) if grouped else None


@pytest.hookimpl(wrapper=True)
def pytest_collection_modifyitems(
    items: list[pytest.Item],
) -> Generator[None, None, None]:
    """Begin with the longest tests, so that none of them is left for the end.

    Within a place the order stays as it was drawn. Marks are checked before the
    choice of a part takes tests away.
    """
    check_marks(items)
    yield
    items.sort(key=place)


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
