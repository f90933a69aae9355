"""Tests of streams of two software versions through an entry host of the platform."""

from typing import Any

import curio
import pytest

from bitterntiller.core.interfaces import StreamOrigin, UnknownOrigin
from bitterntiller.protocol import messages
from tests.platform import builders
from tests.platform.builders import chunk, event
from tests.platform.test_streams import body_of


class KnownStreams:
    """Streams whose version is known by the id of their first attempt."""

    def __init__(self, **versions: str) -> None:
        self.version_by_id = versions
        self.recorded: list[tuple[str, str, str]] = []
        self.asked: list[str] = []
        self.final = True
        self.pool = "llm"

    async def async_record(
        self, route: Any, first_id: str, pool: str, version: str
    ) -> None:
        self.recorded.append((pool, first_id, version))

    async def async_find(
        self, route: Any, first_id: str
    ) -> StreamOrigin | UnknownOrigin:
        self.asked.append(first_id)
        version = self.version_by_id.get(first_id)
        if version is None:
            return UnknownOrigin(self.final, "nobody knows")
        return StreamOrigin(self.pool, version, "holder", 0.1)


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
    streams: KnownStreams | None = None,
    **route: Any,
) -> tuple[bytes, list[bytes], Any]:
    """Send a request; return the response, what upstreams got, and the links."""

    async def async_main() -> tuple[bytes, list[bytes], Any]:
        document = builders.document(builders.route(**route))
        async with builders.entry_host(
            upstream, document, stream_versions=streams or KnownStreams()
        ) as host:
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


def test_event_is_recorded_before_the_caller_gets_it():
    """A stream whose host was killed after its first event could not be taken up."""
    streams = KnownStreams()
    ask(serve_whole, ["v2"], streams=streams)
    assert streams.recorded == [("llm", "a1", "v2")]


def test_owner_is_told_how_much_of_a_stream_its_caller_has():
    """The rest of a stream was refused as too late, as if it were a whole one."""
    streams = KnownStreams(first="v1")
    lines = ("Last-Event-Id: 2", "Resumes: first")
    _, _, links = ask(serve_whole, ["v1"], *lines, streams=streams)
    [registered] = links.of(messages.Register)
    assert registered.output_before == 2


def test_stream_taken_up_has_no_objective_for_its_first_event():
    """The rest of a stream came behind new ones, as late, and was refused first."""
    streams = KnownStreams(first="v1")
    lines = ("Last-Event-Id: 2", "Resumes: first")
    _, _, links = ask(serve_whole, ["v1"], *lines, streams=streams)
    [registered] = links.of(messages.Register)
    assert registered.first_by_ms is None
    assert registered.start_by_ms is not None


def test_stream_taken_up_goes_to_the_version_that_began_it():
    """A caller's next attempt was answered by another version."""
    streams = KnownStreams(first="v1")
    received, requests, links = ask(
        serve_whole,
        ["v2", "v1"],
        "Last-Event-Id: 2",
        "Resumes: first",
        streams=streams,
    )
    assert body_of(received) == event(3, "rest")
    assert len(requests) == 1
    (registered,) = links.of(messages.Register)
    assert registered.version == "v1"
    assert [item.reason for item in links.of(messages.Returned)] == ["other-version"]
    assert streams.recorded == [("llm", "first", "v1")]


def test_stream_goes_on_at_the_service_that_began_it():
    """A stream of a route with two services was continued by the other one."""
    streams = KnownStreams(first="v1")
    streams.pool = "map"
    shares = [{"service": "llm", "weight": 99}, {"service": "map", "weight": 1}]
    lines = ("Last-Event-Id: 2", "Resumes: first")
    split = {"service": None, "traffic_split": shares}
    _, _, links = ask(serve_whole, ["v1"], *lines, streams=streams, **split)
    assert [item.pool for item in links.of(messages.Register)] == ["map"]


def test_stream_is_refused_if_its_route_leads_elsewhere():
    """A stream was continued by another service after a change of its route."""
    streams = KnownStreams(first="v1")
    streams.pool = "map"
    lines = ("Last-Event-Id: 2", "Resumes: first")
    received, requests, _ = ask(serve_whole, ["v1"], *lines, streams=streams)
    assert received.startswith(b"HTTP/1.1 503")
    assert b"service-changed" in received
    assert requests == []


@pytest.mark.parametrize("final", [True, False])
def test_stream_of_unknown_version_is_refused_as_not_run(final):
    """A stream that nobody knew was continued at any version."""
    streams = KnownStreams()
    streams.final = final
    received, requests, _ = ask(
        serve_whole, [""], "Last-Event-Id: 2", "Resumes: other", streams=streams
    )
    assert received.startswith(b"HTTP/1.1 503")
    assert b"unknown-origin" in received
    assert (b"retry-after" in received.lower()) is not final
    assert requests == []


@pytest.mark.parametrize(
    "lines",
    [
        (),
        ("Last-Event-Id: 0", "Resumes: first"),
        ("Resumes: first",),
    ],
    ids=["new", "no-event-yet", "no-event-named"],
)
def test_new_stream_is_not_searched(lines):
    """A caller that has no event yet was refused or bound to a version."""
    streams = KnownStreams()
    received, requests, _ = ask(serve_whole, ["v2"], *lines, streams=streams)
    assert received.startswith(b"HTTP/1.1 200")
    assert (len(requests), streams.asked) == (1, [])


def test_request_that_may_not_be_resumed_is_not_searched():
    """A plain call with a last event id was refused."""
    streams = KnownStreams()
    received, _, _ = ask(
        serve_whole, ["v2"], "Last-Event-Id: 4", streams=streams, stream_resume=False
    )
    assert received.startswith(b"HTTP/1.1 200")
    assert streams.asked == []


@pytest.mark.parametrize(
    "lines",
    [
        ("Last-Event-Id: two", "Resumes: first"),
        ("Last-Event-Id: 2", "Last-Event-Id: 3", "Resumes: first"),
        ("Last-Event-Id: 1234567890123456", "Resumes: first"),
        ("Last-Event-Id: 2", "Resumes: first", "Resumes: second"),
        ("Last-Event-Id: 2", "Resumes: " + "x" * 257),
    ],
    ids=["no-number", "two-events", "long-number", "two-ids", "long-id"],
)
def test_invalid_continuation_is_refused_with_400(lines):
    """A stream went on after an event that its caller did not name."""
    received, requests, _ = ask(
        serve_whole, ["v1"], *lines, streams=KnownStreams(first="v1")
    )
    assert received.startswith(b"HTTP/1.1 400")
    assert requests == []
