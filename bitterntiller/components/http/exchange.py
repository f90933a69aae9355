"""A caller's request and its response, over an h11 connection."""

import os
import re
from collections.abc import Callable
from typing import Any

import curio
import h11
from curio import socket

from bitterntiller.components.http.const import (
    BODYLESS_STATUSES,
    LINGER_BYTES,
    LINGER_SECONDS,
    MAX_EMPTY_BYTES,
    MAX_HEAD_LINES,
    READ_BYTES,
    STATUS_TEXT,
    UNPARSED_HEAD_FACTOR,
)
from bitterntiller.components.http.errors import BadRequestError, CallerGoneError
from bitterntiller.components.http.models import Headers, RequestHead
from bitterntiller.core.tcp import is_writable, reset_on_close
from bitterntiller.core.timeouts import ignore_after, timeout_after
from bitterntiller.core.turns import Turns

TARGET_TOO_LONG = 414
HEAD_TOO_LARGE = 431

_HEAD_END = re.compile(rb"\n\r?\n")

ReserveBytes = Callable[[int], bool]
"""Reserves memory for the first bytes of a body; returns False if there is none."""

_READ_WHOLE = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED, h11.MIGHT_SWITCH_PROTOCOL)
"""States of h11 in which a request was read completely. The last one is that of a
request with Upgrade, which is answered as if it had none."""


class ServerConnection:
    """A caller's connection: h11 state, socket and timeouts in seconds.

    head_bytes returns the limit of a request's head. requests counts the requests that
    were answered on the connection. request_begun states whether bytes of the current
    request have arrived. idle_limit is how long the connection may wait for them.

    Only one task reads at a time: the exchange while the request arrives, then
    async_watch() until the response is sent.
    """

    def __init__(
        self, sock: Any, head_bytes: Callable[[], int], write_timeout: float
    ) -> None:
        self._head_bytes = head_bytes
        self.h11 = self._new_parser()
        self.sock = sock
        self.write_timeout = write_timeout
        self.disconnected = False
        self.closing = False
        self.requests = 0
        self.request_begun = False
        self.idle_limit = 0.0
        self._empty_bytes = 0
        self._turns = Turns()
        self._last_read_bytes = 0

    def _new_parser(self) -> h11.Connection:
        most = self._head_bytes() * UNPARSED_HEAD_FACTOR
        return h11.Connection(h11.SERVER, max_incomplete_event_size=most)

    def begin_next_request(self) -> None:
        """Prepare for the request after one that was read and answered completely."""
        received, closed = self.h11.trailing_data
        self.requests += 1
        self.request_begun = False
        self._empty_bytes = 0
        self.h11 = self._new_parser()
        if received:
            self._feed(received)
        if closed:
            self._feed(b"")

    def _feed(self, data: bytes) -> None:
        """Parse received bytes, empty ones if the caller has closed its side.

        Empty lines before a request line are ignored, as RFC 9112 asks: some clients
        send one after a body.
        """
        if data and not self.request_begun:
            received = len(data)
            data = data.lstrip(b"\r\n")
            self._empty_bytes += received - len(data)
            if not data:
                return
            self.request_begun = True
            # The limit may have changed since the connection was idle.
            self.h11 = self._new_parser()
        self.h11.receive_data(data)

    @property
    def peer(self) -> str:
        """The caller's IP:port, empty if the connection is gone."""
        try:
            ip, port = self.sock.getpeername()[:2]
        except OSError:
            return ""
        return f"{ip}:{port}"

    async def async_next_event(self, timeout: float) -> Any:
        """Return h11's next event.

        Raise BadRequestError for bytes that are not HTTP or arrive too slowly, and
        CallerGoneError if the connection fails.
        """
        try:
            async with timeout_after(timeout):
                while True:
                    self._check_head_lines()
                    event = self.h11.next_event()
                    if event is not h11.NEED_DATA:
                        return event
                    self._feed(await self._async_receive())
                    if self._sends_no_request():
                        raise BadRequestError(400, "empty lines and no request")
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            if status == HEAD_TOO_LARGE and not self._has_request_line():
                status = TARGET_TOO_LONG
            raise BadRequestError(status, str(error)) from error
        except curio.TaskTimeout:
            raise BadRequestError(408, "the request came too slowly") from None

    def _check_head_lines(self) -> None:
        """Raise BadRequestError if the head that arrives has too many lines.

        Their number is what a head costs, and h11 parses all of them at once.
        """
        if self.h11.their_state is not h11.IDLE:
            return
        received = self.h11.trailing_data[0]
        if received.count(b"\n") <= MAX_HEAD_LINES:
            return
        end = _HEAD_END.search(received)
        if received.count(b"\n", 0, end.end() if end else None) > MAX_HEAD_LINES:
            raise BadRequestError(HEAD_TOO_LARGE, f"over {MAX_HEAD_LINES} lines")

    def _sends_no_request(self) -> bool:
        return not self.request_begun and self._empty_bytes > MAX_EMPTY_BYTES

    def _has_request_line(self) -> bool:
        return b"\n" in self.h11.trailing_data[0]

    async def _async_receive(self) -> bytes:
        """Return the next bytes; let other tasks run before them if it is their turn.

        No other wait follows a read, in which a cancellation would lose its bytes.
        """
        await self._turns.async_count(self._last_read_bytes)
        try:
            data = await self.sock.recv(READ_BYTES)
        except OSError as error:
            self.disconnected = True
            raise CallerGoneError(repr(error)) from error
        self._last_read_bytes = len(data)
        return data

    async def async_count_event(self, size: int) -> None:
        """Count a part of received bytes, so that other tasks run between parts."""
        await self._turns.async_count(size)

    async def async_wait_bytes(self) -> bool:
        """Wait for bytes of the next request; return False if there will be none.

        The caller has closed then, or sends only empty lines.
        """
        while not self.request_begun:
            data = await self._async_receive()
            self._feed(data)
            if not data or self._sends_no_request():
                return False
        return True

    async def async_skip_received_body(self) -> bool:
        """Discard the received rest of the body; return whether that was all of it."""
        if self.h11.they_are_waiting_for_100_continue:
            return False
        try:
            while self.h11.their_state is h11.SEND_BODY:
                event = self.h11.next_event()
                if event is h11.NEED_DATA:
                    return False
                if isinstance(event, h11.Data):
                    await self.async_count_event(len(event.data))
        except h11.RemoteProtocolError:
            return False
        return self.h11.their_state in _READ_WHOLE

    async def async_watch(self) -> None:
        """Return once the caller closes its side while the response is produced.

        Bytes of pipelined requests are stored. While more than READ_BYTES of them wait,
        reading stops, since it would buffer without bound and copy all of them for each
        request; a disconnect then shows only at the next write.
        """
        kept = len(self.h11.trailing_data[0])
        while kept <= READ_BYTES:
            try:
                data = await self._async_receive()
            except CallerGoneError:
                data = b""
            if not data:
                self.disconnected = True
                return
            self._feed(data)
            kept += len(data)
        await curio.Event().wait()

    async def async_write(self, data: bytes) -> None:
        """Send bytes; raise CallerGoneError if the caller does not read them.

        The kernel mostly accepts all bytes at once, so a timer is set only if not.
        """
        try:
            sent = os.write(self.sock.fileno(), data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.disconnected = True
            raise CallerGoneError(repr(error)) from error
        if sent < len(data):
            await self._async_write_rest(memoryview(data)[sent:])

    async def _async_write_rest(self, data: memoryview) -> None:
        try:
            async with timeout_after(self.write_timeout):
                await self.sock.sendall(data)
        except curio.TaskTimeout:
            self.disconnected = True
            raise CallerGoneError("the caller stopped reading") from None
        except OSError as error:
            self.disconnected = True
            raise CallerGoneError(repr(error)) from error

    async def async_reset(self) -> None:
        """Make the connection end with a TCP reset once its handler returns.

        A truncated response must never look complete. To an HTTP/1.0 caller, a
        response without a length ends with an orderly close, so only a reset shows the
        truncation. The socket is not closed here, because async_watch() may still wait
        on it: the next socket would get the same file descriptor and with it that
        wait, and its connect would fail.
        """
        self.disconnected = True
        reset_on_close(self.sock)

    async def async_linger(self) -> None:
        """Shut down the write side and discard what the caller still sends.

        Closing with unread bytes makes the kernel send a reset, which discards a
        response that the caller has not read yet. A caller that is refused while it
        sends its body would see a connection error instead of the refusal. After a
        request that was read completely there is nothing to discard. The time and the
        bytes are bounded.
        """
        if self.h11.their_state in _READ_WHOLE:
            return
        left = LINGER_BYTES
        try:
            await self.sock.shutdown(socket.SHUT_WR)
            async with ignore_after(LINGER_SECONDS):
                while left > 0 and (data := await self._async_receive()):
                    left -= len(data)
        except (OSError, CallerGoneError):
            return


def _reserve_any(size: int) -> bool:
    return True


class Exchange:
    """A request and its response; body_bytes counts the bytes of its body so far.

    finished is set before the end of the response is written, sent after that.
    """

    def __init__(self, connection: ServerConnection, head: RequestHead) -> None:
        self.head = head
        self.connection = connection
        self.started = False
        self.finished = False
        self.sent = False
        self.body_bytes = 0

    async def async_body(self, limit: int, timeout: float) -> bytes:
        """Return the complete body; raise BadRequestError if it exceeds limit."""
        return await self.async_reserved_body(limit, timeout, _reserve_any) or b""

    async def async_reserved_body(
        self, limit: int, timeout: float, reserve: ReserveBytes
    ) -> bytes | None:
        """Return the complete body, None if memory for it can't be reserved.

        reserve is called before more of the body is kept. Raise BadRequestError if the
        body exceeds limit bytes or timeout seconds.
        """
        await self._async_continue()
        body = bytearray()
        async with ignore_after(timeout):
            while True:
                event = await self.connection.async_next_event(timeout)
                if isinstance(event, h11.EndOfMessage):
                    return bytes(body)
                if not isinstance(event, h11.Data):
                    raise CallerGoneError("the caller closed within the body")
                self.body_bytes += len(event.data)
                if self.body_bytes > limit:
                    raise BadRequestError(413, f"a body over {limit} bytes")
                if not reserve(self.body_bytes):
                    return None
                body += event.data
                await self.connection.async_count_event(len(event.data))
        raise BadRequestError(408, "the body came too slowly")

    async def _async_continue(self) -> None:
        if not self.connection.h11.they_are_waiting_for_100_continue:
            return
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.connection.async_write(self.connection.h11.send(event))

    async def async_start(self, status: int, headers: Headers) -> None:
        """Send the head of the response, which announces a close that is due."""
        if self.connection.closing:
            headers = [*headers, (b"connection", b"close")]
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
        """End the body; only here a streamed response becomes complete."""
        data = self.connection.h11.send(h11.EndOfMessage())
        self.finished = True
        if data:
            await self.connection.async_write(data)
        self.sent = True

    def keeps_up(self) -> bool:
        """Return whether the caller has read so much that more can be sent at once."""
        return is_writable(self.connection.sock)

    async def async_cut(self) -> None:
        """Reset the connection without completing the response."""
        await self.connection.async_reset()

    async def async_respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its length in one write.

        It announces the close of the connection if the rest of the request's body
        hasn't arrived: that would be taken for the next request.
        """
        headers = list(headers)
        if status not in BODYLESS_STATUSES:
            headers.append((b"content-length", str(len(body)).encode()))
        connection = self.connection
        if connection.closing or not await connection.async_skip_received_body():
            headers.append((b"connection", b"close"))
        data = self._head(status, headers)
        h11_connection = self.connection.h11
        if body and self.head.method != "HEAD":
            data += h11_connection.send(h11.Data(data=body))
        data += h11_connection.send(h11.EndOfMessage())
        self.finished = True
        await self.connection.async_write(data)
        self.sent = True
