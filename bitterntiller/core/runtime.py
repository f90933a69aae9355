"""What every part of a process is given at its set-up."""

import uuid
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any

import curio
from absl import logging

from bitterntiller.components.settings.models import Settings
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import Diagnostics, Links, Metrics


class Runtime:
    """The settings, clock, links and metrics of a process, and its tasks.

    links is set by whoever wires the process, since links need its incarnation.

    stack owns whatever must be closed: a part pushes its unloading at set-up,
    so that parts are unloaded in the reverse order.
    """

    links: Links

    def __init__(self, settings: Settings, clock: Clock, metrics: Metrics) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.incarnation = uuid.uuid4().hex
        self.stack = AsyncExitStack()
        self.diagnostics_by_component: dict[str, Diagnostics] = {}
        self.failure: BaseException | None = None
        self.failed = curio.Event()

    async def async_spawn(self, coroutine: Coroutine[Any, Any, Any]) -> curio.Task:
        """Start a task of a part; it is cancelled when the process unloads.

        Such a task serves as long as the process does. One that ends by an error
        would leave a process that looks alive with a part that does nothing, so
        the error stops the process. Not for tasks of single requests.
        """
        task = await curio.spawn(self._async_guard(coroutine))
        self.stack.push_async_callback(task.cancel)
        return task

    async def _async_guard(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        try:
            await coroutine
        except Exception as error:
            logging.exception("a part of the process failed")
            await self.async_fail(error)

    async def async_fail(self, error: BaseException) -> None:
        """Tell whoever runs the process that it must stop; failure says why."""
        self.failure = self.failure or error
        await self.failed.set()

    def add_diagnostics(self, component: str, diagnostics: Diagnostics) -> None:
        """Have a component's share included in the dump."""
        self.diagnostics_by_component[component] = diagnostics
