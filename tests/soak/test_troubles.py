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


def test_disk_counts_as_lost_while_other_hosts_are_disturbed():
    """A third disk of five was lost before the first two could catch up."""
    disks = Disks(2)
    assert disks.lose(["a", "b"], until=11.0, now=10.0) == ("a", "b")
    disks.extend(began=12.0, ended=14.0)
    later = 11.0 + CATCH_UP_SECONDS
    assert disks.lose(["c"], until=later, now=later) == ()
    caught_up = 14.0 + CATCH_UP_SECONDS
    disks.extend(began=caught_up, ended=caught_up + 1)
    assert disks.lose(["c"], until=caught_up, now=caught_up) == ("c",)
