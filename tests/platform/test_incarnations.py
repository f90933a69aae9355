"""Streams at upstreams that have started again under their names."""

from typing import Any

import curio
import pytest

from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, STREAM_HEAD, chunk, event

GRANTED, OTHER = 1770815713027, 1770815719999
REPORT = b"GET /-/report "


def report(body: bytes, *lines: bytes) -> bytes:
    length = b"Content-Length: %d" % len(body)
    head = [b"HTTP/1.1 200 OK", b"Content-Type: application/json", length, *lines]
    return b"\r\n".join(head) + b"\r\n\r\n" + body


def born(number: Any, *lines: bytes) -> bytes:
    return report(b'{"busy": false, "born": %d}' % number, *lines)


NAMED = born(GRANTED)
CLOSED = born(GRANTED, b"Connection: close")
UNNAMED = report(b'{"busy": false}')
NO_REPORT = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
ENDLESS = STREAM_HEAD + chunk(event(1))


class Upstream:
    """An upstream whose reports are given, the last one for all later ones."""

    def __init__(self, *reports: bytes) -> None:
        self.reports = list(reports)
        self.asked = 0
        self.served = 0

    async def async_serve(self, sock: Any, data: bytes, number: int) -> None:
        if not data.startswith(REPORT):
            self.served += 1
            await sock.sendall(STREAM_HEAD + chunk(event(1)) + LAST_CHUNK)
            return
        self.asked += 1
        found = self.reports.pop(0) if self.reports[1:] else self.reports[0]
        if not found:
            await curio.sleep(5.0)
        await sock.sendall(found)
        if b"Connection: close" in found:
            await sock.close()


def ask(upstream: Upstream, times: int = 1, path: str = "/trees/1") -> list[bytes]:
    """Ask a host for streams one after the other; return the answers."""

    async def async_ask() -> list[bytes]:
        async with builders.entry_host(upstream.async_serve) as host:
            host.links.incarnation = str(GRANTED)
            found = []
            for _ in range(times):
                found.append(await host.async_ask(builders.request(path), 3.0))
                # All requests have one id: the one before must have ended.
                while host.coordinator.unfinished():
                    await curio.sleep(0.01)
            return found

    return curio.run(async_ask)


@pytest.mark.parametrize("first", [born(OTHER), b""], ids=["other", "silent"])
def test_stream_is_not_sent_to_a_start_that_was_not_granted(first):
    """Its version was taken for that of the earlier start of the same name."""
    upstream = Upstream(first, NAMED)
    [received] = ask(upstream)
    assert received.endswith(LAST_CHUNK)
    assert (upstream.asked, upstream.served) == (2, 1)


def test_stream_that_no_upstream_confirms_is_refused_as_not_run():
    upstream = Upstream(born(OTHER))
    [received] = ask(upstream)
    assert not received.startswith(b"HTTP/1.1 200 ")
    assert upstream.served == 0


@pytest.mark.parametrize("reported", [NAMED, UNNAMED, report(b"[1]"), report(b"{")])
def test_upstream_is_asked_once_for_a_connection(reported):
    """Each stream would cost a request more."""
    upstream = Upstream(reported)
    for received in ask(upstream, times=3):
        assert received.endswith(LAST_CHUNK)
    assert (upstream.asked, upstream.served) == (1, 3)


@pytest.mark.parametrize("reported", [CLOSED, NO_REPORT, ENDLESS])
def test_upstream_whose_report_uses_the_connection_up_is_served_on_another(reported):
    """An upstream without reports would get no streams any more."""
    upstream = Upstream(reported)
    [received] = ask(upstream)
    assert received.endswith(LAST_CHUNK)
    assert (upstream.asked, upstream.served) == (1, 1)


def test_calls_ask_for_no_report():
    upstream = Upstream(NAMED)
    ask(upstream, path="/tiles/1")
    assert upstream.asked == 0
