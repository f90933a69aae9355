"""Random schedules of events, with and without a disabled safety check."""

import pytest

from .mutations import LEASE_MUTATIONS
from .schedules import run_schedule

SEEDS = 250


@pytest.mark.parametrize("part", range(5))
def test_invariants_hold_in_every_schedule(part):
    """
    Heartbeats and replies are delayed, reordered and lost, clocks drift, processes
    freeze, resume and restart, and a deposed leader continues for a while. Invariants
    after each step: no lease under a configuration that was replaced more than a lease
    ago, no lower version, one outcome per change id, one acting owner per pool.
    """
    for seed in range(part, SEEDS, 5):
        run_schedule(seed)


@pytest.mark.parametrize("mutation", LEASE_MUTATIONS, ids=lambda item: item.__name__)
def test_mutation_is_detected(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(SEEDS):
            run_schedule(seed)
