"""Tests of when a host reports that it is ready."""

import curio
import pytest

from tests.components.entry.deployment import ConfigView, async_whole, entry_host
from tests.components.tunnels.builders import hosts


@pytest.mark.parametrize("version", [0, 1])
def test_ready_requires_the_lease_but_no_configuration(version: int, monkeypatch):
    """The hosts of a new deployment never become ready.

    They wait for the first configuration, and the operator waits for the hosts to be
    ready before applying it.
    """
    monkeypatch.setattr(ConfigView, "version", version)

    async def async_main() -> None:
        async with entry_host(async_whole) as entry:
            assert entry.coordinator.ready()
            entry.context.lease.held = False
            assert not entry.coordinator.ready()

    curio.run(async_main)


@pytest.mark.parametrize(("version", "expected"), [(0, False), (1, True)])
def test_configured_requires_a_configuration(version: int, expected: bool, monkeypatch):
    """A load balancer sends callers to a new host, which refuses all of them.

    The host has its lease but no configuration yet.
    """
    monkeypatch.setattr(ConfigView, "version", version)

    async def async_main() -> None:
        async with entry_host(async_whole) as entry:
            assert entry.coordinator.configured() is expected
            entry.coordinator.leave()
            assert not entry.coordinator.configured()

    curio.run(async_main)


def test_drain_waits_for_the_tunnels_of_other_hosts():
    """A host that stopped cut the requests that it carried for others."""

    async def async_main() -> None:
        async with entry_host(async_whole) as entry, hosts("a") as (host,):
            server = entry.coordinator.tunnel_server = host.server
            server.carried = 1
            drain = await curio.spawn(entry.coordinator.async_drain)
            await curio.sleep(0.2)
            assert server.draining and not drain.terminated
            server.carried = 0
            async with curio.timeout_after(1.0):
                assert await drain.join() == []

    curio.run(async_main)
