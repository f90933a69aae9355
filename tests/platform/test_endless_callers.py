"""What the callers of the rows of bytes without end take for a whole stream."""

import pytest

from tests.platform.endless_bytes import chunk
from tests.platform.endless_callers import LAST_CHUNK, Reply, Route, is_right

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
COMMENTS = b": x\n\n" * 50_000
PIECE_BYTES = 1000


def events(*ids: int) -> bytes:
    return b"".join(b"id: %d\ndata: leaf\n\n" % number for number in ids)


def received(*chunks: bytes) -> Reply:
    """Return the reply whose bytes came in pieces that split chunks and events."""
    reply = Reply()
    data = HEAD + b"".join(map(chunk, chunks)) + LAST_CHUNK
    for first in range(0, len(data), PIECE_BYTES):
        reply.feed(data[first : first + PIECE_BYTES])
    assert reply.complete
    return reply


@pytest.mark.parametrize("ahead", [b"", COMMENTS])
@pytest.mark.parametrize(
    ("ids", "whole"),
    [
        ((1, 2, 3), True),
        ((1, 2), False),
        ((1, 2, 2, 3), False),
        ((1, 2, 3, 4), False),
        ((2, 1, 3), False),
        (range(1, 20_000), False),
    ],
)
def test_stream_is_right_by_its_events_whatever_comments_come_ahead(ahead, ids, whole):
    """A whole stream was taken for a cut one once its comments were over 64 KiB."""
    assert is_right(Route.STREAM, received(ahead + events(*ids)), 3, 0) is whole
    split = received(ahead[:-2], ahead[-2:] + events(*ids)) if ahead else None
    assert split is None or is_right(Route.STREAM, split, 3, 0) is whole


def test_call_is_right_by_its_body():
    assert is_right(Route.IDEMPOTENT, received(b"ti", b"le"), 1, 0)
    assert not is_right(Route.IDEMPOTENT, received(b"til"), 1, 0)
