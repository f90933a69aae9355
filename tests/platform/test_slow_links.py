"""Configurations that reach hosts over slow links, with the platform's timings."""

import random

import curio
import pytest
from bitterntiller_platform.settings import load_settings

from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.core.clock import ManualClock
from tests.components.control.builders import (
    FakeNetwork,
    make_change,
    make_control,
    make_runtime,
    parse_any,
)
from tests.components.node.slow_links import SlowLinks
from tests.platform.test_settings import FILE

ROUTES = 1400
BANDWIDTH = 300_000
"""Bytes per second: half of a 5 Mbit/s link, the rest is taken by responses."""

APPLY_SECONDS = 2.5
PAUSE_SECONDS = 0.1


def make_routes(number, seed=1):
    draw = random.Random(seed)
    return {
        f"r-{n}": {
            "host": f"{draw.randbytes(4).hex()}.example",
            "prefix": f"/{draw.randbytes(4).hex()}/",
            "kind": "streaming",
            "timeout_ms": 10_000,
            "objective_ms": 500,
            "service": "canopy-llm",
            "public": False,
            "resumable": True,
            "output_interval_ms": 600,
            "max_attempts": 2,
        }
        for n in range(number)
    }


async def async_run_for(node, clock, seconds):
    """Send heartbeats for some seconds; return when a lease was held, by version."""
    held = []
    until = clock.now() + seconds
    while clock.now() < until:
        began = clock.now()
        granted = await node.async_send_heartbeat()
        if node.lease.valid():
            held.append((clock.now(), node.config.version))
        pause = max(began + 0.4 - clock.now(), 0.0) if granted else PAUSE_SECONDS
        clock.advance(pause)
        if node.lease.valid():
            held.append((clock.now(), node.config.version))
    return held


@pytest.fixture
def timings(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(FILE + f"bounds.config_apply_ms={int(APPLY_SECONDS * 1000)}\n")
    return load_settings(path).settings.timings


def run_change(timings, main):
    """Run main with a node whose link is slow, after a change that adds routes."""

    async def run():
        clock, network = ManualClock(), FakeNetwork()
        control, _ = make_control(clock, network, timings=timings)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            runtime = make_runtime(clock, network, timings=timings)
            links = runtime.links = SlowLinks(runtime.links, clock, BANDWIDTH)
            node = NodeCoordinator(runtime, parse_any)
            document = {"routes": make_routes(20)}
            await control.async_change("operator", make_change("c1", 0, document))
            assert await node.async_send_heartbeat()
            document = {"routes": make_routes(ROUTES)}
            changed = await control.async_change(
                "operator", make_change("c2", 1, document)
            )
            assert changed.status == "accepted"
            await main(control, node, clock, links)

    curio.run(run)


def test_configuration_that_outlasts_the_timeout_of_a_heartbeat_is_applied(timings):
    """
    Guards against a host that never gets a large configuration: its reply takes longer
    than the heartbeat's timeout, is dropped on arrival, and is sent again each time.
    """

    async def main(control, node, clock, links):
        accepted_at = clock.now()
        held = await async_run_for(node, clock, 6.0)
        assert node.config.version == 2
        assert node.lease.valid()
        late = [at for at, version in held if at > accepted_at + APPLY_SECONDS]
        assert late

    run_change(timings, main)


@pytest.mark.parametrize("bandwidth", [1_000, 5_000, 20_000, 60_000])
def test_superseded_configuration_is_not_used_after_the_time_limit(timings, bandwidth):
    """
    Guards against requests under an old configuration while a host in contact with
    control is still loading the new one: its lease outlasts the time limit.
    """

    async def main(control, node, clock, links):
        links._bandwidth = bandwidth
        accepted_at = clock.now()
        held = await async_run_for(node, clock, 6.0)
        limit = accepted_at + APPLY_SECONDS
        assert not [at for at, version in held if version == 1 and at > limit]

    run_change(timings, main)


def test_time_limit_counts_from_the_change_for_a_host_that_hears_of_it_late(timings):
    """Guards against a limit that counts from when a host hears of the change."""

    async def main(control, node, clock, links):
        links._bandwidth = 5_000
        limit = clock.now() + APPLY_SECONDS
        clock.advance(2.0)
        held = await async_run_for(node, clock, 3.0)
        assert not [at for at, version in held if version == 1 and at > limit]

    run_change(timings, main)


def test_configuration_advances_while_changes_come_faster_than_it_loads(timings):
    """Guards against a host that never has a newer version, as each load is dropped."""

    async def main(control, node, clock, links):
        links._bandwidth = 45_000
        for number in range(3, 13):
            document = {"routes": make_routes(3 * ROUTES, seed=number)}
            await control.async_change(
                "operator", make_change(f"c{number}", number - 1, document)
            )
            await async_run_for(node, clock, 1.0)
        assert node.config.version >= 4
        await async_run_for(node, clock, 10.0)
        assert node.config.version == 12
        assert node.lease.valid()

    run_change(timings, main)
