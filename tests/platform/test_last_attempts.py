"""The last attempt of a request beside a silent run that goes on."""

from typing import Any

import curio
import pytest

from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import event
from tests.platform.test_silent_upstreams import FIRST, REST, patient_host
from tests.platform.test_streams import body_of

TWO_ATTEMPTS: dict[str, Any] = {"max_attempts": 2}
BODY = b"x" * 2_000_000


async def async_read_to_end(sock: Any) -> bytes:
    """Return what is received; raise ConnectionResetError if that isn't all."""
    received = b""
    async with curio.timeout_after(5.0):
        while data := await sock.recv(262_144):
            received += data
    return received


def ask(upstream: builders.Upstream, route: dict[str, Any]) -> bytes:
    """Return a response that ends with an orderly close, after two sends."""

    async def async_main() -> bytes:
        document = builders.document(route)
        async with patient_host(upstream, configuration=document) as host:
            request = builders.request("/trees/1", "Connection: close")
            async with await curio.open_connection("127.0.0.1", host.port) as sock:
                await sock.sendall(request)
                received = await async_read_to_end(sock)
            assert len(host.requests) == 2
            return received

    with recording() as recorded:
        received = curio.run(async_main)
    assert "response-cut" not in recorded.by_kind
    return received


@pytest.mark.parametrize("broken", [b"", b"HTTP", FIRST])
def test_silent_stream_is_kept_if_its_last_attempt_breaks_off(broken):
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + (broken if number else FIRST))
        if number:
            await sock.close()
            return
        await curio.sleep(2.0)
        await sock.sendall(REST)

    received = ask(async_upstream, builders.route(**TWO_ATTEMPTS))
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)


def test_call_is_relayed_whole_if_two_upstreams_respond_at_the_same_moment():
    first: list[Any] = []

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            first.append(sock)
            await curio.sleep(3.0)
            return
        await curio.sleep(0.1)
        response = builders.response(BODY)
        await first[0].sendall(response[:400_000])
        await sock.sendall(response[:400_000])
        await curio.sleep(0.05)
        await first[0].sendall(response[400_000:])

    route = builders.route(
        route_kind="idempotent",
        stream_resume=False,
        target_latency_ms=300,
        **TWO_ATTEMPTS,
    )
    received = ask(async_upstream, route)
    assert received.endswith(BODY)
