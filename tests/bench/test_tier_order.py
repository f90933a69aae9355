"""Kinds of higher tiers are served at least as often as those of lower tiers."""

from concurrent.futures import ProcessPoolExecutor
from itertools import combinations
from statistics import mean

import pytest

from bench.routed.sheets import load_sheets
from bench.routed.simulation import simulate

SEEDS = range(201, 205)
CELLS = (
    ("bond-desk", "long-overload"),
    ("bond-desk", "hot-workspace"),
    ("tree-canopy", "long-overload"),
    ("run-reviews", "long-overload"),
)
SERVED_TOLERANCE = 0.05
WORTH_TOLERANCE = 0.15
"""By how much a kind may be served less often, or earn less of its worth, than a less
urgent one of the same service before users count it as a fault."""


@pytest.mark.timeout(300)
@pytest.mark.parametrize("cell", CELLS, ids="-".join)
def test_no_kind_is_served_less_often_than_one_of_a_lower_tier(cell):
    """Guards against overloads in which a middle tier loses what a lower one gets."""
    with ProcessPoolExecutor(2) as pool:
        futures = [pool.submit(simulate, *cell, seed, {}) for seed in SEEDS]
        scores = [item.result() for item in futures]
    kinds = sorted(load_sheets()[cell[0]].kinds, key=lambda kind: kind.rank)
    for upper, lower in combinations([kind.name for kind in kinds], 2):
        served = [mean(s.sizes[kind][1] for s in scores) for kind in (upper, lower)]
        worth = [mean(s.worth_by_kind[kind] for s in scores) for kind in (upper, lower)]
        assert served[0] >= served[1] - SERVED_TOLERANCE, (upper, lower)
        assert worth[0] >= worth[1] - WORTH_TOLERANCE, (upper, lower)
