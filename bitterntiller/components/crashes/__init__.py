"""Detection of requests that crash upstreams, shared by all hosts and persisted."""

from bitterntiller.components.crashes.coordinator import CrashCoordinator
from bitterntiller.components.crashes.history_file import FILE_NAME
from bitterntiller.components.crashes.store import HistoryStore
from bitterntiller.core.interfaces import ConfigView, DirectoryView
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages


async def async_setup(
    runtime: Runtime, config: ConfigView, directory: DirectoryView
) -> CrashCoordinator:
    """Set up crash detection; it unloads with the runtime's stack.

    directory holds the owners of pools as this host uses them.
    """
    coordinator = CrashCoordinator(runtime, config, directory)
    folder = runtime.settings.data_folder
    if folder is not None:
        store = HistoryStore(folder / FILE_NAME, coordinator.history, runtime.clock)
        store.load()
        coordinator.add_listener(store.async_schedule_save)
        await runtime.async_spawn(store.async_run())
    remove = runtime.links.handle(messages.CrashReport, coordinator.async_on_report)
    runtime.stack.callback(remove)
    await runtime.async_spawn(coordinator.async_run())
    runtime.add_diagnostics("crashes", coordinator.describe)
    return coordinator
