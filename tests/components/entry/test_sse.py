"""Tests of event streams that are split at arbitrary positions."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.entry.sse import (
    MAX_EVENT_BYTES,
    BrokenStreamError,
    EventStream,
)

TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), max_size=20)


def event(number: int, text: str) -> bytes:
    return f"id: {number}\ndata: {text}\n\n".encode()


def stream_of(texts: list[str]) -> bytes:
    numbered = enumerate(texts, start=1)
    return b"".join(event(*item) for item in numbered) + b"data: [DONE]\n\n"


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(st.lists(TEXT, max_size=8), st.lists(st.integers(0, 1000), max_size=10))
def test_any_split_gives_the_same_complete_events(texts, places):
    data = stream_of(texts)
    stream = EventStream()
    passed = []
    for part in cut(data, places):
        events = stream.feed(part).data
        assert not events or events.endswith(b"\n\n")
        passed.append(events)
    assert b"".join(passed) == data
    assert stream.ended
    assert stream.last_id == len(texts)


@given(st.lists(TEXT, min_size=1, max_size=6), st.integers(0, 1000))
def test_stream_resumed_anywhere_has_no_gap_and_no_duplicate(texts, place):
    data = stream_of(texts)
    stream = EventStream()
    first = stream.feed(data[: place % len(data)]).data
    stream.begin_resume()
    behind = stream_of(texts).split(b"\n\n")[stream.last_id :]
    rest = b"" if stream.ended else stream.feed(b"\n\n".join(behind)).data
    assert first + rest == data


@given(st.binary(max_size=200), st.lists(st.integers(0, 300), max_size=5))
def test_any_bytes_give_complete_events_only(data, places):
    stream = EventStream()
    passed = b"".join(stream.feed(part).data for part in cut(data, places))
    assert data.startswith(passed)


def test_upstream_that_restarts_the_stream_on_resume():
    """A caller gets the first part of a response twice, with the outcome done.

    After the stream breaks, the upstream ignores Last-Event-ID and sends the stream
    from its start, which is appended to what the caller has.
    """
    stream = EventStream()
    stream.feed(event(1, "a") + event(2, "b"))
    stream.begin_resume()
    with pytest.raises(BrokenStreamError):
        stream.feed(event(1, "a"))


def test_stream_without_ids_is_not_resumed():
    """A caller gets the first part of a response twice, with the outcome done.

    The events have no ids, so the resume requests all events after event 0.
    """
    stream = EventStream()
    assert stream.resumable
    stream.feed(b"data: a\n\n")
    assert not stream.resumable


def test_end_marker_before_a_comment():
    """A complete response is truncated because a comment follows its end marker."""
    stream = EventStream()
    stream.feed(event(1, "a") + b"data: [DONE]\n\n: bye\n\n")
    assert stream.ended


def test_text_that_ends_like_the_end_marker():
    """A response ends early because its text contains the end marker."""
    stream = EventStream()
    stream.feed(b"data: write data: [DONE]\n\n")
    assert not stream.ended


def test_lines_that_end_in_carriage_returns():
    """A stream reaches its caller only when it breaks off.

    The upstream ends its lines with CR and LF, as the format allows, and no event is
    recognized as complete.
    """
    stream = EventStream()
    assert stream.feed(b"id: 1\r\ndata: a\r\n\r\nid").data.endswith(b"\r\n\r\n")
    stream.feed(b": 2\r\ndata: [DONE]\r\n\r\n")
    assert stream.ended
    assert stream.last_id == 2


def test_size_of_an_event_is_bounded():
    stream = EventStream()
    with pytest.raises(BrokenStreamError):
        for _ in range(20):
            stream.feed(b"x" * (MAX_EVENT_BYTES // 10))


@pytest.mark.parametrize(
    "usage",
    [
        b'{"prompt_tokens_details": {"cached_tokens": 1e999}}',
        b'{"prompt_tokens_details": {"cached_tokens": 99999999999}}',
        b"[" * 100_000,
    ],
)
def test_malformed_usage_does_not_break_the_stream(usage):
    """A stream is truncated near its end because parsing a number raises."""
    stream = EventStream()
    stream.feed(b'data: {"usage": ' + usage + b"}\n\n")
    assert stream.cached_tokens is None


def test_id_of_many_digits():
    stream = EventStream()
    stream.feed(b"id: " + b"9" * 5000 + b"\ndata: a\n\n")
    assert stream.last_id == 0


def test_comments_are_relayed_but_are_no_events():
    stream = EventStream()
    events = stream.feed(b": alive\n\n: a\r\n:b\r\n\r\n\n\nid: 1\ndata: x\n\n")
    assert events.data.startswith(b": alive")
    assert events.count == 1
    assert stream.last_id == 1


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n"])
def test_event_whose_end_arrives_byte_by_byte_is_complete(end):
    stream = EventStream()
    data = b"id: 1\ndata: x" + end + b"id: 2"
    events = [stream.feed(data[at : at + 1]) for at in range(len(data))]
    assert b"".join(item.data for item in events) == b"id: 1\ndata: x" + end
    assert sum(item.count for item in events) == 1


def test_event_without_end_is_searched_once():
    """Searching all of it for each part takes a processor for seconds."""
    stream = EventStream()
    began = time.process_time()
    for _ in range(10_000):
        stream.feed(b"x" * 100)
    assert time.process_time() - began < 0.5
