"""Whole responses whose callers read slowly are no silence of an upstream."""

from typing import Any

import curio
import pytest
from curio import socket

from tests.components.http.builders import LIMITS
from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.test_silent_upstreams import patient_host
from tests.platform.test_slow_callers import CALL, async_open, async_read_all

BODY = b"x" * 250_000
"""Is buffered by the host, but not by the kernel."""

REQUEST = builders.request("/trees/1", "Connection: close")


async def async_reads_late(host: builders.EntryHost) -> bytes:
    """Return what a caller receives that doesn't read at first."""
    listening = host.server._listener._sock
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    async with await async_open(host.port) as sock:
        await sock.sendall(REQUEST)
        await curio.sleep(2.2)
        return await async_read_all(sock)


@pytest.mark.parametrize("seconds", [1.1, 1.2])
def test_whole_call_is_not_sent_again_while_its_caller_reads(seconds):
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        response = builders.response(BODY)
        await sock.sendall(response[:-1000])
        await curio.sleep(seconds)
        await sock.sendall(response[-1000:])

    async def async_main() -> tuple[bytes, int]:
        async with patient_host(
            async_upstream,
            configuration=builders.document(CALL),
            server_limits=LIMITS._replace(write_timeout=5.0),
        ) as host:
            return await async_reads_late(host), len(host.requests)

    with recording() as recorded:
        received, sent = curio.run(async_main)
    assert received.endswith(BODY)
    assert sent == 1
    assert "response-cut" not in recorded.by_kind
