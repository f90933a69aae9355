"""Engines that are silent for a moment, with real processes."""

import sys
from pathlib import Path

import pytest

from tests.platform import silent_engines
from tests.platform.silent_engines import EXIT_USAGE, Row, change, main, play

pytestmark = pytest.mark.xdist_group("loaded-fleets")
"""One of these fleets at a time."""

MIN_SHARE_SERVED = 0.3
SECONDS_AFTER = 0.0


def test_answers_are_not_cut_while_their_engines_are_silent(tmp_path: Path) -> None:
    """Streams were cut, and calls got 502, though their engines went on at once."""
    row = Row("all, changes", change, rounds=1)
    found = play(row, tmp_path, SECONDS_AFTER)
    assert found.before >= MIN_SHARE_SERVED
    assert (found.cut, found.bad_gateway, found.repeated) == (0, 0, 0)
    assert found.unlogged == 0


def test_unknown_row_is_refused_with_the_known_ones(monkeypatch, capsys) -> None:
    monkeypatch.setattr(sys, "argv", ["silent_engines", "all, changes", "none"])
    assert main() == EXIT_USAGE
    error = capsys.readouterr().err
    assert "no such row: none;" in error
    assert "all, a burst" in error


def test_row_that_served_nobody_is_an_error(monkeypatch, capsys) -> None:
    def refuse(*arguments):
        raise silent_engines.NobodyServedError("all: nobody served")

    monkeypatch.setattr(sys, "argv", ["silent_engines", "all"])
    monkeypatch.setattr(silent_engines, "play", refuse)
    assert main() == EXIT_USAGE
    assert "nobody served" in capsys.readouterr().err
