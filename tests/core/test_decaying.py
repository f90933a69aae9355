"""Tests of maxima over a sliding window."""

from bitterntiller.core.decaying import WindowedMaximum


def test_maximum_leaves_the_window_after_its_length():
    most = WindowedMaximum(10.0)
    assert most.add(5, 0.0) == 5
    assert most.add(9, 1.0) == 9
    assert most.add(3, 2.0) == 9
    assert most.add(4, 10.9) == 9
    assert most.add(1, 11.5) == 4
    assert most.add(1, 30.0) == 1
    assert most.maximum(50.0) == 0
