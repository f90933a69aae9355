"""Sums and largest amounts of late."""

from bitterntiller.core.decaying import WindowedMaximum


def test_largest_amount_is_forgotten_after_its_span():
    most = WindowedMaximum(10.0)
    assert most.add(5, 0.0) == 5
    assert most.add(9, 1.0) == 9
    assert most.add(3, 2.0) == 9
    assert most.add(4, 10.9) == 9
    assert most.add(1, 11.5) == 4
    assert most.add(1, 30.0) == 1
    assert most.most(50.0) == 0
