"""Upstreams that fall silent for a while during a response, and then go on."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio
import pytest

from bitterntiller.components.entry.retry_budget import RetryBudget
from bitterntiller.protocol import messages
from tests.platform import builders
from tests.platform.builders import chunk, event
from tests.platform.test_streams import body_of

SILENCE = 1.6
"""Seconds; longer than it takes to look for another upstream."""

ASK_SECONDS = 5.0
NO_RETRIES = RetryBudget(per_request=0.0, max_retries=lambda: 0.0)
FIRST, REST = chunk(event(1)), chunk(event(2)) + builders.LAST_CHUNK


async def async_pause_in_stream(sock: Any, data: bytes, number: int) -> None:
    await sock.sendall(builders.STREAM_HEAD + FIRST)
    await curio.sleep(SILENCE)
    await sock.sendall(REST)


async def async_pause_before_head(sock: Any, data: bytes, number: int) -> None:
    await curio.sleep(SILENCE)
    await sock.sendall(builders.STREAM_HEAD + FIRST + REST)


@asynccontextmanager
async def patient_host(
    upstream: builders.Upstream, **settings: Any
) -> AsyncIterator[builders.EntryHost]:
    """Run an entry host that waits long for silent upstreams."""
    async with builders.entry_host(upstream, idle_seconds=9.0, **settings) as host:
        yield host


@pytest.mark.parametrize("pause", [async_pause_in_stream, async_pause_before_head])
@pytest.mark.parametrize("reason", ["too-late", "shed"])
def test_response_of_a_silent_upstream_is_kept_if_no_other_takes_it(pause, reason):
    async def async_main() -> tuple[bytes, int]:
        async with patient_host(pause) as host:
            host.links.refused_as = reason
            received = await host.async_ask(builders.request(), ASK_SECONDS)
            return received, len(host.requests)

    received, sent = curio.run(async_main)
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)
    assert sent == 1


@pytest.mark.parametrize("pause", [async_pause_in_stream, async_pause_before_head])
def test_response_of_a_silent_upstream_is_kept_without_a_retry_left(pause):
    async def async_main() -> bytes:
        async with patient_host(pause, retries=NO_RETRIES) as host:
            return await host.async_ask(builders.request(), ASK_SECONDS)

    received = curio.run(async_main)
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)


async def async_never_answer(sock: Any) -> None:
    """Wait until the host closes the connection."""
    while await sock.recv(1000):
        pass


def test_stream_of_a_silent_upstream_goes_on_at_another():
    closed = []

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number:
            await sock.sendall(builders.STREAM_HEAD + REST)
            return
        await sock.sendall(builders.STREAM_HEAD + FIRST)
        await async_never_answer(sock)
        closed.append(number)

    async def async_main() -> tuple[bytes, list[bytes], list[Any]]:
        async with patient_host(async_upstream) as host:
            received = await host.async_ask(builders.request(), ASK_SECONDS)
            await curio.sleep(0.1)
            return received, host.requests, host.links.of(messages.Finished)

    received, requests, finished = curio.run(async_main)
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)
    assert b"last-event-id: 1" in requests[1].lower()
    assert closed == [0]
    assert [item.outcome for item in finished] == ["done"]


def test_upstream_that_goes_on_before_another_has_begun_keeps_its_stream():
    closed = []

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await async_pause_in_stream(sock, data, number)
            return
        await async_never_answer(sock)
        closed.append(number)

    async def async_main() -> tuple[bytes, builders.EntryHost]:
        async with patient_host(async_upstream) as host:
            received = await host.async_ask(builders.request(), ASK_SECONDS)
            await curio.sleep(0.1)
            return received, host

    received, host = curio.run(async_main)
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)
    assert closed == [1]
    first = host.links.of(messages.Started)[0].upstream
    (kept,) = [item for item in host.links.of(messages.Started) if item.running]
    assert kept.running.upstream == kept.upstream == first
    (finished,) = host.links.of(messages.Finished)
    assert (finished.upstream, finished.outcome) == (first, "done")
    assert not host.coordinator.registry.by_id


@pytest.mark.parametrize(
    "answer",
    [
        builders.response(b"", b"503 Full", b"X-Not-Executed: 1"),
        builders.response(b"", b"500 Failed"),
        b"",
    ],
)
def test_upstream_that_serves_no_moved_request_leaves_it_to_the_silent_one(answer):
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await async_pause_in_stream(sock, data, number)
            return
        await sock.sendall(answer)
        await sock.close()

    async def async_main() -> bytes:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), ASK_SECONDS)

    received = curio.run(async_main)
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)


def test_both_upstreams_are_left_when_the_caller_leaves_a_silent_stream():
    closed = []

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await sock.sendall(builders.STREAM_HEAD + FIRST)
        await async_never_answer(sock)
        closed.append(number)

    async def async_main() -> int:
        async with patient_host(async_upstream) as host:
            await host.async_ask(builders.request(), SILENCE)
            await curio.sleep(0.1)
            return len(host.coordinator.registry.by_id)

    assert curio.run(async_main) == 0
    assert sorted(closed) == [0, 1]


def test_retry_is_given_back_if_no_other_upstream_takes_a_silent_stream():
    budget = RetryBudget(per_request=0.0, max_retries=lambda: 1.0)

    async def async_main() -> None:
        async with patient_host(async_pause_in_stream, retries=budget) as host:
            host.links.refused_as = "too-late"
            await host.async_ask(builders.request(), ASK_SECONDS)

    curio.run(async_main)
    assert budget.has_retry_left("llm")


@pytest.mark.parametrize(("reporting", "pause"), [(0.6, 0.7), (1.9, 2.0)])
def test_upstream_that_goes_on_right_before_another_gets_the_request_keeps_it(
    reporting, pause
):
    """The process stopped, as the request would have been sent a second time."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + FIRST)
        await curio.sleep(SILENCE)
        await sock.sendall(chunk(event(2)))
        await curio.sleep(pause)
        await sock.sendall(chunk(event(3)) + builders.LAST_CHUNK)

    async def async_main() -> tuple[bytes, int]:
        async with patient_host(async_upstream) as host:
            host.links.started_seconds = reporting
            host.links.valid_ms = 5000
            request = builders.request().replace(b": 3000", b": 4000")
            received = await host.async_ask(request, ASK_SECONDS)
            return received, len(host.requests)

    received, sent = curio.run(async_main)
    assert body_of(received) == event(1) + event(2) + event(3)
    assert sent == 1
