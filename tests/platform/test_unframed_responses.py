"""A response whose upstream falls silent or resets the connection has not ended."""

import struct
from typing import Any

import curio
import pytest
from curio import socket

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import IncompleteResponseError
from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import chunk, event

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Engine-Signature: s1\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
CALL_HEAD = HEAD + b"Content-Type: text/plain\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
BODY_BYTES = 8_000_000

ROUTES = {
    "stream": builders.route(stream_resume=False),
    "resumable stream": builders.route(),
    "call": builders.route(route_kind="non_idempotent", stream_resume=False),
    "repeatable call": builders.route(route_kind="idempotent", stream_resume=False),
}


def outcomes(upstream: builders.Upstream, kind: str) -> tuple[bytes, list[str]]:
    """Return what the caller receives and the logged outcomes of its request."""
    document = builders.document(
        ROUTES[kind],
    )

    async def async_ask() -> bytes:
        async with builders.entry_host(upstream, document) as host:
            return await host.async_ask(builders.request())

    with recording() as recorded:
        received = curio.run(async_ask)
    return received, [line["outcome"] for line in recorded.by_kind.get("ended", [])]


def is_whole(received: bytes) -> bool:
    head, _, body = received.partition(b"\r\n\r\n")
    whole_body = b"content-length" in head.lower() or body.endswith(builders.LAST_CHUNK)
    return b" 200 " in head and whole_body


@pytest.mark.parametrize("kind", ROUTES)
def test_silent_response_without_framing_is_not_whole(kind):
    """A part of a response must not be relayed as the whole one after a timeout."""

    async def async_fall_silent(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(STREAM_HEAD if "stream" in kind else CALL_HEAD)
        await sock.sendall(event(1))
        await curio.sleep(3.0)

    received, ended = outcomes(async_fall_silent, kind)
    assert not is_whole(received)
    assert "done" not in ended


async def async_reset(sock: Any, data: bytes, number: int) -> None:
    await sock.sendall(CALL_HEAD + event(1))
    await curio.sleep(0.1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await sock.close()


def test_reset_that_the_sending_of_a_long_request_sees_first_ends_no_response():
    """A reset is told to one call of the socket only; the next reading sees an end."""

    async def async_read() -> bytes:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        exchange = await ClientExchange.async_open(address, 1.0, True)
        sock, _ = await listener.accept()
        await exchange.async_request("POST", "/", [], b"x" * BODY_BYTES, 1.0)
        await async_reset(sock, b"", 0)
        await curio.sleep(0.1)
        head = await exchange.async_head(1.0)
        assert head.status == 200
        parts = []
        while (data := await exchange.async_data(1.0)) is not None:
            parts.append(data)
        return b"".join(parts)

    with pytest.raises(IncompleteResponseError):
        curio.run(async_read)


@pytest.mark.parametrize("kind", ["stream", "call"])
def test_response_that_goes_on_after_a_silence_is_relayed_whole(kind):
    """Silence is no end: nothing else can continue this response, and time is left."""

    async def async_pause(sock: Any, data: bytes, number: int) -> None:
        if kind == "stream":
            await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
            await curio.sleep(0.8)
            await sock.sendall(chunk(event(2)) + builders.LAST_CHUNK)
            return
        await sock.sendall(HEAD + b"Content-Length: 8\r\n\r\nhalf")
        await curio.sleep(0.8)
        await sock.sendall(b"half")

    received, ended = outcomes(async_pause, kind)
    assert is_whole(received)
    assert ended == ["done"]
