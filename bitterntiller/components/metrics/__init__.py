"""Counters and timers: kept for the dump, and sent to a statsd server."""

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.metrics.coordinator import async_flush_regularly
from bitterntiller.components.metrics.diagnostics import make_diagnostics
from bitterntiller.components.metrics.server import Dump, MetricsPort
from bitterntiller.components.settings.models import Address
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, metrics: StatsdMetrics) -> None:
    """Send the metrics regularly and show them in the dump, until unloading."""
    runtime.add_diagnostics("metrics", make_diagnostics(metrics))
    await runtime.async_spawn(async_flush_regularly(metrics))


async def async_setup_port(
    runtime: Runtime, metrics: StatsdMetrics, listen: Address, dump: Dump
) -> None:
    """Serve the metrics and the dump at an address, until unloading."""
    port = MetricsPort(runtime, listen, metrics, dump)
    await runtime.async_spawn(port.async_serve())
