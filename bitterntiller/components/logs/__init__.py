"""Structured logging as JSON lines on standard output."""

from bitterntiller.components.logs.coordinator import LineWriter
from bitterntiller.components.logs.handler import set_up_handler
from bitterntiller.core import events
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime) -> LineWriter:
    """Write events and log records as JSON lines until the process unloads."""
    writer = await async_setup_events(runtime)
    set_up_handler(writer)
    return writer


async def async_setup_events(runtime: Runtime) -> LineWriter:
    """Write events as JSON lines until the process unloads."""
    writer = LineWriter(runtime.settings.host, runtime.clock, runtime.metrics)
    events.set_writer(writer)
    runtime.stack.callback(events.set_writer, None)
    runtime.stack.push_async_callback(writer.async_close)
    await runtime.async_spawn(writer.async_run())
    return writer
