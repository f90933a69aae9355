"""Tests of the canary analysis."""

import pytest

from bitterntiller.components.rollouts.canary_analysis import (
    Proportion,
    find_strongest,
    revert_threshold,
    weigh_by_likelihood_ratio,
    weigh_by_mixture,
)
from bitterntiller.components.rollouts.models import Cell, Counts
from tests.components.rollouts.builders import evidence

OLD = Counts(answered=60, failed=1, firsts=60, slow_firsts=5, totals=60, slow_totals=5)
SOUND = Counts(answered=4, firsts=4, totals=4)


def weight(counts_by_cell) -> float:
    found = find_strongest(counts_by_cell)
    return 0.0 if found is None else found.weight


def is_bad(counts_by_cell) -> bool:
    return weight(counts_by_cell) >= revert_threshold()


def test_sound_version_is_not_found_bad():
    assert not is_bad(evidence(SOUND, OLD))


def test_no_evidence_without_responses_of_the_candidate_version():
    assert find_strongest(evidence(SOUND, OLD, upstreams=0)) is None


@pytest.mark.parametrize(
    "bad",
    [
        SOUND._replace(failed=2),
        SOUND._replace(slow_firsts=4),
        SOUND._replace(slow_totals=4),
    ],
    ids=["failures", "slow first outputs", "slow answers"],
)
def test_fault_of_a_version_is_found(bad):
    """A version that fails or is slow on all its upstreams is not reverted."""
    found = find_strongest(evidence(bad, OLD))
    assert found is not None
    assert found.weight >= revert_threshold()
    assert "all routes" in found.describe()


def test_fault_on_one_route_is_found():
    """A version that fails on one route is masked by sound results on the others."""
    sound = evidence(SOUND._replace(answered=16), OLD, route="report")
    bad = evidence(SOUND._replace(answered=2, failed=1), OLD, route="tag")
    found = find_strongest(sound | bad)
    assert found is not None
    assert found.weight >= revert_threshold()
    assert found.route == "tag"


def test_route_that_fails_on_both_versions_is_not_evidence():
    """A route on which some requests always fail reverts every version."""
    old = OLD._replace(failed=20)
    assert not is_bad(evidence(SOUND._replace(failed=1), old))


def test_fault_of_one_machine_is_not_evidence():
    """A machine that fails during a rollout causes a sound version to be reverted."""
    counts_by_cell = evidence(SOUND, OLD)
    for cell in counts_by_cell:
        if cell.upstream == "n0":
            counts_by_cell[cell] = SOUND._replace(failed=4)
    assert not is_bad(counts_by_cell)


def test_slow_machines_are_not_evidence():
    """Two of four upstreams on slow machines cause a sound version to be reverted."""
    counts_by_cell = evidence(SOUND, OLD)
    for cell in counts_by_cell:
        if cell.upstream in ("n0", "n1"):
            counts_by_cell[cell] = SOUND._replace(slow_firsts=4, slow_totals=4)
    assert not is_bad(counts_by_cell)


def test_version_that_turns_bad_is_found_after_good_responses():
    """A version that degrades later is masked by its earlier good responses."""
    counts_by_cell = evidence(SOUND._replace(answered=40), OLD, seconds=30)
    for number in range(4):
        for second in (30, 31):
            counts_by_cell[Cell(second, "r", f"n{number}")] = Counts(3, 2)
    assert is_bad(counts_by_cell)


@pytest.mark.parametrize("weigh", [weigh_by_likelihood_ratio, weigh_by_mixture])
def test_weight_increases_with_the_rate(weigh):
    weights = [weigh(Proportion(hits, 20), 0.05) for hits in range(2, 20)]
    assert weights == sorted(weights)
    assert weigh(Proportion(1, 20), 0.05) < 1.0
