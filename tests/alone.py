"""Tests that must run alone, and the files that have them."""

from pathlib import Path

MARK = "alone"
_TEXT = f"pytest.mark.{MARK}"


def marks_alone(path: Path) -> bool:
    """Return whether a file of tests marks some of them alone, in plain text."""
    return path.name.startswith("test_") and _TEXT in path.read_text()
