"""The memory that the parts of a process hold, in metrics and the state dump."""

import curio

from bitterntiller.components.memory.diagnostics import describe
from bitterntiller.core.runtime import Runtime

REPORT_PERIOD = 0.5
"""Seconds between measurements, which find the most that each part has held."""


async def async_setup(runtime: Runtime) -> None:
    """Measure regularly until the process unloads."""
    limit = runtime.settings.limits.memory_bytes
    runtime.add_diagnostics("memory", lambda: describe(runtime.memory, limit))
    await runtime.async_spawn(_async_report(runtime))


async def _async_report(runtime: Runtime) -> None:
    while True:
        runtime.memory.report(runtime.metrics)
        await curio.sleep(REPORT_PERIOD)
