"""Encoding and decoding of length-prefixed frames."""

from typing import Any

from bitterntiller.components.links.const import LENGTH_BYTES, MAX_FRAME_BYTES
from bitterntiller.components.links.models import Incoming
from bitterntiller.protocol import (
    KIND_BY_TYPE,
    TYPE_BY_KIND,
    MalformedMessageError,
    decode,
    encode,
    messages,
)
from bitterntiller.protocol.flat import check_flat

HANDSHAKE_TYPES = (
    messages.Challenge,
    messages.Hello,
    messages.HelloReply,
    messages.Fault,
)


def pack(message: Any, call: int = 0, reply: bool = False) -> bytes:
    """Return the bytes of a frame, with its length prefix."""
    frame = messages.Frame(
        kind=KIND_BY_TYPE[type(message)],
        call=call,
        reply=reply,
        body=encode(message),
    )
    data = encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def unpack(data: bytes) -> Incoming:
    """Return the message in a frame without its length prefix.

    Raise MalformedMessageError if the bytes are not a frame of a known kind.
    """
    frame = decode(messages.Frame, data)
    cls = TYPE_BY_KIND.get(frame.kind)
    if cls is None:
        raise MalformedMessageError(f"unknown kind {frame.kind}")
    return Incoming(frame.call, frame.reply, decode(cls, frame.body), len(data))


def unpack_stranger(data: bytes) -> Incoming:
    """Return the message in a frame from an unauthenticated peer.

    Only handshake messages are accepted, which contain only numbers and strings. Raise
    MalformedMessageError for any other.
    """
    check_flat(data)
    frame = decode(messages.Frame, data)
    cls = TYPE_BY_KIND.get(frame.kind)
    if cls not in HANDSHAKE_TYPES:
        raise MalformedMessageError(f"kind {frame.kind} before the handshake")
    check_flat(frame.body)
    return Incoming(frame.call, frame.reply, decode(cls, frame.body))


class FrameBuffer:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the completed frames without their length prefixes.

        Raise MalformedMessageError for a length over MAX_FRAME_BYTES before waiting for
        its bytes: arbitrary bytes read as a length could otherwise make the process
        buffer gigabytes.
        """
        self._data += data
        frames = []
        position = 0
        while len(self._data) - position >= LENGTH_BYTES:
            start = position + LENGTH_BYTES
            length = int.from_bytes(self._data[position:start], "big")
            if length > MAX_FRAME_BYTES:
                raise MalformedMessageError(f"a frame of {length} bytes")
            if len(self._data) < start + length:
                break
            frames.append(bytes(self._data[start : start + length]))
            position = start + length
        del self._data[:position]
        return frames
