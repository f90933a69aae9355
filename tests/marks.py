"""Marks that say where a test runs, read from the text of its file.

The process that hands out the tests doesn't collect them, and knows only their ids.
"""

import re
from pathlib import Path

ALONE = "alone"
GROUP = "xdist_group"
_MARK = r"^(?:pytestmark = |@)pytest\.mark\."
_ALONE_TEXT = re.compile(rf"{_MARK}{ALONE}$", re.MULTILINE)
_GROUP_TEXT = re.compile(rf'{_MARK}{GROUP}\("([^"]+)"\)$', re.MULTILINE)


def marks_alone(path: Path) -> bool:
    """Return whether a file of tests marks some of them alone, in plain text."""
    if not path.name.startswith("test_"):
        return False
    return _ALONE_TEXT.search(path.read_text()) is not None


def group_in(path: Path) -> str | None:
    """Return the group of all tests of a file that run side by side with others."""
    found = _GROUP_TEXT.search(path.read_text())
    return found and found[1]
