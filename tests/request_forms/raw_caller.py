"""A caller that writes bytes and reads HTTP responses from one connection."""

from typing import Any, NamedTuple

import curio
import h11

READ_SECONDS = 1.5


class RawResponse(NamedTuple):
    """A response to one request; headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class RawCaller:
    """Reads responses in order; closed is set once the host has closed."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._left = b""
        self.closed = False

    async def async_send(self, data: bytes) -> None:
        """Send bytes; the host may have closed already."""
        try:
            await self._sock.sendall(data)
        except OSError:
            self.closed = True

    async def async_half_close(self) -> None:
        """Close the sending side."""
        await self._sock.shutdown(1)

    async def async_responses(self, method: str) -> list[RawResponse]:
        """Return the interim responses and the final one, nothing without one."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        parser.send(h11.EndOfMessage())
        if self._left:
            parser.receive_data(self._left)
        found: list[RawResponse] = []
        async with curio.ignore_after(READ_SECONDS):
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    data = await self._async_receive()
                    if not data and self._at_end(parser):
                        return found
                    parser.receive_data(data)
                elif isinstance(event, h11.InformationalResponse | h11.Response):
                    headers = dict(event.headers)
                    found.append(RawResponse(event.status_code, headers, b""))
                elif isinstance(event, h11.Data):
                    last = found[-1]
                    found[-1] = last._replace(body=last.body + bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._left = parser.trailing_data[0]
                    return found
                else:
                    return found
        return found

    def _at_end(self, parser: h11.Connection) -> bool:
        return parser.their_state is not h11.SEND_BODY

    async def _async_receive(self) -> bytes:
        try:
            data = await self._sock.recv(65536)
        except ConnectionError:
            data = b""
        self.closed = self.closed or not data
        return data
