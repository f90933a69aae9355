"""The replicas keep their promises in random schedules, and only with all guards."""

import os

import pytest

from . import checker, explorer, mutations, profiles

SCHEDULES = int(os.environ.get("BITTERN_SCHEDULES", "12"))
"""Schedules of each profile; thousands are run by hand."""

SEARCHED = 120


@pytest.mark.parametrize("profile", profiles.PROFILES)
def test_promises_hold_in_random_schedules(profile):
    """Accepted changes vanish, or two leaders answer, after faults in bad order.

    Messages are lost, late and doubled; hosts crash around each sync, freeze, are
    cut off, lose their disk or get an old copy of it; the membership changes.
    """
    for seed in range(SCHEDULES):
        explorer.explore(seed, profile)


@pytest.mark.parametrize(
    "case", mutations.RANDOM_SEARCH_CASES, ids=lambda case: case.mutation.__name__
)
def test_a_broken_guard_is_found(case, monkeypatch):
    """Each guard is broken once; the checks must see a promise broken by it."""
    case.mutation(monkeypatch)
    for seed in range(case.seed, case.seed + SEARCHED):
        try:
            explorer.explore(seed, case.profile)
        except checker.StuckError:
            continue
        except checker.ViolationError:
            return
    pytest.fail("no schedule shows that the guard is missing")
