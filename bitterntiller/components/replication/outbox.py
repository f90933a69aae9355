"""Sending to other replicas, so that a slow one holds up no other."""

from collections import deque
from typing import Any

import curio

from bitterntiller.core.interfaces import Links
from bitterntiller.core.runtime import Runtime

MAX_WAITING = 256
"""Messages kept for a peer; older ones are dropped, which replication allows."""


class _Lane:
    def __init__(self) -> None:
        self.waiting: deque[Any] = deque(maxlen=MAX_WAITING)
        self.wake = curio.Event()


class Outbox:
    """A queue and a task for each address."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._links: Links = runtime.links
        self._lanes_by_address: dict[str, _Lane] = {}

    async def async_put(self, address: str, message: Any) -> None:
        """Queue a message; it may be lost like any message."""
        lane = self._lanes_by_address.get(address)
        if lane is None:
            lane = self._lanes_by_address[address] = _Lane()
            await self._runtime.async_spawn(self._async_run(address, lane))
        lane.waiting.append(message)
        await lane.wake.set()

    async def _async_run(self, address: str, lane: _Lane) -> None:
        while True:
            await lane.wake.wait()
            lane.wake.clear()
            while lane.waiting:
                await self._links.async_send(address, lane.waiting.popleft())
