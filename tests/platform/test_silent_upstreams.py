"""Upstreams that fall silent for a while during a response, and then go on."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import curio
import pytest

from bitterntiller.components.entry.retry_budget import RetryBudget
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
