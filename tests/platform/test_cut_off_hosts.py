"""Entry hosts that lose their paths to all engines, with real processes."""

from pathlib import Path

import pytest

from tests.platform.cut_off import ENGINES, ENTRY_IPS, Row, run_cuts, run_row
from tests.scenarios.cut_paths import (
    FOREIGN_ANSWER,
    RESET,
    SILENT,
    SILENT_LARGE,
    SILENT_REQUEST,
    SWALLOW_REQUEST,
    SWALLOW_RESPONSE,
    TRUNCATE,
)

pytestmark = pytest.mark.alone

MIN_SHARE_OF_OTHERS = 0.95
MAX_LOSS_OF_OTHERS = 0.02
MAX_EXTRA_P50 = 0.030
MIN_CALLS = 20


def check(row: Row) -> None:
    """Check that callers of all hosts were served while some were cut off."""
    assert min(row.cut.calls, row.others.calls) >= MIN_CALLS
    assert row.others.share >= row.before.share - MAX_LOSS_OF_OTHERS
    assert row.cut.share >= MIN_SHARE_OF_OTHERS * row.others.share
    assert row.cut.p50 <= row.others.p50 + MAX_EXTRA_P50
    assert row.cut_after.share >= row.before.share - MAX_LOSS_OF_OTHERS
    assert row.repeated_wrongly == 0


@pytest.mark.parametrize(
    "mode, count",
    [(SILENT, 5), (RESET, 4), (SWALLOW_REQUEST, 4), (SWALLOW_RESPONSE, 4)],
)
def test_callers_of_hosts_without_paths_to_engines_are_served(
    tmp_path: Path, mode: str, count: int
) -> None:
    """Callers of a host got 503 while other hosts reached every engine."""
    check(run_row(tmp_path, mode, count))


def test_callers_of_hosts_whose_paths_lose_in_different_ways_are_served(
    tmp_path: Path,
) -> None:
    """Each request was lost on a path on which connections open."""
    modes = (SILENT_REQUEST, SILENT_LARGE, TRUNCATE, FOREIGN_ANSWER)
    row = run_cuts(tmp_path, dict(zip(ENTRY_IPS, modes, strict=False)))
    check(row)
    assert row.cut_repeatable.share >= MIN_SHARE_OF_OTHERS * row.others.share
    assert row.cut_lost <= ENGINES
