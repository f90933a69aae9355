"""Streams whose upstreams send their head before a long prefill."""

from typing import Any

import curio
import pytest

from tests.platform import builders
from tests.platform.builders import chunk, event
from tests.platform.test_silent_upstreams import FIRST, REST, patient_host
from tests.platform.test_streams import body_of

PREFILL_SECONDS = 3
ROUTE = builders.route(timeout_ms=60_000, target_latency_ms=4000)
REQUEST = builders.request().replace(b"X-Deadline-Ms: 3000", b"X-Deadline-Ms: 60000")


@pytest.mark.parametrize("comment", [chunk(b": alive\n\n"), b""])
def test_stream_within_its_objective_is_not_sent_to_another_upstream(comment):
    """Repeating it costs another prefill."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        try:
            await sock.sendall(builders.STREAM_HEAD)
            for _ in range(PREFILL_SECONDS):
                await sock.sendall(comment)
                await curio.sleep(1.0)
            await sock.sendall(FIRST + REST)
        except OSError:
            return

    async def async_main() -> tuple[bytes, int]:
        document = builders.document(ROUTE)
        async with patient_host(async_upstream, configuration=document) as host:
            received = await host.async_ask(REQUEST, 10.0)
            return received, len(host.requests)

    received, sent = curio.run(async_main)
    assert event(2) in body_of(received)
    assert sent == 1


def test_stream_within_its_objective_is_kept_though_half_its_time_has_passed():
    """Half of the time that is left is no bound for a prefill that is on time."""
    document = builders.document(builders.route(target_latency_ms=2400))

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        try:
            await sock.sendall(builders.STREAM_HEAD)
            await curio.sleep(2.1)
            await sock.sendall(FIRST + REST)
        except OSError:
            return

    async def async_main() -> tuple[bytes, int]:
        async with patient_host(async_upstream, configuration=document) as host:
            received = await host.async_ask(builders.request(), 10.0)
            return received, len(host.requests)

    received, sent = curio.run(async_main)
    assert event(2) in body_of(received)
    assert sent == 1
