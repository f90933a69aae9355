"""Streams whose upstreams send comments ahead of their events."""

from typing import Any

import curio

from tests.platform import builders
from tests.platform.builders import chunk, event
from tests.platform.test_silent_upstreams import (
    FIRST,
    REST,
    async_never_answer,
    patient_host,
)
from tests.platform.test_streams import body_of
from tests.platform.test_unended_responses import async_send_on

COMMENTS = chunk(b": alive " + b"x" * 16000 + b"\n\n")


def test_comments_beside_a_silent_run_are_not_kept():
    """Without an event they go on until the deadline, and memory has no bound."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await async_never_answer(sock)
            return
        await sock.sendall(builders.STREAM_HEAD)
        for _ in range(100):
            await sock.sendall(COMMENTS)
        await sock.sendall(FIRST + REST)

    async def async_main() -> bytes:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), 4.0)

    received = curio.run(async_main)
    assert event(1) + event(2) in body_of(received)
    assert received.endswith(builders.LAST_CHUNK)
    assert len(received) < 10 * len(COMMENTS)


def test_stream_goes_on_at_an_upstream_that_sends_a_comment_first():
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await sock.sendall(builders.STREAM_HEAD + FIRST)
            await sock.close()
            return
        await sock.sendall(builders.STREAM_HEAD + chunk(b": alive\n\n"))
        await curio.sleep(0.1)
        await sock.sendall(REST)

    async def async_main() -> tuple[bytes, int]:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), 4.0), len(host.requests)

    received, sent = curio.run(async_main)
    assert event(2) in body_of(received)
    assert received.endswith(builders.LAST_CHUNK)
    assert sent == 2


def test_stream_of_comments_without_an_event_is_served_by_another_upstream():
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number:
            await sock.sendall(builders.STREAM_HEAD + FIRST + REST)
            return
        await sock.sendall(builders.STREAM_HEAD)
        await async_send_on(sock, chunk(b": alive\n\n"), 0.1)

    async def async_main() -> tuple[bytes, int]:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), 4.0), len(host.requests)

    received, sent = curio.run(async_main)
    assert event(1) + event(2) in body_of(received)
    assert received.endswith(builders.LAST_CHUNK)
    assert sent == 2
