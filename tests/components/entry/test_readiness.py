"""Tests of when a host says that it takes work."""

import curio
import pytest

from tests.components.entry.deployment import ConfigView, async_whole, entry_host


@pytest.mark.parametrize("version", [0, 1])
def test_ready_needs_the_lease_and_no_configuration(version: int, monkeypatch):
    """A new deployment's hosts wait for the first configuration, and are never ready.

    Its operator waits for the hosts to be ready before the configuration is applied.
    """
    monkeypatch.setattr(ConfigView, "version", version)

    async def async_main() -> None:
        async with entry_host(async_whole) as entry:
            assert entry.coordinator.ready()
            entry.context.lease.held = False
            assert not entry.coordinator.ready()

    curio.run(async_main)


@pytest.mark.parametrize(("version", "told"), [(0, False), (1, True)])
def test_configured_tells_a_host_without_configuration(
    version: int, told: bool, monkeypatch
):
    """A balancer sends callers to a new host, which refuses each of them.

    The host holds its lease and knows no workspace yet.
    """
    monkeypatch.setattr(ConfigView, "version", version)

    async def async_main() -> None:
        async with entry_host(async_whole) as entry:
            assert entry.coordinator.configured() is told
            entry.coordinator.leave()
            assert not entry.coordinator.configured()

    curio.run(async_main)
