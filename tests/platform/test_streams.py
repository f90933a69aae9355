"""Tests of streams through an entry host of the platform."""

from typing import Any

import curio

from bitterntiller.protocol import messages
from tests.platform import builders
from tests.platform.builders import chunk, event


def body_of(received: bytes) -> bytes:
    """Return the decoded body of a chunked response."""
    rest = received.partition(b"\r\n\r\n")[2]
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body


def test_stream_that_breaks_within_an_event_is_resumed():
    """A caller must not get an event composed of halves of two events.

    An upstream dies in the middle of an event. The stream is resumed on another
    upstream after the last complete event, and the buffered half must be discarded.
    """

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            half = event(3)[:9]
            await sock.sendall(
                builders.STREAM_HEAD + chunk(event(1) + event(2)) + chunk(half)
            )
            await sock.close()
            return
        assert b"last-event-id: 2" in data.lower()
        rest = chunk(event(3)) + chunk(event(4))
        await sock.sendall(builders.STREAM_HEAD + rest + builders.LAST_CHUNK)

    async def async_main() -> tuple[bytes, list[Any]]:
        async with builders.entry_host(upstream) as host:
            received = await host.async_ask(builders.request())
            await curio.sleep(0.1)
            return received, host.links.of(messages.Finished)

    received, finished = curio.run(async_main)
    assert body_of(received) == event(1) + event(2) + event(3) + event(4)
    assert received.endswith(builders.LAST_CHUNK)
    assert [item.outcome for item in finished] == ["done"]


def test_stream_that_may_not_be_resumed_is_truncated():
    """A truncated stream must not look complete, and its request must not run twice."""
    document = builders.document(builders.route(stream_resume=False))

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
        await sock.close()

    async def async_main() -> tuple[bytes, int]:
        async with builders.entry_host(upstream, document) as host:
            received = await host.async_ask(builders.request())
            return received, len(host.requests)

    received, sent = curio.run(async_main)
    assert event(1) in received
    assert not received.endswith(builders.LAST_CHUNK)
    assert sent == 1
