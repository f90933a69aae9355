"""Counters and timers: kept for the dump, and sent to a statsd server."""

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.metrics.coordinator import async_flush_regularly
from bitterntiller.components.metrics.diagnostics import make_diagnostics
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, metrics: StatsdMetrics) -> None:
    """Send the metrics regularly and show them in the dump, until unloading."""
    runtime.add_diagnostics("metrics", make_diagnostics(metrics))
    await runtime.async_spawn(async_flush_regularly(metrics))
