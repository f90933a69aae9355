"""Upstreams that say in their responses that they leave, or want a pause."""

import re
from typing import Any

import curio
import pytest

from bitterntiller.protocol import messages
from tests.platform import builders
from tests.platform.builders import request, response

TILE = request("/tiles/1")
TURNED_AWAY = (b"503 Busy", b"X-Not-Executed: shed")


def upstream_names(requests: list[bytes]) -> list[str]:
    """Return the names of the upstreams that requests were sent to."""
    heads = b"".join(requests).lower()
    found = re.findall(rb"x-expected-instance: (\S+)", heads)
    return [name.decode() for name in found]


def ask_twice(first: bytes, pause: float = 0.0) -> tuple[list[str], list[Any]]:
    """Send two requests; i-1 responds to the first one, and is granted for both.

    Return the upstreams that got requests, and the grants that were returned.
    """

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(first if number == 0 else response(b"tile"))

    async def async_main() -> tuple[list[str], list[Any]]:
        async with builders.entry_host(upstream) as host:
            refused = b" 200 " not in first
            host.links.names = ["i-1", "i-2"] if refused else ["i-1"]
            received = await host.async_ask(TILE)
            assert received.endswith(b"tile")
            await curio.sleep(pause)
            host.links.names = ["i-1", "i-3"]
            received = await host.async_ask(TILE)
            assert received.endswith(b"tile")
            returned = host.links.of(messages.Returned)
            return upstream_names(host.requests), returned

    return curio.run(async_main)


def test_upstream_that_says_that_it_leaves_gets_no_further_request():
    """Guards against requests to an upstream that only its responses say is leaving."""
    leaving = response(b"tile", b"200 OK", b"Server-Leaving: 1")
    names, returned = ask_twice(leaving)
    assert names == ["i-1", "i-3"]
    assert [item.reason for item in returned] == ["upstream-left"]


def test_refused_host_sends_nothing_to_an_upstream_until_its_retry_after():
    """Guards against requests to an upstream that asked this host for a pause."""
    refused = response(b"", *TURNED_AWAY, b"Retry-After: 3")
    names, returned = ask_twice(refused)
    assert names == ["i-1", "i-2", "i-3"]
    assert [item.reason for item in returned] == ["not-admitted", "upstream-paused"]


def test_upstream_is_used_again_after_its_retry_after():
    refused = response(b"", *TURNED_AWAY, b"Retry-After: 0.1")
    names, _ = ask_twice(refused, pause=0.15)
    assert names == ["i-1", "i-2", "i-1"]


@pytest.mark.parametrize(
    "line",
    [b"Retry-After: soon", b"Retry-After: -1", b"Retry-After: 1e9", b"X: 1"],
)
def test_malformed_retry_after_is_ignored(line):
    names, _ = ask_twice(response(b"", *TURNED_AWAY, line))
    assert names == ["i-1", "i-2", "i-1"]


def test_response_of_another_process_at_the_address_says_nothing_of_the_upstream():
    """Guards against an upstream left out for what its successor's address says."""
    misdirected = response(b"", b"421 Wrong", b"Server-Leaving: 1", b"Retry-After: 3")
    names, _ = ask_twice(misdirected)
    assert names == ["i-1", "i-2", "i-1"]
