"""Replicated log (Raft): the same commands in the same order on every replica."""

import curio

from bitterntiller.core.interfaces import ReplicatedLog, StateMachine
from bitterntiller.core.runtime import Runtime

from .coordinator import ReplicationCoordinator
from .errors import NoDataFolderError
from .storage import Storage

FOLDER = "replication"


async def async_setup(runtime: Runtime, state_machine: StateMachine) -> ReplicatedLog:
    """Open the data folder and run a replica of the log until the process unloads.

    Raise BrokenInvariantError if the folder is damaged or in use.
    """
    settings = runtime.settings
    if settings.data_folder is None:
        raise NoDataFolderError("a replica of the log needs a data folder")
    folder = settings.data_folder / FOLDER
    storage = await curio.run_in_thread(Storage, folder, settings.host)
    runtime.stack.callback(storage.close)
    coordinator = ReplicationCoordinator(runtime, state_machine, storage)
    await coordinator.async_start()
    runtime.add_diagnostics("replication", coordinator.status)
    return coordinator
