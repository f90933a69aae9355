"""Counters, gauges and timers, for the state dump, scrapers and statsd."""

from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.metrics.coordinator import async_flush_regularly
from bitterntiller.components.metrics.diagnostics import make_diagnostics
from bitterntiller.components.metrics.server import Dump, MetricsPort
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, metrics: StatsdMetrics, dump: Dump) -> None:
    """Send the metrics regularly and include them in the state dump.

    If the settings have an address for it, the metrics and the dump are served there.
    """
    runtime.add_diagnostics("metrics", make_diagnostics(metrics))
    await runtime.async_spawn(async_flush_regularly(metrics))
    listen = runtime.settings.listen.metrics
    if listen is not None:
        port = MetricsPort(runtime, listen, metrics, dump)
        await runtime.async_spawn(port.async_serve())
