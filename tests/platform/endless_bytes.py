"""Bytes that never end, as faulty upstreams and callers send them."""

import itertools
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from tests.platform.builders import KEY

BLOCK_BYTES = 64 * 1024
"""Bytes that are sent at a time by one that sends as fast as it is read."""

LINE_PART = b"a" * 64
LENGTH = 10_000_000_000
"""Bytes of a body whose length is stated and never reached."""


class Response(StrEnum):
    """What an upstream sends."""

    INTERIM_103 = "103"
    INTERIM_100 = "100"
    CHUNKS = "chunks"
    LENGTH = "length"
    UNFRAMED = "unframed"
    STATUS_LINE = "status line"
    HEADER_LINE = "header line"
    HEADER_LINES = "header lines"
    EXTENSION = "chunk extension"
    TRAILERS = "trailers"
    COMMENTS = "comments"
    OPEN_EVENT = "open event"
    EVENTS = "events"
    LOST = "lost"
    """No bytes: the connection is closed in place of a response."""


class Request(StrEnum):
    """What a caller sends; it never reads."""

    PIPELINED = "pipelined"
    CHUNKS = "chunks"
    HEADER_LINES = "header lines"
    TRAILERS = "trailers"
    EMPTY_LINES = "empty lines"
    NO_LINE_END = "no line end"


class Endless(NamedTuple):
    """Bytes that begin with a head and go on with a unit again and again."""

    head: bytes
    unit: bytes


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def response_pieces(
    kind: Response,
    request_id: str,
    slow: bool,
    after: int = 0,
    data: bytes = b"leaf",
) -> Iterator[bytes]:
    """Yield the pieces of a response without end; slow ones are of one unit each.

    Events hold the data, and their ids follow after.
    """
    if kind is Response.LOST:
        return iter(())
    if kind is Response.EVENTS:
        return _events(request_id, slow, after, data)
    return pieces(_response(kind, request_id), slow)


def request_pieces(kind: Request, slow: bool) -> Iterator[bytes]:
    """Yield the pieces of a request, or of requests, without end."""
    return pieces(REQUEST_BY_KIND[kind], slow)


def pieces(endless: Endless, slow: bool) -> Iterator[bytes]:
    """Yield the pieces of some bytes without end."""
    times = 1 if slow else max(1, BLOCK_BYTES // len(endless.unit))
    if endless.head:
        yield endless.head
    yield from itertools.repeat(endless.unit * times)


def _events(request_id: str, slow: bool, after: int, data: bytes) -> Iterator[bytes]:
    """Yield proper events with increasing ids."""
    yield _head(request_id, *EVENT_STREAM)
    size = 1 if slow else 1000
    for first in itertools.count(after + 1, size):
        yield b"".join(
            chunk(b"id: %d\ndata: %s\n\n" % (number, data))
            for number in range(first, first + size)
        )


def _response(kind: Response, request_id: str) -> Endless:
    status = b"HTTP/1.1 200 OK\r\n"
    return {
        Response.INTERIM_103: Endless(
            b"", b"HTTP/1.1 103 Early Hints\r\nLink: </leaf>\r\n\r\n"
        ),
        Response.INTERIM_100: Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        Response.CHUNKS: Endless(_head(request_id, CHUNKED), chunk(b"bytes")),
        Response.LENGTH: Endless(
            _head(request_id, b"Content-Length: %d" % LENGTH), LINE_PART
        ),
        Response.UNFRAMED: Endless(_head(request_id, b"Connection: close"), LINE_PART),
        Response.STATUS_LINE: Endless(b"HTTP/1.1 200 ", LINE_PART),
        Response.HEADER_LINE: Endless(status + b"X-Long: ", LINE_PART),
        Response.HEADER_LINES: Endless(status, b"X-Line: " + LINE_PART + b"\r\n"),
        Response.EXTENSION: Endless(_head(request_id, CHUNKED) + b"5;", LINE_PART),
        Response.TRAILERS: Endless(
            _head(request_id, CHUNKED) + chunk(b"tile") + b"0\r\n",
            b"X-Line: " + LINE_PART + b"\r\n",
        ),
        Response.COMMENTS: Endless(_head(request_id, *EVENT_STREAM), chunk(b": x\n\n")),
        Response.OPEN_EVENT: Endless(
            _head(request_id, *EVENT_STREAM) + chunk(b"id: 1\ndata: "),
            chunk(LINE_PART),
        ),
    }[kind]


CHUNKED = b"Transfer-Encoding: chunked"
EVENT_STREAM = (b"Content-Type: text/event-stream", CHUNKED)


def _head(request_id: str, *lines: bytes) -> bytes:
    """Return the head of a response as sound upstreams send it."""
    common = (
        b"HTTP/1.1 200 OK",
        b"X-Attempt-Id: " + request_id.encode(),
        b"X-Engine-Signature: signed",
    )
    return b"\r\n".join((*common, *lines)) + b"\r\n\r\n"


_POST = (
    b"POST /tiles/1 HTTP/1.1\r\nHost: trees.example\r\nX-Deadline-Ms: 2000\r\n"
    b"Authorization: Token " + KEY.encode() + b"\r\n"
)
REQUEST_BY_KIND = {
    Request.PIPELINED: Endless(b"", b"GET / HTTP/1.1\r\nHost: none.example\r\n\r\n"),
    Request.CHUNKS: Endless(_POST + CHUNKED + b"\r\n\r\n", chunk(b"bytes")),
    Request.HEADER_LINES: Endless(_POST, b"X-Line: " + LINE_PART + b"\r\n"),
    Request.TRAILERS: Endless(
        _POST + CHUNKED + b"\r\n\r\n" + chunk(b"{}") + b"0\r\n",
        b"X-Line: " + LINE_PART + b"\r\n",
    ),
    Request.EMPTY_LINES: Endless(b"", b"\r\n"),
    Request.NO_LINE_END: Endless(b"", LINE_PART),
}
