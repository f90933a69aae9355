"""An HTTP/1.1 client for one exchange with an upstream, on one connection."""

from typing import Any

import curio
import h11
from curio import socket

from bitterntiller.components.http import const
from bitterntiller.components.http.errors import (
    BrokenAnswerError,
    ConnectRefusedError,
)
from bitterntiller.components.http.models import Headers, HttpResponse, ResponseHead
from bitterntiller.core.dialling import async_connect


class ClientExchange:
    """A connection that carries one exchange and is then closed.

    One exchange a connection keeps answers from crossing: a late answer to an
    earlier request can't be read as the answer to this one.
    """

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self._method = ""
        self._ends_by_close = False
        self._kept: Any = h11.NEED_DATA
        self._used_up = False
        self._quiet_ticks = 0
        self._guard: curio.Task | None = None

    @classmethod
    async def async_open(cls, address: str, timeout: float) -> "ClientExchange":
        """Connect to IP:port; raise ConnectRefusedError when that fails."""
        ip, _, port = address.rpartition(":")
        try:
            sock = await async_connect(ip, int(port), timeout)
        except (OSError, ValueError, OverflowError) as error:
            raise ConnectRefusedError(f"{address}: {error!r}") from error
        return cls(sock)

    async def async_close(self) -> None:
        """Close the connection."""
        if self._guard is not None:
            await self._guard.cancel()
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
        self, method: str, target: str, headers: Headers, body: bytes, timeout: float
    ) -> None:
        """Send the request; raise BrokenAnswerError when it did not leave whole."""
        self._method = method
        names = {name for name, _ in headers}
        lines = list(headers)
        if b"host" not in names:
            lines.insert(0, (b"host", b"upstream"))
        lines.append((b"content-length", str(len(body)).encode()))
        lines.append((b"connection", b"close"))
        head = h11.Request(method=method, target=target, headers=lines)
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        try:
            async with curio.timeout_after(timeout):
                await self._sock.sendall(data)
        except (OSError, curio.TaskTimeout) as error:
            raise BrokenAnswerError(f"sending broke: {error!r}") from error

    async def async_head(self, timeout: float) -> ResponseHead:
        """Return the head of the answer; raise BrokenAnswerError."""
        while True:
            event = await self._async_event(timeout)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise BrokenAnswerError("the connection ended before the answer")
            self._ends_by_close = self._without_end_mark(event)
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
        if len(self._h11.trailing_data[0]) <= const.CHUNK_END_BYTES:
            self._used_up = True
            return data
        return self._with_more(data)

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
        if self._ends_by_close:
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
        try:
            while event is h11.NEED_DATA:
                if not self._used_up:
                    event = self._try_next()
                if event is h11.NEED_DATA:
                    data = await self._sock.recv(const.READ_BYTES)
                    self._quiet_ticks = 0
                    self._used_up = False
                    self._h11.receive_data(data)
        except OSError as error:
            raise BrokenAnswerError(f"reading broke: {error!r}") from error
        if isinstance(event, h11.RemoteProtocolError):
            raise BrokenAnswerError(str(event)) from event
        return event


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
