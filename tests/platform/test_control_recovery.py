"""What control hosts, as real processes, confirm and still hold after failures."""

import json
import time
from contextlib import ExitStack

import pytest

from tests.platform.builders import document
from tests.platform.processes import CONTROL_IPS, SUBNET, Fleet, ask

CONTROL_HOSTS = (*CONTROL_IPS, f"{SUBNET}.4", f"{SUBNET}.5")
NESTED_LEVELS = 977
SECONDS_BETWEEN_STARTS = 1.67
PADDING = "p" * 17_000
"""With it a configuration is validated in a thread, whose stack is short."""


def nested_document(levels: int) -> bytes:
    """Return a configuration with a field of objects within objects."""
    value = '{"a":' * levels + "1" + "}" * levels
    text = json.dumps(document(version=8, more_notes=PADDING))
    return (text[:-1] + f', "notes": {value}' + "}").encode()


def read_version(fleet: Fleet) -> int | None:
    """Return the version of the configuration that a control host returns."""
    status, found = fleet.order("GET", "/-/config")
    return found["version"] if status == 200 else None


@pytest.mark.xdist_group("control-recovery")
def test_deeply_nested_configuration_does_not_end_the_control_hosts(tmp_path):
    """Applying the committed entry exceeded the recursion limit on each host."""
    with Fleet(tmp_path, CONTROL_HOSTS, (), document(version=7)) as fleet:
        changed = nested_document(NESTED_LEVELS)
        assert ask(CONTROL_HOSTS[0], "PUT", "/-/config", changed)[0] == 400
        assert read_version(fleet) == 7
        ended = [p.exit_code() for p in fleet.process_by_ip.values()]
        assert ended == [None] * len(CONTROL_HOSTS)


@pytest.mark.xdist_group("control-recovery")
def test_first_configuration_of_version_zero_is_in_force_once_acknowledged(tmp_path):
    """It was acknowledged as a repetition, and no configuration was in force."""
    with Fleet(tmp_path, CONTROL_HOSTS, (), document(version=0)) as fleet:
        assert read_version(fleet) == 0


@pytest.mark.xdist_group("control-recovery")
def test_first_configuration_outlasts_the_loss_of_two_disks_of_five(tmp_path):
    """It was confirmed by three voters, and without two of them control never led."""
    with Fleet(tmp_path, CONTROL_HOSTS, (), document(version=7)) as fleet:
        fleet.restart_all(lost_disks=CONTROL_HOSTS[:2])
        fleet.until(lambda: read_version(fleet) == 7)


@pytest.mark.xdist_group("control-recovery")
@pytest.mark.parametrize("pause", [0.1, 0.3, 1.0])
def test_control_forms_though_its_first_host_restarts_while_it_starts(tmp_path, pause):
    """It came back without being told to bootstrap, and no host formed control."""
    fleet = Fleet(tmp_path, CONTROL_HOSTS, ())
    with ExitStack() as stack:
        stack.callback(fleet.stop)
        fleet.start(CONTROL_HOSTS)
        time.sleep(pause)
        fleet.restart(CONTROL_HOSTS[0])
        fleet.configure()
        assert read_version(fleet) is not None


@pytest.mark.xdist_group("control-recovery")
def test_control_leads_again_if_three_of_five_hosts_start_one_by_one(tmp_path):
    """They repeated their startup checks in turns, and none was ever elected."""
    with Fleet(tmp_path, CONTROL_HOSTS, (), document(version=7)) as fleet:
        for ip in CONTROL_HOSTS:
            fleet.process_by_ip[ip].kill()
        for ip in CONTROL_HOSTS[:3]:
            fleet.restart(ip)
            time.sleep(SECONDS_BETWEEN_STARTS)
        fleet.until(lambda: read_version(fleet) == 7)
