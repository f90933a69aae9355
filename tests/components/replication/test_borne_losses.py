"""Control comes back after losses that are borne."""

import pytest

from . import cluster
from .borne_losses import TUNING, BorneLosses

SEEDS = range(40)


@pytest.mark.parametrize("seed", SEEDS)
def test_five_hosts_commit_again_after_two_losses(seed, monkeypatch):
    """Control never led again, or kept dead voters, after losses that it bears."""
    monkeypatch.setattr(cluster, "TUNING", TUNING)
    assert BorneLosses(seed).play() == ""
