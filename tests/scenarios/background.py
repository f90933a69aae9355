"""Background threads of a scenario."""

import threading
from collections.abc import Callable
from typing import Any

TASK_TIMEOUT_S = 40.0
"""Seconds in which a stopped task must end."""


class BackgroundTask:
    """A task that runs in threads until it is finished or stopped."""

    def __init__(self) -> None:
        self.error = ""
        self.stopping = False
        self._threads: list[threading.Thread] = []

    def start(self, runs: list[Callable[[], None]]) -> None:
        """Run each function in a thread."""
        for run in runs:
            thread = threading.Thread(
                target=self._run_and_record_error, args=(run,), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _run_and_record_error(self, run: Callable[[], None]) -> None:
        try:
            run()
        except Exception as error:  # reported by the next expectation
            self.error = self.error or f"{type(error).__name__}: {error}"

    def stop(self) -> None:
        """Stop the task and wait up to TASK_TIMEOUT_S for each of its threads."""
        self.stopping = True
        for thread in self._threads:
            thread.join(TASK_TIMEOUT_S)

    def read_value(self, what: str) -> Any:
        """Return a property named in a scenario; fail if the task raised an error."""
        assert not self.error, self.error
        if what == "ended":
            return not any(thread.is_alive() for thread in self._threads)
        return getattr(self, what)
