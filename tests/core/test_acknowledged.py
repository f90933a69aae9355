"""How far listeners have been told a series."""

from bitterntiller.core.acknowledged import MAX_RECEIVERS, AcknowledgedPositions


def test_each_listener_has_its_own_mark():
    positions = AcknowledgedPositions()
    positions.record("a", 7)
    assert (positions.position("a"), positions.position("b")) == (7, 0)


def test_oldest_listener_is_forgotten_first():
    positions = AcknowledgedPositions()
    for number in range(MAX_RECEIVERS + 1):
        positions.record(f"host-{number}", 5)
    assert (positions.position("host-0"), positions.position("host-1")) == (0, 5)
