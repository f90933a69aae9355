"""Tests of reloading the settings file while a process runs."""

import os
from typing import Any

import pytest
from bitterntiller_platform.reload import SettingsReloader
from bitterntiller_platform.settings import load_settings

from tests.platform.test_settings import FILE


class Client:
    def __init__(self) -> None:
        self.seeds: list[str] = []

    def set_seed_addresses(self, addresses: list[str]) -> None:
        self.seeds = addresses


class Holder:
    """A fake of both a runtime and a session."""

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.control_client = Client()


@pytest.fixture
def reloader_setup(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(FILE)
    holder = Holder(load_settings(path).settings)
    return path, holder, SettingsReloader(holder, holder, path)


def test_changed_seeds_are_applied_without_a_signal(reloader_setup):
    """All seeds may be replaced; a host that joins then must not use the old ones."""
    path, holder, reloader = reloader_setup
    path.write_text(FILE.replace("10.2.0.19:8229", "10.9.0.1:8229"))
    os.utime(path, ns=(1, 1))
    reloader.check()
    assert holder.control_client.seeds == ["10.1.0.27:7600", "10.9.0.1:7600"]
    addresses = [str(item) for item in holder.settings.control.addresses]
    assert addresses == holder.control_client.seeds


def test_bad_file_changes_nothing(reloader_setup):
    path, holder, reloader = reloader_setup
    before = holder.settings
    path.write_text("node_name=x\n")
    reloader.reload()
    assert holder.settings == before
    assert holder.control_client.seeds == []


def test_unchanged_file_is_not_reloaded(reloader_setup):
    _, holder, reloader = reloader_setup
    reloader.check()
    assert holder.control_client.seeds == []
