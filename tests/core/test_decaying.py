"""Sums and largest amounts of late."""

from bitterntiller.core.decaying import WindowedMaximum


def test_largest_amount_is_forgotten_after_its_span():
    window = WindowedMaximum(10.0)
    assert window.add(5, 0.0) == 5
    assert window.add(9, 1.0) == 9
    assert window.add(3, 2.0) == 9
    assert window.add(4, 10.9) == 9
    assert window.add(1, 11.5) == 4
    assert window.add(1, 30.0) == 1
    assert window.maximum(50.0) == 0
