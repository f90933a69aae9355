"""Length-prefixed frames: from messages to bytes and back."""

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
    """Return the bytes of a frame, length included."""
    frame = messages.Frame(
        kind=KIND_BY_TYPE[type(message)],
        call=call,
        reply=reply,
        body=encode(message),
    )
    data = encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def unpack(data: bytes) -> Incoming:
    """Return the message in a frame's bytes, length left out.

    Raise MalformedMessageError when they are no frame of a known kind.
    """
    frame = decode(messages.Frame, data)
    cls = TYPE_BY_KIND.get(frame.kind)
    if cls is None:
        raise MalformedMessageError(f"unknown kind {frame.kind}")
    return Incoming(frame.call, frame.reply, decode(cls, frame.body))


def unpack_stranger(data: bytes) -> Incoming:
    """Return the message in a frame of a peer that has not proved its key.

    Such a message has only numbers and strings; raise MalformedMessageError for
    any other.
    """
    check_flat(data)
    frame = decode(messages.Frame, data)
    cls = TYPE_BY_KIND.get(frame.kind)
    if cls not in HANDSHAKE_TYPES:
        raise MalformedMessageError(f"kind {frame.kind} before the handshake")
    check_flat(frame.body)
    return Incoming(frame.call, frame.reply, decode(cls, frame.body))


class FrameBuffer:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes and return the frames they complete, lengths left out.

        Raise MalformedMessageError for a length over MAX_FRAME_BYTES, before
        its bytes are waited for: a stranger's bytes read as a length would
        otherwise make the process hold gigabytes.
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
