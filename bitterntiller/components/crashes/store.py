"""Writes the history of crashes to the data folder whenever it has changed."""

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
    """Loads a history at the start and saves it in a thread after each change.

    A history that can't be read or written costs no request: the other hosts have it.
    """

    def __init__(self, path: Path, history: CrashHistory, clock: Clock) -> None:
        self._path = path
        self._history = history
        self._clock = clock
        self._changed = curio.Event()

    def load(self) -> None:
        """Join the history of before the start into the present one."""
        now = self._clock.now()
        try:
            self._history.merge(load(self._path, time.time() - now), now)
        except DamagedHistoryError as error:
            logging.warning("the crash history begins empty: %s", error.text)

    async def async_schedule_save(self, _fingerprints: frozenset[int]) -> None:
        """Have the history saved soon."""
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
                logging.warning("the crash history was not saved: %s", error)
                await curio.sleep(const.SAVE_RETRY_DELAY)
                await self._changed.set()
            await curio.sleep(const.MIN_SAVE_INTERVAL)
