"""Checksummed, length-prefixed frames in a file.

A file begins with a header: magic, a random salt and the index of the snapshot that it
needs. The salt seeds each checksum, so that bytes of another file that are stored as
data are never mistaken for a frame.
"""

import os
import struct
import zlib
from collections.abc import Iterator
from typing import BinaryIO, NamedTuple

from .errors import LogDamagedError

_HEADER = struct.Struct("<8sIQI")
_FRAME = struct.Struct("<4sIII")
_MAGIC = b"btnlog01"
_FRAME_MAGIC = b"\xf7BT\x01"

HEADER_SIZE = _HEADER.size


class FileHeader(NamedTuple):
    """Header of a file; base is the index of the snapshot that it needs."""

    salt: int
    base: int


def new_header(base: int) -> FileHeader:
    """Return a header with a new salt."""
    return FileHeader(int.from_bytes(os.urandom(4), "little"), base)


def encode_header(header: FileHeader) -> bytes:
    """Return the bytes of a file's header."""
    checksum = zlib.crc32(struct.pack("<IQ", header.salt, header.base))
    return _HEADER.pack(_MAGIC, header.salt, header.base, checksum)


def decode_header(file: str, data: bytes) -> FileHeader:
    """Return the header; raise LogDamagedError if it is invalid.

    A file gets its name only after it has been synced, so an invalid header is never
    a write that was cut short by a crash.
    """
    if len(data) < HEADER_SIZE:
        raise LogDamagedError(file, 0, "the file header is truncated")
    magic, salt, base, checksum = _HEADER.unpack_from(data)
    if magic != _MAGIC or checksum != zlib.crc32(struct.pack("<IQ", salt, base)):
        raise LogDamagedError(file, 0, "the file header is damaged")
    return FileHeader(salt, base)


def encode_frame(header: FileHeader, payload: bytes) -> bytes:
    """Return a payload as the bytes of a frame."""
    start = struct.pack(
        "<4sII", _FRAME_MAGIC, len(payload), zlib.crc32(payload, header.salt)
    )
    return start + struct.pack("<I", zlib.crc32(start, header.salt)) + payload


def _frame_at(header: FileHeader, data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, None if it is not valid."""
    if offset + _FRAME.size > len(data):
        return None
    start = offset + _FRAME.size
    length = _payload_length(header, data[offset:start])
    if length is None:
        return None
    checksum = _FRAME.unpack_from(data, offset)[2]
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload, header.salt) != checksum:
        return None
    return payload


class FrameReader:
    """Reads a file frame by frame, so that only one is in memory at a time.

    Iterate over the payloads; valid_bytes is the length of the valid part of the file
    afterwards. Raise LogDamagedError as decode_frames does.
    """

    def __init__(self, name: str, file: BinaryIO, required_frames: int) -> None:
        self._name = name
        self._file = file
        self._required = required_frames
        self.header = decode_header(name, file.read(HEADER_SIZE))
        self.valid_bytes = HEADER_SIZE

    def __iter__(self) -> Iterator[bytes]:
        count = 0
        while (payload := self._next()) is not None:
            count += 1
            self.valid_bytes += _FRAME.size + len(payload)
            yield payload
        self._file.seek(self.valid_bytes)
        rest = self._file.read()
        if count < self._required or _has_frame_after(self.header, rest, 0):
            raise LogDamagedError(
                self._name, self.valid_bytes, "a checksum does not match"
            )

    def _next(self) -> bytes | None:
        start = self._file.read(_FRAME.size)
        length = _payload_length(self.header, start)
        if length is None:
            return None
        return _frame_at(self.header, start + self._file.read(length), 0)


def _payload_length(header: FileHeader, start: bytes) -> int | None:
    """Return the length in the start of a frame, None if that is not valid."""
    if len(start) < _FRAME.size:
        return None
    mark, length, _, own = _FRAME.unpack(start)
    valid = own == zlib.crc32(start[: _FRAME.size - 4], header.salt)
    return length if mark == _FRAME_MAGIC and valid else None


def decode_frames(
    file: str, data: bytes, required_frames: int
) -> tuple[list[bytes], int]:
    """Return the payloads, and the number of valid bytes of the file.

    The first required_frames frames were synced before the file got its name and must
    be valid. After them, a write cut short by a crash is ignored. Each write is one
    frame and is synced before the next begins, so an invalid frame followed by a valid
    one is damage: raise LogDamagedError rather than drop synced entries.
    """
    header = decode_header(file, data)
    payloads: list[bytes] = []
    offset = HEADER_SIZE
    while offset < len(data):
        payload = _frame_at(header, data, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += _FRAME.size + len(payload)
    if len(payloads) < required_frames or _has_frame_after(header, data, offset):
        raise LogDamagedError(file, offset, "a checksum does not match")
    return payloads, offset


def _has_frame_after(header: FileHeader, data: bytes, offset: int) -> bool:
    found = data.find(_FRAME_MAGIC, offset + 1)
    while found != -1:
        if _frame_at(header, data, found) is not None:
            return True
        found = data.find(_FRAME_MAGIC, found + 1)
    return False
