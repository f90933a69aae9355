"""Tests of frames with arbitrary bytes and arbitrary splits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.links.const import MAX_FRAME_BYTES
from bitterntiller.components.links.frames import (
    FrameBuffer,
    pack,
    unpack,
    unpack_stranger,
)
from bitterntiller.protocol import MalformedMessageError, messages

IDS = st.lists(st.text(max_size=30), max_size=8)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@given(st.binary(max_size=300))
def test_any_bytes_of_a_stranger_are_a_message_or_malformed(data):
    try:
        unpack_stranger(data)
    except MalformedMessageError:
        return


@given(st.binary(max_size=40), st.integers(0, 400), st.binary(max_size=4))
def test_damaged_hello_is_a_message_or_malformed(proof, place, damage):
    hello = messages.Hello(host="a", incarnation="i", proof=proof, address="1:1")
    packed = pack(hello)[4:]
    place %= len(packed)
    damaged = packed[:place] + damage + packed[place + len(damage) :]
    try:
        unpack_stranger(damaged)
    except MalformedMessageError:
        return


@pytest.mark.parametrize("length", [b"\x80\0\0\0", b"\x7f\xff\xff\xff"])
def test_string_length_in_an_unauthenticated_frame(length):
    """A string length in an unauthenticated frame must not allocate memory.

    The codec allocates a string of 2 GB before it finds that its bytes are missing, so
    a few bytes on the internal port can get the process killed. For a negative length
    it raises an error that ends the connection with a stack trace.
    """
    with pytest.raises(MalformedMessageError, match="a string of"):
        unpack_stranger(b"\x0b\0\x04" + length)


def test_negative_length_in_a_peers_frame():
    with pytest.raises(MalformedMessageError):
        unpack(b"\x0b\0\x04\x80\0\0\0")


@given(IDS, st.lists(st.integers(0, 10_000), max_size=20))
def test_any_split_gives_the_same_frames(ids, places):
    sent = [messages.Cancel(request_id=item, pool="p") for item in ids]
    data = b"".join(pack(item, call=7) for item in sent)
    buffer = FrameBuffer()
    frames = [frame for part in cut(data, places) for frame in buffer.feed(part)]
    assert [unpack(frame).message for frame in frames] == sent


def test_length_over_the_bound_is_rejected_before_its_bytes_arrive():
    length = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
    with pytest.raises(MalformedMessageError):
        FrameBuffer().feed(length)
