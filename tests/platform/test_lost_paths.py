"""Control hosts and their callers while hosts lose their paths, with real processes."""

import time
from pathlib import Path

import pytest

from tests.platform.lost_path_fleet import (
    CONTACT_WINDOW,
    ROWS,
    LostPathFleet,
    configuration,
    run_row,
)
from tests.platform.processes import SUBNET, ask

OK = 200
CALL_SECONDS = 1.0
SECONDS_AFTER = 6.0
DEAD_SEEDS = tuple(f"{SUBNET}.{number}" for number in (200, 201, 202))


@pytest.mark.parametrize("swallow", [False, True])
def test_control_host_that_restarts_without_a_live_seed_serves_operators(
    tmp_path: Path, swallow: bool
) -> None:
    """It answered 503 or nothing for good, though its replica followed the leader."""
    with LostPathFleet(tmp_path) as fleet:
        if swallow:
            fleet.lose(DEAD_SEEDS, 60.0)
        ip = next(ip for ip in fleet.control_ips if ip != fleet.leader())
        fleet.restart_with_seeds(ip, DEAD_SEEDS)
        time.sleep(CONTACT_WINDOW)
        path = "/-/config"
        assert ask(ip, "GET", path, timeout=CALL_SECONDS)[0] == OK
        body = configuration(2)
        assert ask(ip, "PUT", path, body, timeout=CALL_SECONDS)[0] == OK


def test_control_serves_after_a_loss_of_power_that_leaves_no_live_seed(
    tmp_path: Path,
) -> None:
    """No host of control served, though they had elected a leader."""
    with LostPathFleet(tmp_path) as fleet:
        fleet.until(fleet.all_vote)
        fleet.seeds = DEAD_SEEDS
        fleet.restart_all()
        time.sleep(2 * CONTACT_WINDOW)
        for ip in fleet.control_ips:
            assert ask(ip, "GET", "/-/config", timeout=CALL_SECONDS)[0] == OK


@pytest.mark.alone
@pytest.mark.parametrize("name", ["leader-inwards", "all-silent"])
def test_control_hosts_serve_again_within_the_contact_window_of_a_loss(
    tmp_path: Path, name: str
) -> None:
    """Connections that stay silent after a cut must not keep operators waiting."""
    with LostPathFleet(tmp_path) as fleet:
        row = run_row(fleet, ROWS[name], SECONDS_AFTER)
    assert row.late == []
    served = {(call.ip, call.method) for call in row.calls.calls if call.status == OK}
    assert len(served) == 2 * len(fleet.control_ips)
