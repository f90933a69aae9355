"""Streams at upstreams that have started again under their names."""

from typing import Any

import curio
import pytest

from bitterntiller.components.entry.const import MAX_FAILED_CONNECTIONS
from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, STREAM_HEAD, chunk, event
from tests.platform.refusing_upstream import named, request_id, unnamed

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
FULL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
NO_REPORT = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
ENDLESS = unnamed(STREAM_HEAD) + chunk(event(1))


class Upstream:
    """An upstream whose reports are given, the last one for all later ones."""

    def __init__(self, *reports: bytes) -> None:
        self.reports = list(reports)
        self.asked = 0
        self.served = 0

    async def async_serve(self, sock: Any, data: bytes, number: int) -> None:
        if not data.startswith(REPORT):
            self.served += 1
            head = named(STREAM_HEAD, request_id(data))
            await sock.sendall(head + chunk(event(1)) + LAST_CHUNK)
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
            for number in range(times):
                # No connection carries two requests with one id.
                data = builders.request(path).replace(b"Id: a1", b"Id: a%d" % number)
                found.append(await host.async_ask(data, 3.0))
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


def test_refused_report_does_not_end_the_checks_of_a_start():
    """One 503 in place of a report let all later streams to another start."""
    upstream = Upstream(FULL, born(OTHER))
    for received in ask(upstream, times=2):
        assert not received.startswith(b"HTTP/1.1 200 ")
    assert upstream.asked > 2
    assert upstream.served == 0


def test_stream_asks_for_a_bounded_number_of_reports():
    """A stream that no upstream confirmed asked for thousands of reports."""
    upstream = Upstream(born(OTHER))
    ask(upstream)
    assert upstream.asked <= MAX_FAILED_CONNECTIONS


def test_calls_ask_for_no_report():
    upstream = Upstream(NAMED)
    ask(upstream, path="/tiles/1")
    assert upstream.asked == 0
