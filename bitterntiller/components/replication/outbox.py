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
    """Messages for one peer, oldest first; size is that of their data."""

    def __init__(self) -> None:
        self.size = 0
        self.wake = curio.Event()
        self._waiting: deque[tuple[Any, int]] = deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, message: Any) -> None:
        size = data_bytes(message)
        self._waiting.append((message, size))
        self.size += size
        if len(self._waiting) > MAX_QUEUED:
            self.take()

    def take(self) -> Any:
        message, size = self._waiting.popleft()
        self.size -= size
        return message


class Outbox:
    """A send queue and a sending task for each address.

    Beyond max_bytes in all queues, the oldest messages of the longest one are dropped.
    """

    def __init__(self, runtime: Runtime, max_bytes: int) -> None:
        self._runtime = runtime
        self._links: Links = runtime.links
        self._max_bytes = max_bytes
        self._queues_by_address: dict[str, _PeerQueue] = {}

    @property
    def queued_bytes(self) -> int:
        """The size of the data of the messages in all queues."""
        return sum(queue.size for queue in self._queues_by_address.values())

    async def async_put(self, address: str, message: Any) -> None:
        """Queue a message, which may be lost like any message."""
        peer_queue = self._queues_by_address.get(address)
        if peer_queue is None:
            peer_queue = self._queues_by_address[address] = _PeerQueue()
            await self._runtime.async_spawn(self._async_run(address, peer_queue))
        peer_queue.put(message)
        self._drop_beyond_limit()
        await peer_queue.wake.set()

    def _drop_beyond_limit(self) -> None:
        while self.queued_bytes > self._max_bytes:
            longest = max(
                self._queues_by_address.values(), key=lambda queue: queue.size
            )
            if len(longest) < 2:
                return
            longest.take()
            self._runtime.metrics.count("replication.outbox_full")

    async def _async_run(self, address: str, peer_queue: _PeerQueue) -> None:
        while True:
            await peer_queue.wake.wait()
            peer_queue.wake.clear()
            while peer_queue:
                await self._links.async_send(address, peer_queue.take())
