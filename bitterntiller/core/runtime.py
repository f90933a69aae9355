"""What every part of a process is given at its set-up."""

import uuid
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from typing import Any

import curio

from bitterntiller.components.settings.models import Settings
from bitterntiller.core.clock import Clock
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.interfaces import Diagnostics, Links, Metrics


class Runtime:
    """The settings, clock, links and metrics of a process, and its tasks.

    stack owns whatever must be closed: a part pushes its unloading at set-up,
    so that parts are unloaded in the reverse order.
    """

    def __init__(
        self, settings: Settings, clock: Clock, metrics: Metrics, links: Links
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.links = links
        self.incarnation = uuid.uuid4().hex
        self.stack = AsyncExitStack()
        self.diagnostics_by_component: dict[str, Diagnostics] = {}
        self.failure: BrokenInvariantError | None = None
        self.failed = curio.Event()

    async def async_spawn(self, coroutine: Coroutine[Any, Any, Any]) -> curio.Task:
        """Start a task that is cancelled when the process unloads."""
        task = await curio.spawn(coroutine)
        self.stack.push_async_callback(task.cancel)
        return task

    def add_diagnostics(self, component: str, diagnostics: Diagnostics) -> None:
        """Have a component's share included in the dump."""
        self.diagnostics_by_component[component] = diagnostics

    async def async_fail(self, error: BrokenInvariantError) -> None:
        """Tell whoever runs the process that it must stop; failure says why."""
        self.failure = self.failure or error
        await self.failed.set()
