"""Safety in random schedules, and its loss when a guard is disabled."""

import os

import pytest

from . import checker, explorer, mutations, profiles

SCHEDULES = int(os.environ.get("BITTERN_SCHEDULES", "12"))
"""Schedules per profile; longer runs of thousands are started by hand."""

SEARCHED = 120


@pytest.mark.parametrize("profile", profiles.PROFILES)
def test_safety_holds_in_random_schedules(profile):
    """Accepted changes are lost, or a term has two leaders, after certain faults.

    Messages are lost, delayed and duplicated; hosts crash around each sync, freeze, are
    partitioned, lose their disk or get an older copy of it; the membership changes.
    """
    for seed in range(SCHEDULES):
        explorer.explore(seed, profile)


@pytest.mark.parametrize(
    "case", mutations.RANDOM_SEARCH_CASES, ids=lambda case: case.mutation.__name__
)
def test_a_disabled_guard_is_detected(case, monkeypatch):
    """The checker must detect a violation for each guard that is disabled."""
    case.mutation(monkeypatch)
    for seed in range(case.seed, case.seed + SEARCHED):
        try:
            explorer.explore(seed, case.profile)
        except checker.StuckError:
            continue
        except checker.ViolationError:
            return
    pytest.fail("no schedule shows that the guard is missing")
