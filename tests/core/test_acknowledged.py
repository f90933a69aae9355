"""How far listeners have been told a series."""

from bitterntiller.core.acknowledged import MOST_RECEIVERS, AcknowledgedPositions


def test_each_listener_has_its_own_mark():
    marks = AcknowledgedPositions()
    marks.note("a", 7)
    assert (marks.upto("a"), marks.upto("b")) == (7, 0)


def test_oldest_listener_is_forgotten_first():
    marks = AcknowledgedPositions()
    for number in range(MOST_RECEIVERS + 1):
        marks.note(f"host-{number}", 5)
    assert (marks.upto("host-0"), marks.upto("host-1")) == (0, 5)
