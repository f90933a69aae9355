"""Random orders of events, whole and with one guard broken at a time."""

import pytest

from .mutations import LEASE_MUTATIONS
from .schedules import run_schedule

SEEDS = 250


@pytest.mark.parametrize("part", range(5))
def test_promises_hold_in_every_order(part):
    """
    Heartbeats and answers are delayed, crossed and lost, clocks run at unlike
    rates, processes freeze, wake and restart, and a deposed leader goes on for
    a while. After each step: no lease under a configuration replaced a lease
    ago, no lower version, one outcome for a change id, one owner acting.
    """
    for seed in range(part, SEEDS, 5):
        run_schedule(seed)


@pytest.mark.parametrize("mutation", LEASE_MUTATIONS, ids=lambda item: item.__name__)
def test_broken_guard_is_caught(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(SEEDS):
            run_schedule(seed)
