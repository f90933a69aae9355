"""One request of a caller and its answer, over an h11 connection."""

import os
import struct
from typing import Any

import curio
import h11
from curio import socket

from bitterntiller.components.http.const import (
    LINGER_BYTES,
    LINGER_SECONDS,
    READ_BYTES,
    STATUS_TEXT,
)
from bitterntiller.components.http.errors import BadRequestError, CallerGoneError
from bitterntiller.components.http.models import Headers, RequestHead

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


_READ_WHOLE = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class ServerConnection:
    """A caller's connection: h11's state, the socket, and its timeouts.

    Times are in seconds. Only one task reads at a time: the exchange while the
    request comes in, then watch() while the answer is made.
    """

    def __init__(self, sock: Any, head_bytes: int, write_timeout: float) -> None:
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)
        self.sock = sock
        self.write_timeout = write_timeout
        self.gone = False
        self.closing = False

    async def async_next_event(self, timeout: float) -> Any:
        """Return h11's next event.

        Raise BadRequestError for bytes that are not HTTP or come too slowly,
        CallerGoneError when the caller closed in the middle.
        """
        try:
            async with curio.timeout_after(timeout):
                while True:
                    event = self.h11.next_event()
                    if event is not h11.NEED_DATA:
                        return event
                    self.h11.receive_data(await self._async_receive())
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from error
        except curio.TaskTimeout:
            raise BadRequestError(408, "the request came too slowly") from None

    async def _async_receive(self) -> bytes:
        try:
            return await self.sock.recv(READ_BYTES)
        except OSError as error:
            self.gone = True
            raise CallerGoneError(repr(error)) from error

    async def async_wait_bytes(self) -> bool:
        """Wait for bytes of the next request; False when the caller closed."""
        data = await self._async_receive()
        self.h11.receive_data(data)
        return bool(data)

    async def async_watch(self) -> None:
        """Return when the caller closes its side while the answer is made.

        Bytes of a following request are kept for later; a caller that sends
        more than a head of them is not read further. Its leaving then shows only
        at the next writing: reading on would hold whatever it sends.
        """
        kept = 0
        while True:
            try:
                data = await self.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self.gone = True
                return
            self.h11.receive_data(data)
            kept += len(data)
            if kept > READ_BYTES:
                await curio.Event().wait()

    async def async_write(self, data: bytes) -> None:
        """Send bytes; raise CallerGoneError when the caller does not take them.

        Mostly the kernel takes all bytes at once; a timer is set only to wait.
        """
        try:
            sent = os.write(self.sock.fileno(), data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.gone = True
            raise CallerGoneError(repr(error)) from error
        if sent < len(data):
            await self._async_write_rest(memoryview(data)[sent:])

    async def _async_write_rest(self, data: memoryview) -> None:
        try:
            async with curio.timeout_after(self.write_timeout):
                await self.sock.sendall(data)
        except curio.TaskTimeout:
            self.gone = True
            raise CallerGoneError("the caller stopped reading") from None
        except OSError as error:
            self.gone = True
            raise CallerGoneError(repr(error)) from error

    async def async_reset(self) -> None:
        """Have the connection end by a TCP reset when its serving ends.

        A cut answer must never look whole. An answer without a length to an
        HTTP/1.0 caller ends with an orderly close; the reset makes the cut
        visible there too. The socket is not closed here: watch() may still wait
        on it, and the next socket of the process would get its number and
        with it the wait of another task, so that connecting fails.
        """
        self.gone = True
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        except OSError:
            return

    async def async_linger(self) -> None:
        """End the own side and read what the caller still sends, for a while.

        Closing with unread bytes makes the kernel reset the connection, and the
        reset takes the answer away from a caller that has not read it yet: one
        that is refused while it sends its body would see a broken connection
        instead of a true refusal. A request that was read whole leaves no bytes.
        """
        if self.h11.their_state in _READ_WHOLE:
            return
        left = LINGER_BYTES
        try:
            await self.sock.shutdown(socket.SHUT_WR)
            async with curio.ignore_after(LINGER_SECONDS):
                while left > 0 and (data := await self.sock.recv(READ_BYTES)):
                    left -= len(data)
        except OSError:
            return


class Exchange:
    """One request and its answer."""

    def __init__(self, connection: ServerConnection, head: RequestHead) -> None:
        self.head = head
        self.connection = connection
        self.started = False
        self.finished = False

    async def async_body(self, limit: int, timeout: float) -> bytes:
        """Return the whole body; raise BadRequestError when it is over limit."""
        await self._async_continue()
        parts: list[bytes] = []
        size = 0
        async with curio.ignore_after(timeout):
            while True:
                event = await self.connection.async_next_event(timeout)
                if isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
                if not isinstance(event, h11.Data):
                    raise CallerGoneError("the caller closed within the body")
                size += len(event.data)
                if size > limit:
                    raise BadRequestError(413, f"a body over {limit} bytes")
                parts.append(bytes(event.data))
        raise BadRequestError(408, "the body came too slowly")

    async def _async_continue(self) -> None:
        if not self.connection.h11.they_are_waiting_for_100_continue:
            return
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.connection.async_write(self.connection.h11.send(event))

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the head of the answer."""
        await self.connection.async_write(self._head(status, headers))

    def _head(self, status: int, headers: Headers) -> bytes:
        self.started = True
        reason = STATUS_TEXT.get(status, b"")
        event = h11.Response(status_code=status, headers=headers, reason=reason)
        return self.connection.h11.send(event)

    async def async_send(self, data: bytes) -> None:
        """Send a part of the body."""
        await self.connection.async_write(self.connection.h11.send(h11.Data(data=data)))

    async def async_finish(self) -> None:
        """End the body: the only place where an answer becomes whole."""
        data = self.connection.h11.send(h11.EndOfMessage())
        self.finished = True
        if data:
            await self.connection.async_write(data)

    async def async_cut(self) -> None:
        """End the connection without ending the answer."""
        await self.connection.async_reset()

    async def async_respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer with its length, in one write."""
        length = (b"content-length", str(len(body)).encode())
        headers = [*headers, length]
        if self.connection.closing:
            headers.append((b"connection", b"close"))
        data = self._head(status, headers)
        h11_connection = self.connection.h11
        if body and self.head.method != "HEAD":
            data += h11_connection.send(h11.Data(data=body))
        data += h11_connection.send(h11.EndOfMessage())
        self.finished = True
        await self.connection.async_write(data)
