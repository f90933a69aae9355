"""Random losses of hosts while streams begin and are taken up."""

import pytest

from tests.components.stream_versions.random_run import run

STREAMS = 1500


@pytest.mark.parametrize("seed", range(5401, 5405))
def test_no_stream_changes_its_version(seed):
    """A stream went on at another version after some sequence of losses."""
    made = run(seed, STREAMS)
    assert made.mixed == []
    assert made.counts["taken up"] > STREAMS / 4
    assert made.counts["holder"] > 0
