"""Tests of rollouts with real processes of the platform."""

import time
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.platform.processes import CONTROL_IPS, SERVICE, Fleet

SECONDS = 6
FRACTION, TOLERANCE = 0.1, 50
APPLY_SECONDS = 2.5
"""Seconds after which entry hosts keep to a verdict, as to a configuration."""

ROLLBACK_SECONDS = 5.0
BAD_RESPONSES = 50
PATH = f"/-/rollouts/{SERVICE}"
ORDER = {"service": SERVICE, "to": "v2", "duration_s": SECONDS}


def state(fleet: Fleet) -> str:
    status, found = fleet.order("GET", PATH)
    return found["state"] if status == 200 else ""


class Played(NamedTuple):
    """When a rollout was ordered and when its verdict was seen, on the test's clock.

    runs are the times of the requests that reached the new version.
    """

    ordered: float
    judged: float
    runs: list[float]


def play(fleet: Fleet, fails: float) -> Played:
    """Run a rollout under load, while a control host is killed and restarted."""
    old = [fleet.engine(f"old{number}", number, "v1") for number in (1, 2, 3)]
    fleet.call(6)
    fleet.until(lambda: all(engine.runs for engine in old))
    assert fleet.order("GET", PATH)[0] == 404
    ordered = time.monotonic()
    assert fleet.order("POST", "/-/rollouts", ORDER)[0] == 200
    assert fleet.order("POST", "/-/rollouts", ORDER)[0] == 200
    new = [
        fleet.engine(f"new{number}", 10 + number, "v2", fails) for number in (1, 2, 3)
    ]
    time.sleep(2.0)
    process = fleet.process_by_ip[CONTROL_IPS[0]]
    process.kill()
    process.start()
    fleet.until(lambda: state(fleet) not in ("serving", ""))
    judged = time.monotonic()
    if state(fleet) == "complete":
        for engine in old:
            engine.close()
    until = max(ordered + SECONDS, judged + APPLY_SECONDS) + 1.0
    time.sleep(max(0.0, until - time.monotonic()))
    runs = sorted(run for engine in new for run in engine.runs)
    return Played(ordered, judged, runs)


@pytest.mark.alone
def test_good_version_is_completed_after_its_duration(tmp_path: Path):
    with Fleet(tmp_path) as fleet:
        ordered, _, runs = play(fleet, 0.0)
        assert state(fleet) == "complete"
        assert runs[-1] > ordered + SECONDS
        statuses = [status for at, status in fleet.calls if at > ordered]
        assert statuses.count(200) >= 0.9 * len(statuses)


@pytest.mark.xdist_group("loaded-fleets")
def test_bad_version_is_reverted_within_its_limits(tmp_path: Path):
    """A bad version must not exceed its fraction or keep getting requests."""
    with Fleet(tmp_path) as fleet:
        ordered, judged, runs = play(fleet, 0.6)
        assert state(fleet) == "reverted"
        reached = sum(ordered <= at <= ordered + SECONDS for at, _ in fleet.calls)
        assert len(runs) <= FRACTION * reached + TOLERANCE
        assert runs[-1] - judged <= APPLY_SECONDS
        if len(runs) >= BAD_RESPONSES:
            assert runs[-1] - runs[BAD_RESPONSES - 1] <= ROLLBACK_SECONDS
