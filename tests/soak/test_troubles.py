"""Which troubles a soak leaves out."""

from soak.troubles import CATCH_UP_SECONDS, Disks


def test_no_more_disks_are_lost_than_the_deployment_bears():
    """A soak took a third disk of five while two were empty, and nothing came back."""
    disks = Disks(2)
    assert disks.lose(["a"], until=11.0, now=10.0) == ("a",)
    assert disks.lose(["b", "c"], until=12.0, now=11.0) == ("b",)
    assert disks.lose(["c"], until=13.0, now=12.0) == ()
    assert disks.lose(["a"], until=14.0, now=13.0) == ("a",)
    caught_up = 12.0 + CATCH_UP_SECONDS
    assert disks.lose(["c"], until=caught_up, now=caught_up) == ("c",)
    assert disks.lose(["b"], until=caught_up, now=caught_up) == ()
