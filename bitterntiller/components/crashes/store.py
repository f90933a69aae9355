"""Persists the crash history in the data folder after each change."""

import time
from pathlib import Path

import curio
from absl import logging

from bitterntiller.components.crashes import const
from bitterntiller.components.crashes.errors import DamagedHistoryError
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.history_file import load, save
from bitterntiller.core.clock import Clock


class HistoryStore:
    """Loads the history at startup and saves it in a thread after each change.

    A history that can't be read or written fails no request: the other hosts have it.
    """

    def __init__(self, path: Path, history: CrashHistory, clock: Clock) -> None:
        self._path = path
        self._history = history
        self._clock = clock
        self._changed = curio.Event()

    def load(self) -> None:
        """Merge the stored history into the current one."""
        now = self._clock.now()
        try:
            self._history.merge(load(self._path, time.time() - now), now)
        except DamagedHistoryError as error:
            logging.warning(
                "can't load the crash history, starting with an empty one: %s",
                error.text,
            )

    async def async_schedule_save(self, _fingerprints: frozenset[int]) -> None:
        """Schedule a save of the history."""
        await self._changed.set()

    async def async_run(self) -> None:
        """Save after changes, until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            now = self._clock.now()
            known = self._history.snapshot(now)
            try:
                await curio.run_in_thread(save, self._path, known, time.time() - now)
            except OSError as error:
                logging.warning("can't save the crash history, will retry: %s", error)
                await curio.sleep(const.SAVE_RETRY_DELAY)
                await self._changed.set()
            await curio.sleep(const.MIN_SAVE_INTERVAL)
