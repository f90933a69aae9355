"""Writes a replica's log to its disk, and detects stalled writes."""

from collections.abc import Awaitable, Callable

import curio

from bitterntiller.core import events
from bitterntiller.core.runtime import Runtime

from .core import Replica
from .errors import StorageFullError
from .models import Persist
from .storage import Storage

FULL_PAUSE = 0.2
"""Seconds before a write is retried on a full disk."""

STALLED_WRITE = 0.6
"""Seconds after which a write counts as stalled: a hundred times a usual write, and as
long as followers wait for a failed leader."""


class LogWriter:
    """Makes the writes that the replica requests, one at a time.

    replica returns the current replica, wake triggers the execution of its effects.
    """

    def __init__(
        self,
        runtime: Runtime,
        storage: Storage,
        replica: Callable[[], Replica],
        wake: Callable[[], Awaitable[None]],
    ) -> None:
        self._runtime = runtime
        self._storage = storage
        self._replica = replica
        self._wake = wake
        self._write_requested = curio.Event()
        self._write: Persist | None = None
        self._write_began: float | None = None
        self._writing = curio.Lock()

    async def async_request(self, write: Persist) -> None:
        """Request a write; it replaces one that has not started."""
        self._write = write
        await self._write_requested.set()

    async def async_retire(self, reset_replica: Callable[[], None]) -> None:
        """Retire the current log; reset_replica is called before the next write."""
        async with self._writing:
            self._write = None
            async with curio.disable_cancellation():
                await curio.run_in_thread(self._storage.retire)
            reset_replica()

    async def async_run(self) -> None:
        """Make requested writes until cancelled."""
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            async with self._writing:
                await self._async_write()

    async def _async_write(self) -> None:
        replica, write = self._replica(), self._write
        self._write = None
        if write is None:
            return
        clock = self._runtime.clock
        began = clock.now()
        self._write_began = began
        await self._async_write_out(write)
        self._write_began = None
        self._replica().set_stalled(False, clock.now())
        self._runtime.metrics.timing("replication.sync", clock.now() - began)
        replica.persisted(write.number, clock.now())
        await self._wake()

    async def _async_write_out(self, write: Persist) -> None:
        """Retry the write on a full disk until space has been freed."""
        reported = False
        while True:
            try:
                async with curio.disable_cancellation():
                    await curio.run_in_thread(self._storage.write, write)
                return
            except StorageFullError as error:
                if not reported:
                    events.emit("disk-full", text=error.text)
                reported = True
                self._runtime.metrics.count("replication.disk_full")
                await curio.sleep(FULL_PAUSE)

    def check_stall(self, now: float) -> None:
        """Neither lead nor campaign while the current write takes too long.

        A leader applies only entries that its own disk holds, so all callers of
        control would wait for its slow disk although the other disks are healthy.
        """
        if self._write_began is None or now - self._write_began < STALLED_WRITE:
            return
        if self._replica().set_stalled(True, now):
            events.emit("disk-stalled", seconds=round(now - self._write_began, 2))
