"""An HTTP/1.1 client towards upstreams: one exchange at a time on a connection."""

from typing import Any

import curio
import h11
from curio import socket

from bitterntiller.components.http import const
from bitterntiller.components.http.errors import (
    BrokenAnswerError,
    ConnectRefusedError,
)
from bitterntiller.components.http.models import (
    Headers,
    HttpResponse,
    ResponseHead,
    header,
)
from bitterntiller.core.dialling import async_connect

CLOSED_EARLY = "the upstream closed the connection before its answer was whole"


class ClientExchange:
    """A connection that carries one exchange, and is then closed or kept.

    A new connection for each exchange keeps answers from crossing: a late answer to
    an earlier request can't be read as the answer to this one. Where connections are
    kept, the caller of async_head compares the id that an answer names.

    With accept_close an answer without length or chunks ends with an orderly end of
    the connection, as HTTP has it; otherwise it counts as broken.
    """

    def __init__(self, sock: Any, accept_close: bool = False) -> None:
        self.idle_since = 0.0
        self.kept = False
        self._accept_close = accept_close
        self._keep_alive: float | None = None
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self._method = ""
        self._ends_by_close = False
        self._chunked = False
        self._kept: Any = h11.NEED_DATA
        self._used_up = False
        self._quiet_ticks = 0
        self._guard: curio.Task | None = None
        self._sender: curio.Task | None = None

    @classmethod
    async def async_open(
        cls, address: str, timeout: float, accept_close: bool = False
    ) -> "ClientExchange":
        """Connect to IP:port; raise ConnectRefusedError when that fails."""
        ip, _, port = address.rpartition(":")
        try:
            sock = await async_connect(ip, int(port), timeout)
        except (OSError, ValueError, OverflowError) as error:
            raise ConnectRefusedError(f"{address}: {error!r}") from error
        return cls(sock, accept_close)

    @property
    def keep_alive(self) -> float | None:
        """Return after how many idle seconds the upstream closes, if it told."""
        return self._keep_alive

    async def async_release(self) -> bool:
        """Make ready for another exchange; False when that can't be.

        Neither while anything of this one is under way, nor when more bytes have
        come than the answer has: they belong to no request.
        """
        if self._guard is not None:
            await self._guard.cancel()
            self._guard = None
        connection = self._h11
        done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        if self._sender is not None:
            # An answer that came before the end of a long request is whole; the rest
            # of the request is not, and the upstream still expects it here.
            done = done and self._sender.terminated
            await self._sender.cancel()
            self._sender = None
        if not done or connection.trailing_data[0] or self._kept is not h11.NEED_DATA:
            return False
        connection.start_next_cycle()
        self._used_up = False
        self._quiet_ticks = 0
        self.kept = True
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
        for task in (self._guard, self._sender):
            if task is not None:
                await task.cancel()
        await self._sock.close()

    async def async_guard(self, timeout: float) -> None:
        """Have the reading break when nothing comes for timeout seconds.

        The guard looks a few times in that while, and may let a part of it more
        pass. A timer for each reading would be a quarter of the work of relaying.
        """
        self._guard = await curio.spawn(self._async_guard, timeout, daemon=True)

    async def _async_guard(self, timeout: float) -> None:
        while self._quiet_ticks <= const.GUARD_TICKS:
            self._quiet_ticks += 1
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
        """Send the request; raise BrokenAnswerError when it did not leave whole.

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
            raise BrokenAnswerError(f"sending broke: {error!r}") from error

    async def _async_send(self, data: bytes) -> None:
        """Send a long request; what goes wrong shows at the reading of the answer."""
        try:
            await self._sock.sendall(data)
        except OSError:
            await self._sock.shutdown(socket.SHUT_RD)

    async def async_head(self, timeout: float) -> ResponseHead:
        """Return the head of the answer; raise BrokenAnswerError."""
        while True:
            event = await self._async_event(timeout)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenAnswerError("the connection ended before the answer")
            self._ends_by_close = self._without_end_mark(event)
            self._keep_alive = keep_alive_seconds(event.headers)
            self._chunked = header(event.headers, b"transfer-encoding") is not None
            return ResponseHead(event.status_code, list(event.headers))

    async def async_data(self, timeout: float | None = None) -> bytes | None:
        """Return the next part of the body, None at its end marker.

        Raise BrokenAnswerError when the connection ends before the marker, the
        guard finds it silent, or nothing comes for timeout seconds where one is
        given. Parts that have arrived together come together.
        """
        if timeout is None:
            event = await self._async_next()
        else:
            event = await self._async_event(timeout)
        if isinstance(event, h11.EndOfMessage):
            self._check_end_mark()
            return None
        if not isinstance(event, h11.Data):
            raise BrokenAnswerError("the answer ended before its end marker")
        data = bytes(event.data)
        # Behind a chunk its line end is left; asking h11 for more would find that.
        # An answer with a length may be at its end, which only h11 can tell.
        if self._chunked and len(self._h11.trailing_data[0]) <= const.CHUNK_END_BYTES:
            self._used_up = True
            return data
        return self._with_more(data)

    async def async_skip(self) -> bool:
        """Read past an answer that came before the own one; False when it can't be."""
        try:
            while await self.async_data(const.SKIP_TIMEOUT) is not None:
                pass
        except BrokenAnswerError:
            return False
        rest = self._h11.trailing_data[0]
        if self._ends_by_close:
            return False
        request = self._request
        self._h11 = h11.Connection(h11.CLIENT)
        # The request has left already; a new parser is only told of it.
        self._h11.send(request)
        self._h11.send(h11.EndOfMessage())
        self._used_up = False
        if rest:
            self._h11.receive_data(rest)
        return True

    def _with_more(self, data: bytes) -> bytes:
        parts = [data]
        while True:
            event = self._try_next()
            if not isinstance(event, h11.Data):
                break
            parts.append(bytes(event.data))
        self._kept = event
        return b"".join(parts)

    def _without_end_mark(self, response: h11.Response) -> bool:
        if self._method == "HEAD" or response.status_code in const.BODYLESS_STATUSES:
            return False
        names = {name for name, _ in response.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))

    def _check_end_mark(self) -> None:
        """Raise BrokenAnswerError for an end that only the connection's end tells.

        A peer that dies within an answer without length or chunks closes its
        socket in order, which shows as a part taken for the whole answer.
        """
        if self._ends_by_close and not self._accept_close:
            raise BrokenAnswerError("the answer has no end marker of its own")

    def _try_next(self) -> Any:
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
            raise BrokenAnswerError(f"reading broke: {error!r}") from error

    async def _async_next(self) -> Any:
        event = self._kept
        self._kept = h11.NEED_DATA
        closed = False
        try:
            while event is h11.NEED_DATA:
                if not self._used_up:
                    event = self._try_next()
                if event is h11.NEED_DATA:
                    data = await self._sock.recv(const.READ_BYTES)
                    self._quiet_ticks = 0
                    self._used_up = False
                    closed = not data
                    self._h11.receive_data(data)
        except OSError as error:
            raise BrokenAnswerError(f"reading broke: {error!r}") from error
        if isinstance(event, h11.RemoteProtocolError):
            text = CLOSED_EARLY if closed else str(event)
            raise BrokenAnswerError(text) from event
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
    """Return a whole answer; raise ConnectRefusedError or BrokenAnswerError."""
    exchange = await ClientExchange.async_open(address, timeout)
    try:
        await exchange.async_request(method, target, headers, body, timeout)
        head = await exchange.async_head(timeout)
        await exchange.async_guard(timeout)
        parts = []
        while (data := await exchange.async_data()) is not None:
            parts.append(data)
        return HttpResponse(head.status, head.headers, b"".join(parts))
    finally:
        await exchange.async_close()
