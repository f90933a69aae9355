"""A connection to a peer, with a send queue and pending calls."""

import itertools
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bitterntiller.components.links import const
from bitterntiller.components.links.budget import LinkBudget
from bitterntiller.components.links.errors import (
    LinkFaultError,
    LinkTimeoutError,
    LinkUnreachableError,
)
from bitterntiller.components.links.frames import FrameBuffer, pack, unpack
from bitterntiller.components.links.models import Incoming, Peer
from bitterntiller.core import events
from bitterntiller.core.interfaces import Metrics
from bitterntiller.core.timeouts import timeout_after
from bitterntiller.core.turns import Turns
from bitterntiller.protocol import MalformedMessageError, messages

FrameHandler = Callable[["Connection", Incoming], Awaitable[None]]


class _PendingCall:
    """A call that waits for its reply."""

    def __init__(self) -> None:
        self.done = curio.Event()
        self.reply: Any = None


class Connection:
    """Sends and receives frames over a socket after the handshake."""

    def __init__(
        self,
        sock: curio.io.Socket,
        peer: Peer,
        on_message: FrameHandler,
        metrics: Metrics,
        budget: LinkBudget,
    ) -> None:
        self.peer = peer
        self.open = True
        self.calls_running = 0
        self.queued_bytes = 0
        self._sock = sock
        self._on_message = on_message
        self._metrics = metrics
        self._budget = budget
        self._calls_by_number: dict[int, _PendingCall] = {}
        self._numbers = itertools.count(1)
        self._queue: deque[bytes] = deque()
        self._wake = curio.Event()
        self._sent = False
        self._received = False
        self._send_pending = curio.Event()

    def send(self, message: Any, call: int = 0, reply: bool = False) -> bool:
        """Queue a frame without waiting; return False if it will not be sent."""
        if not self.open:
            return False
        data = pack(message, call, reply)
        if len(data) > const.MAX_FRAME_BYTES + const.LENGTH_BYTES:
            # The peer would close the connection, with all calls that wait on it.
            self._metrics.count(const.METRIC_TOO_LONG)
            return False
        # A peer that reads too slowly would otherwise fill this host's memory. Dropping
        # a message is safe, since all messages can be repeated.
        if not self._budget.may_queue(self.queued_bytes, len(data)):
            self._metrics.count(const.METRIC_QUEUE_FULL)
            return False
        self._queue.append(data)
        self._count_queued(len(data))
        self._sent = True
        return True

    def _count_queued(self, size: int) -> None:
        self.queued_bytes += size
        self._budget.queued_bytes += size

    async def async_flush_soon(self) -> None:
        """Wake the writer after send(), and the liveness check if it is paused."""
        await self._wake.set()
        if not self._send_pending.is_set():
            await self._send_pending.set()

    async def async_call(self, message: Any, timeout: float) -> Any:
        """Send a message and return its reply; raise LinkError."""
        number = next(self._numbers)
        pending = _PendingCall()
        self._calls_by_number[number] = pending
        try:
            if not self.send(message, number):
                raise LinkUnreachableError(f"no open connection to {self.peer.host}")
            await self.async_flush_soon()
            async with timeout_after(timeout):
                await pending.done.wait()
        except curio.TaskTimeout:
            text = f"{self.peer.host} did not answer in {timeout} s"
            raise LinkTimeoutError(text) from None
        finally:
            del self._calls_by_number[number]
        if pending.reply is None:
            raise LinkTimeoutError(f"the connection to {self.peer.host} broke")
        if isinstance(pending.reply, messages.Fault):
            raise LinkFaultError(pending.reply.code, pending.reply.text)
        return pending.reply

    async def async_run(self) -> None:
        """Read and write until the connection ends, then fail all pending calls."""
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._async_write)
                await group.spawn(self._async_read)
                await group.spawn(self._async_check_liveness)
        finally:
            self.open = False
            self._count_queued(-self.queued_bytes)
            await self._sock.close()
            for pending in list(self._calls_by_number.values()):
                await pending.done.set()

    async def _async_check_liveness(self) -> None:
        """Return once the peer has not responded for MAX_SILENT_PERIODS.

        A connection can lose all its packets without a reset while new connections
        work. The kernel detects that only after seconds of its own timeouts, in which
        no message reaches the peer. The check is paused while nothing is sent, since a
        control host has a connection to every other host and most of them are idle.
        """
        silent = 0
        while silent < const.MAX_SILENT_PERIODS:
            if not self._sent:
                self._send_pending.clear()
                await self._send_pending.wait()
            await curio.sleep(const.LIVENESS_CHECK_PERIOD)
            received, self._received = self._received, False
            if received or not self._sent:
                silent = 0
                continue
            silent += 1
            self.send(messages.LinkPing(unused=False))
            await self._wake.set()
        self._metrics.count(const.METRIC_SILENT)
        events.emit("link-silent", peer=self.peer.host, address=self.peer.address)

    async def _async_write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._queue:
                    data = b"".join(self._queue)
                    self._queue.clear()
                    await self._sock.sendall(data)
                    self._count_queued(-len(data))
                    self._metrics.count(const.METRIC_SENT_BYTES, len(data))
        except OSError:
            return

    async def _async_read(self) -> None:
        buffer = FrameBuffer()
        turns = Turns()
        try:
            while True:
                data = await self._sock.recv(const.READ_BYTES)
                if not data:
                    return
                self._received = True
                self._sent = False
                self._metrics.count(const.METRIC_RECEIVED_BYTES, len(data))
                for frame in buffer.feed(data):
                    await self._async_on_frame(unpack(frame))
                    # The peer isn't silent while this host is behind with its messages.
                    self._received = True
                    await turns.async_count(len(frame))
                await turns.async_count(0)
        except OSError:
            return
        except MalformedMessageError:
            # The peer has another version or the stream is damaged. The rest can't be
            # trusted, so the connection is closed and opened again.
            self._metrics.count(const.METRIC_MALFORMED)

    async def _async_on_frame(self, incoming: Incoming) -> None:
        if isinstance(incoming.message, messages.LinkPong):
            return
        if isinstance(incoming.message, messages.LinkPing):
            self.send(messages.LinkPong(unused=False))
            self._sent = False
            await self._wake.set()
            return
        if not incoming.reply:
            await self._on_message(self, incoming)
            return
        pending = self._calls_by_number.get(incoming.call)
        if pending is None:
            return
        pending.reply = incoming.message
        await pending.done.set()
