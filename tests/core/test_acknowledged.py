"""Tests of the positions that receivers have acknowledged."""

from bitterntiller.core.acknowledged import MAX_RECEIVERS, AcknowledgedPositions


def test_each_receiver_has_its_own_position():
    positions = AcknowledgedPositions()
    positions.record("a", 7)
    assert (positions.position("a"), positions.position("b")) == (7, 0)


def test_oldest_receiver_is_dropped_first():
    positions = AcknowledgedPositions()
    for number in range(MAX_RECEIVERS + 1):
        positions.record(f"host-{number}", 5)
    assert (positions.position("host-0"), positions.position("host-1")) == (0, 5)
