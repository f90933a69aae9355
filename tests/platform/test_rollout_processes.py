"""Tests of rollouts with real processes of the platform."""

import time
from pathlib import Path

import pytest

from tests.platform.processes import CONTROL_IPS, SERVICE, Fleet

SECONDS = 6
FRACTION, TOLERANCE = 0.1, 50
ROLLBACK_SECONDS = 5.0
BAD_RESPONSES = 50
PATH = f"/-/rollouts/{SERVICE}"
ORDER = {"service": SERVICE, "to": "v2", "duration_s": SECONDS}


def state(fleet: Fleet) -> str:
    status, found = fleet.order("GET", PATH)
    return found["state"] if status == 200 else ""


def play(fleet: Fleet, fails: float) -> tuple[float, list[float]]:
    """Run a rollout under load; return its start and the runs of the new version.

    A control host is killed and restarted meanwhile.
    """
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
    if state(fleet) == "complete":
        for engine in old:
            engine.close()
    time.sleep(max(0.0, ordered + SECONDS + 1.0 - time.monotonic()))
    return ordered, sorted(run for engine in new for run in engine.runs)


@pytest.mark.alone
def test_good_version_is_completed_after_its_duration(tmp_path: Path):
    with Fleet(tmp_path) as fleet:
        ordered, runs = play(fleet, 0.0)
        assert state(fleet) == "complete"
        assert runs[-1] > ordered + SECONDS
        statuses = [status for at, status in fleet.calls if at > ordered]
        assert statuses.count(200) >= 0.9 * len(statuses)


@pytest.mark.xdist_group("loaded-fleets")
def test_bad_version_is_reverted_within_its_limits(tmp_path: Path):
    """A bad version must not exceed its fraction or keep getting requests."""
    with Fleet(tmp_path) as fleet:
        ordered, runs = play(fleet, 0.6)
        assert state(fleet) == "reverted"
        reached = sum(ordered <= at <= ordered + SECONDS for at, _ in fleet.calls)
        assert len(runs) <= FRACTION * reached + TOLERANCE
        bad = [run for run in runs if run <= ordered + SECONDS]
        later = runs[-1] - bad[min(BAD_RESPONSES, len(bad)) - 1]
        assert later <= ROLLBACK_SECONDS
