"""An HTTP/1.1 client towards upstreams: one exchange at a time on a connection."""

from typing import Any

import curio
import h11
from curio import socket

from bitterntiller.components.http import const
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.http.models import (
    Headers,
    HttpResponse,
    ResponseHead,
    header,
)
from bitterntiller.core.tcp import async_connect

CLOSED_EARLY = "the upstream closed the connection before its answer was whole"


class ClientExchange:
    """A connection that carries one exchange, and is then closed or kept.

    A new connection for each exchange keeps answers from crossing: a late answer to
    an earlier request can't be read as the answer to this one. Where connections are
    kept, the caller of async_head compares the id that an answer names.

    With accept_close an answer without length or chunks ends with an orderly end of
    the connection, as HTTP has it; otherwise it counts as broken.
    """

    def __init__(self, sock: Any, allow_close_delimited: bool = False) -> None:
        self.idle_since = 0.0
        self.reused = False
        self._allow_close_delimited = allow_close_delimited
        self._keep_alive: float | None = None
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self._method = ""
        self._close_delimited = False
        self._chunked = False
        self._buffered_event: Any = h11.NEED_DATA
        self._buffer_drained = False
        self._idle_ticks = 0
        self._read_timeout_task: curio.Task | None = None
        self._sender: curio.Task | None = None

    @classmethod
    async def async_open(
        cls, address: str, timeout: float, allow_close_delimited: bool = False
    ) -> "ClientExchange":
        """Connect to IP:port; raise ConnectRefusedError when that fails."""
        ip, _, port = address.rpartition(":")
        try:
            sock = await async_connect(ip, int(port), timeout)
        except (OSError, ValueError, OverflowError) as error:
            raise ConnectRefusedError(f"{address}: {error!r}") from error
        return cls(sock, allow_close_delimited)

    @property
    def keep_alive(self) -> float | None:
        """Return after how many idle seconds the upstream closes, if it told."""
        return self._keep_alive

    async def async_prepare_reuse(self) -> bool:
        """Make ready for another exchange; False when that can't be.

        Neither while anything of this one is under way, nor when more bytes have
        come than the answer has: they belong to no request.
        """
        if self._read_timeout_task is not None:
            await self._read_timeout_task.cancel()
            self._read_timeout_task = None
        connection = self._h11
        done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        if self._sender is not None:
            # An answer that came before the end of a long request is whole; the rest
            # of the request is not, and the upstream still expects it here.
            done = done and self._sender.terminated
            await self._sender.cancel()
            self._sender = None
        if (
            not done
            or connection.trailing_data[0]
            or self._buffered_event is not h11.NEED_DATA
        ):
            return False
        connection.start_next_cycle()
        self._buffer_drained = False
        self._idle_ticks = 0
        self.reused = True
        return True

    def is_quiet(self) -> bool:
        """Tell whether nothing has come on an idle connection, not even its end."""
        try:
            with self._sock.blocking() as sock:
                sock.setblocking(False)
                sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def async_close(self) -> None:
        """Close the connection."""
        for task in (self._read_timeout_task, self._sender):
            if task is not None:
                await task.cancel()
        await self._sock.close()

    async def async_start_read_timeout(self, timeout: float) -> None:
        """Have the reading break when nothing comes for timeout seconds.

        The guard looks a few times in that while, and may let a part of it more
        pass. A timer for each reading would be a quarter of the work of relaying.
        """
        self._read_timeout_task = await curio.spawn(
            self._async_enforce_read_timeout, timeout, daemon=True
        )

    async def _async_enforce_read_timeout(self, timeout: float) -> None:
        while self._idle_ticks <= const.GUARD_TICKS:
            self._idle_ticks += 1
            await curio.sleep(timeout / const.GUARD_TICKS)
        try:
            await self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    async def async_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout: float,
        close: bool = True,
    ) -> None:
        """Send the request; raise IncompleteResponseError when it did not leave whole.

        close asks the upstream to close the connection after its answer.
        """
        self._method = method
        self._keep_alive = None
        names = {name for name, _ in headers}
        lines = list(headers)
        if b"host" not in names:
            lines.insert(0, (b"host", b"upstream"))
        if body or close or method not in const.BODYLESS_METHODS:
            lines.append((b"content-length", str(len(body)).encode()))
        if close:
            lines.append((b"connection", b"close"))
        head = h11.Request(method=method, target=target, headers=lines)
        self._request = _without_body(head)
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        if len(data) > const.SEND_AT_ONCE_BYTES:
            self._sender = await curio.spawn(self._async_send, data, daemon=True)
            return
        try:
            async with curio.timeout_after(timeout):
                await self._sock.sendall(data)
        except (OSError, curio.TaskTimeout) as error:
            raise IncompleteResponseError(f"sending broke: {error!r}") from error

    async def _async_send(self, data: bytes) -> None:
        """Send a long request; what goes wrong shows at the reading of the answer."""
        try:
            await self._sock.sendall(data)
        except OSError:
            await self._sock.shutdown(socket.SHUT_RD)

    async def async_head(self, timeout: float) -> ResponseHead:
        """Return the head of the answer; raise IncompleteResponseError."""
        while True:
            event = await self._async_event(timeout)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise IncompleteResponseError("the connection ended before the answer")
            self._close_delimited = self._is_close_delimited(event)
            self._keep_alive = keep_alive_seconds(event.headers)
            self._chunked = header(event.headers, b"transfer-encoding") is not None
            return ResponseHead(event.status_code, list(event.headers))

    async def async_data(self, timeout: float | None = None) -> bytes | None:
        """Return the next part of the body, None at its end marker.

        Raise IncompleteResponseError when the connection ends before the marker, the
        guard finds it silent, or nothing comes for timeout seconds where one is
        given. Parts that have arrived together come together.
        """
        if timeout is None:
            event = await self._async_next()
        else:
            event = await self._async_event(timeout)
        if isinstance(event, h11.EndOfMessage):
            self._check_complete()
            return None
        if not isinstance(event, h11.Data):
            raise IncompleteResponseError("the answer ended before its end marker")
        data = bytes(event.data)
        # Behind a chunk its line end is left; asking h11 for more would find that.
        # An answer with a length may be at its end, which only h11 can tell.
        if self._chunked and len(self._h11.trailing_data[0]) <= const.CHUNK_END_BYTES:
            self._buffer_drained = True
            return data
        return self._collect_buffered(data)

    async def async_skip_response(self) -> bool:
        """Read past an answer that came before the own one; False when it can't be."""
        try:
            while await self.async_data(const.SKIP_TIMEOUT) is not None:
                pass
        except IncompleteResponseError:
            return False
        rest = self._h11.trailing_data[0]
        if self._close_delimited:
            return False
        request = self._request
        self._h11 = h11.Connection(h11.CLIENT)
        # The request has left already; a new parser is only told of it.
        self._h11.send(request)
        self._h11.send(h11.EndOfMessage())
        self._buffer_drained = False
        if rest:
            self._h11.receive_data(rest)
        return True

    def _collect_buffered(self, data: bytes) -> bytes:
        parts = [data]
        while True:
            event = self._next_buffered_event()
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
        self._buffered_event = event
        return b"".join(parts)

    def _is_close_delimited(self, response: h11.Response) -> bool:
        if self._method == "HEAD" or response.status_code in const.BODYLESS_STATUSES:
            return False
        names = {name for name, _ in response.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))

    def _check_complete(self) -> None:
        """Raise IncompleteResponseError for a close-delimited response.

        A peer that dies within an answer without length or chunks closes its
        socket in order, which shows as a part taken for the whole answer.
        """
        if self._close_delimited and not self._allow_close_delimited:
            raise IncompleteResponseError("the answer has no end marker of its own")

    def _next_buffered_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            # Raised again at the next reading, after the parts before it.
            return error

    async def _async_event(self, timeout: float) -> Any:
        try:
            async with curio.timeout_after(timeout):
                return await self._async_next()
        except curio.TaskTimeout as error:
            raise IncompleteResponseError(f"reading broke: {error!r}") from error

    async def _async_next(self) -> Any:
        event = self._buffered_event
        self._buffered_event = h11.NEED_DATA
        closed = False
        try:
            while event is h11.NEED_DATA:
                if not self._buffer_drained:
                    event = self._next_buffered_event()
                if event is h11.NEED_DATA:
                    data = await self._sock.recv(const.READ_BYTES)
                    self._idle_ticks = 0
                    self._buffer_drained = False
                    closed = not data
                    self._h11.receive_data(data)
        except OSError as error:
            raise IncompleteResponseError(f"reading broke: {error!r}") from error
        if isinstance(event, h11.RemoteProtocolError):
            text = CLOSED_EARLY if closed else str(event)
            raise IncompleteResponseError(text) from event
        return event


def _without_body(request: h11.Request) -> h11.Request:
    """Return a request as its answer depends on it: without the framing of a body."""
    framing = (b"content-length", b"transfer-encoding")
    headers = [item for item in request.headers if item[0] not in framing]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def keep_alive_seconds(headers: Headers) -> float | None:
    """Return the timeout that a Keep-Alive header tells, in seconds."""
    value = header(headers, b"keep-alive") or ""
    for part in value.split(","):
        name, _, text = part.partition("=")
        text = text.strip()
        if name.strip().lower() != "timeout":
            continue
        if text.isascii() and text.isdigit():
            return float(text)
    return None


async def async_fetch(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout: float,
) -> HttpResponse:
    """Return a whole answer; raise ConnectRefusedError or IncompleteResponseError."""
    exchange = await ClientExchange.async_open(address, timeout)
    try:
        await exchange.async_request(method, target, headers, body, timeout)
        head = await exchange.async_head(timeout)
        await exchange.async_start_read_timeout(timeout)
        parts = []
        while (data := await exchange.async_data()) is not None:
            parts.append(data)
        return HttpResponse(head.status, head.headers, b"".join(parts))
    finally:
        await exchange.async_close()
