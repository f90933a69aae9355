"""The context that every component of a process gets at set-up."""

import uuid
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any

import curio
from absl import logging

from bitterntiller.components.settings.models import Settings
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import Diagnostics, Links, Metrics
from bitterntiller.core.memory import MemoryHolders


class Runtime:
    """The settings, clock, links, metrics and tasks of a process.

    links is assigned after construction, because links need the incarnation.

    stack owns everything that must be closed. Components push their clean-up at set-up,
    so that they are unloaded in reverse order.
    """

    links: Links

    def __init__(self, settings: Settings, clock: Clock, metrics: Metrics) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.incarnation = uuid.uuid4().hex
        self.stack = AsyncExitStack()
        self.diagnostics_by_component: dict[str, Diagnostics] = {}
        self.memory = MemoryHolders()
        self.failure: BaseException | None = None
        self.failed = curio.Event()

    async def async_spawn(self, coroutine: Coroutine[Any, Any, Any]) -> curio.Task:
        """Start a component's task, which is cancelled when the process unloads.

        Such a task runs as long as the process. If it fails, the process stops, since
        it would otherwise look healthy while the component did nothing. Don't use this
        for tasks of single requests.
        """
        task = await curio.spawn(self._async_guard(coroutine))
        self.stack.push_async_callback(task.cancel)
        return task

    async def _async_guard(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        try:
            await coroutine
        except Exception as error:
            logging.exception("a component task failed")
            await self.async_fail(error)

    async def async_fail(self, error: BaseException) -> None:
        """Request a stop of the process because of an error, kept in failure."""
        self.failure = self.failure or error
        await self.failed.set()

    def add_diagnostics(self, component: str, diagnostics: Diagnostics) -> None:
        """Register a component's section of the state dump."""
        self.diagnostics_by_component[component] = diagnostics
