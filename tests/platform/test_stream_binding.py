"""Tests of streams of two software versions through an entry host of the platform."""

from typing import Any

import curio

from bitterntiller.protocol import messages
from tests.platform import builders
from tests.platform.builders import chunk, event
from tests.platform.test_streams import body_of


async def break_off_first(sock: Any, data: bytes, number: int) -> None:
    if number == 0:
        await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
        await sock.close()
        return
    rest = chunk(event(2, "rest"))
    await sock.sendall(builders.STREAM_HEAD + rest + builders.LAST_CHUNK)


async def serve_whole(sock: Any, data: bytes, number: int) -> None:
    body = chunk(event(3, "rest"))
    await sock.sendall(builders.STREAM_HEAD + body + builders.LAST_CHUNK)


def ask(
    upstream: Any,
    versions: list[str],
    *lines: str,
    **route: Any,
) -> tuple[bytes, list[bytes], Any]:
    """Send a request; return the response, what upstreams got, and the links."""

    async def async_main() -> tuple[bytes, list[bytes], Any]:
        document = builders.document(builders.route(**route))
        async with builders.entry_host(upstream, document) as host:
            host.links.versions = versions
            received = await host.async_ask(builders.request("/trees/1", *lines))
            await curio.sleep(0.05)
            return received, host.requests, host.links

    return curio.run(async_main)


def test_broken_stream_goes_on_at_its_version_only():
    """A response held events of two versions after its upstream had ended."""
    received, requests, links = ask(break_off_first, ["v1", "v2", "v1"])
    assert body_of(received) == event(1) + event(2, "rest")
    assert len(requests) == 2
    reasons = [item.reason for item in links.of(messages.Returned)]
    assert reasons == ["lost-answer", "other-version"]
    assert [item.version for item in links.of(messages.Returned)] == ["v1", "v1"]


def test_stream_without_an_event_goes_on_at_any_version():
    """A stream that had not begun waited for an upstream of a version that had left."""

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(builders.STREAM_HEAD)
            await sock.close()
            return
        await serve_whole(sock, data, number)

    received, requests, links = ask(upstream, ["v1", "v2"])
    assert body_of(received) == event(3, "rest")
    assert [item.version for item in links.of(messages.Returned)] == [None]
