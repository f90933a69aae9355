"""Requests that crash upstreams: found out, and shared by all hosts."""

from bitterntiller.components.crashes.coordinator import CrashCoordinator
from bitterntiller.core.interfaces import ConfigView, DirectoryView
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


async def async_setup(
    runtime: Runtime, config: ConfigView, directory: DirectoryView
) -> CrashCoordinator:
    """Set the part up; it is unloaded with the runtime's stack.

    directory names the owners of pools as this host uses them.
    """
    coordinator = CrashCoordinator(runtime, config, directory)
    remove = runtime.links.handle(messages.CrashReport, coordinator.async_on_report)
    runtime.stack.callback(remove)
    await runtime.async_spawn(coordinator.async_run())
    runtime.add_diagnostics("crashes", coordinator.describe)
    return coordinator
