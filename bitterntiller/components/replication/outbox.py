"""Send queues to other replicas, so that a slow one delays no other."""

from collections import deque
from typing import Any

import curio

from bitterntiller.core.interfaces import Links
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

MAX_QUEUED = 256
"""Messages queued for a peer; the oldest are dropped, which replication tolerates."""


def data_bytes(message: Any) -> int:
    """Return the size of the data in a message's entries or snapshot piece."""
    if isinstance(message, messages.Append):
        return sum(len(entry.data) for entry in message.entries)
    return len(message.data) if isinstance(message, messages.SnapshotPiece) else 0


class _PeerQueue:
    def __init__(self) -> None:
        self.waiting: deque[Any] = deque(maxlen=MAX_QUEUED)
        self.wake = curio.Event()


class Outbox:
    """A send queue and a sending task for each address."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._links: Links = runtime.links
        self._queues_by_address: dict[str, _PeerQueue] = {}

    @property
    def queued_bytes(self) -> int:
        """The data of the entries and snapshot pieces in all queues."""
        return sum(
            data_bytes(message)
            for peer_queue in self._queues_by_address.values()
            for message in peer_queue.waiting
        )

    async def async_put(self, address: str, message: Any) -> None:
        """Queue a message, which may be lost like any message."""
        peer_queue = self._queues_by_address.get(address)
        if peer_queue is None:
            peer_queue = self._queues_by_address[address] = _PeerQueue()
            await self._runtime.async_spawn(self._async_run(address, peer_queue))
        peer_queue.waiting.append(message)
        await peer_queue.wake.set()

    async def _async_run(self, address: str, peer_queue: _PeerQueue) -> None:
        while True:
            await peer_queue.wake.wait()
            peer_queue.wake.clear()
            while peer_queue.waiting:
                await self._links.async_send(address, peer_queue.waiting.popleft())
