"""Upstreams whose bytes never end, with real processes."""

import random
import sys
from pathlib import Path

import pytest

from tests.platform import endless_responses
from tests.platform.endless_responses import (
    EXIT_USAGE,
    NobodyServedError,
    main,
    play,
)
from tests.platform.endless_rows import ROWS, drawn_row

pytestmark = pytest.mark.xdist_group("loaded-fleets")
"""One of these fleets at a time."""

SECONDS = 3.0
ROW_BY_NAME = {row.name: row for row in ROWS}


@pytest.mark.parametrize("name", ["103, fast", "chunks, slow"])
def test_requests_end_in_time_while_upstreams_send_without_end(
    name: str, tmp_path: Path
) -> None:
    """Hosts stood still, and requests got no answer, no refusal and no close."""
    found = play(ROW_BY_NAME[name]._replace(seconds=SECONDS), tmp_path)
    assert found.missed == (), str(found)


def test_row_of_a_seed_is_drawn_again() -> None:
    first = [drawn_row(seed) for seed in range(50)]
    random.seed(1)
    assert [drawn_row(seed) for seed in range(50)] == first
    assert len({row.name for row in first}) == 50


def test_unknown_row_is_refused_with_the_known_ones(monkeypatch, capsys) -> None:
    monkeypatch.setattr(sys, "argv", ["endless_responses", "103, fast", "none"])
    assert main() == EXIT_USAGE
    error = capsys.readouterr().err
    assert "no such row: none;" in error
    assert "chunks, slow" in error


def test_row_that_served_nobody_is_an_error(monkeypatch, capsys) -> None:
    def refuse(*arguments):
        raise NobodyServedError("103, fast: nobody served")

    monkeypatch.setattr(sys, "argv", ["endless_responses", "103, fast"])
    monkeypatch.setattr(endless_responses, "play", refuse)
    assert main() == EXIT_USAGE
    assert "nobody served" in capsys.readouterr().err
