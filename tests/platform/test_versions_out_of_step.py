"""Streams at hosts that are behind as versions change, with real processes."""

from pathlib import Path

import pytest

from tests.platform.versions_out_of_step import (
    LateEngine,
    OutOfStepFleet,
    Row,
    cut_off,
    in_step,
    play,
    restarted,
    standing_still,
)
from tests.scenarios.cut_paths import RESET, SILENT

pytestmark = pytest.mark.xdist_group("loaded-fleets")
"""One of these fleets at a time."""

ROWS = (
    Row("joined-beside-a-frozen-host", standing_still, 1.0, False),
    Row("joined-beside-a-host-cut-off", cut_off(SILENT), 3.0, False),
    Row("joined-beside-a-restarted-host", restarted, 0.2, False),
    Row("again-and-announced-late", in_step, 1.5, True, LateEngine),
    Row("again-within-responses", in_step, 1.5, True, LateEngine, False),
    Row("again-beside-a-frozen-host", standing_still, 2.0, True),
    Row("again-beside-a-host-cut-off", cut_off(RESET), 3.0, True, LateEngine),
)


@pytest.mark.parametrize("row", ROWS, ids=[row.name for row in ROWS])
def test_stream_taken_up_at_a_host_out_of_step_has_events_of_one_version(
    row: Row, tmp_path: Path
):
    """A version was taken from the name of an engine that had started again."""
    with OutOfStepFleet(tmp_path) as fleet:
        streams = play(fleet, row)
    assert len(streams) >= 12
    assert [stream for stream in streams if len(stream.versions) > 1] == []
    assert all(stream.whole for stream in streams)
    went_on = sum(bool(stream.takes[-1].events) for stream in streams)
    assert went_on >= len(streams) / 2
