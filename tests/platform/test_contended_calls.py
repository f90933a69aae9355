"""Plain services of uneven speed, with real processes."""

from pathlib import Path

import pytest

from tests.platform.contended_calls import MIN_FRACTION, play
from tests.platform.contended_services import CONTENDED, SLOTS, UNEQUAL

pytestmark = pytest.mark.xdist_group("loaded-fleets")
"""One of these fleets at a time."""


@pytest.mark.parametrize("case", [CONTENDED, UNEQUAL])
def test_calls_end_within_the_objective(case, tmp_path: Path) -> None:
    """Slow services were filled, and calls were granted too late to end in time."""
    found = play(case, tmp_path, uneven=True)
    assert found.all >= MIN_FRACTION
    assert found.repeated == 0
    assert max(found.most_in_flight) <= SLOTS
    assert min(found.calls_by_service) > 0
