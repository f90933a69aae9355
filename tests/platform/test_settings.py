"""Tests of the platform's settings files."""

from pathlib import Path

import pytest
from bitterntiller_platform.settings import SettingsFormatError, load_settings

FILE = """
node_name=core-bole-1
serves=control
ip=10.1.0.27
zone=bole
region=addis
listen_addrs.control_plane=10.1.0.27:8229
port_range=7600,7615
seed_nodes=10.1.0.27:8229,10.2.0.19:8229
bootstrap=true
limits.memory_mb=296
limits.max_fds=4096
data_dir=/data/core
heartbeat_ms=1200
fault_tolerance.machines=2
bounds.revoke_ms=5000
bounds.config_apply_ms=2000
bounds.grace_s=8
bounds.unknown_key=1
"""


def loaded(tmp_path: Path, text: str = FILE):
    path = tmp_path / "boot.conf"
    path.write_text(text)
    return load_settings(path)


def test_seeds_use_the_internal_port(tmp_path):
    found = loaded(tmp_path)
    seeds = [str(address) for address in found.settings.control.addresses]
    assert seeds == ["10.1.0.27:7600", "10.2.0.19:7600"]
    assert found.settings.control.bootstrap == tuple(seeds)
    assert found.settings.control.voters == 5
    assert str(found.control) == "10.1.0.27:8229"


def test_later_start_does_not_bootstrap(tmp_path):
    text = FILE.replace("bootstrap=true", "bootstrap=false")
    assert loaded(tmp_path, text).settings.control.bootstrap == ()


def test_lease_expires_before_a_key_must_be_revoked(tmp_path):
    timings = loaded(tmp_path).settings.timings
    assert timings.lease < 5.0
    assert timings.owner_lease * 0.99 > timings.lease
    assert timings.heartbeat < 1.0


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("node_name=core-bole-1", ""),
        ("port_range=7600,7615", "port_range=x"),
        ("seed_nodes=10.1.0.27:8229", "seed_nodes=10.1.0.27"),
        ("bounds.grace_s=8", "bounds.grace_s=soon"),
    ],
)
def test_invalid_file_raises(tmp_path, old, new):
    with pytest.raises(SettingsFormatError):
        loaded(tmp_path, FILE.replace(old, new))


def test_missing_file_raises(tmp_path):
    with pytest.raises(SettingsFormatError):
        load_settings(tmp_path / "none")


@pytest.mark.parametrize(
    ("contracts", "uneven"), [("base,pressure,quota", "on"), ("base,quota", "stated")]
)
def test_contract_puts_the_parts_for_uneven_upstreams_in_effect(
    tmp_path, contracts, uneven
):
    settings = loaded(tmp_path, f"{FILE}contracts={contracts}\n").settings
    assert settings.dispatch.uneven_upstreams == uneven
