"""Entry hosts that lose their paths to all engines, with real processes."""

import pytest

from tests.platform.cut_off import run_row
from tests.scenarios.cut_paths import (
    RESET,
    SILENT,
    SWALLOW_REQUEST,
    SWALLOW_RESPONSE,
)

pytestmark = pytest.mark.alone

MIN_SHARE_OF_OTHERS = 0.95
MAX_LOSS_OF_OTHERS = 0.02
MAX_EXTRA_P50 = 0.030
MIN_CALLS = 20


@pytest.mark.parametrize(
    "mode, count",
    [(SILENT, 5), (RESET, 4), (SWALLOW_REQUEST, 4), (SWALLOW_RESPONSE, 4)],
)
def test_callers_of_hosts_without_paths_to_engines_are_served(tmp_path, mode, count):
    """Callers of a host got 503 while other hosts reached every engine."""
    row = run_row(tmp_path, mode, count)
    assert min(row.cut.calls, row.others.calls) >= MIN_CALLS
    assert row.others.share >= row.before.share - MAX_LOSS_OF_OTHERS
    assert row.cut.share >= MIN_SHARE_OF_OTHERS * row.others.share
    assert row.cut.p50 <= row.others.p50 + MAX_EXTRA_P50
    assert row.cut_after.share >= row.before.share - MAX_LOSS_OF_OTHERS
    assert row.repeated_wrongly == 0
