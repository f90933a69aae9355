"""Compressed copies of configurations, which nodes load in parts."""

import zlib
from typing import NamedTuple

from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.const import (
    CONFIG_PART_BYTES,
    MAX_CONFIG_BYTES,
    MAX_CONFIG_COPIES,
    MIN_CONFIG_COPIES,
    STATUS_OK,
    STATUS_UNKNOWN,
)
from bitterntiller.core.digests import content_digest
from bitterntiller.protocol import messages

COMPRESSION_LEVEL = 1
"""Fastest; the keys of routes repeat so much that a higher level saves little."""


MAX_COPIES_BYTES = MAX_CONFIG_COPIES * MAX_CONFIG_BYTES


class Copy(NamedTuple):
    """A compressed configuration; digest identifies its bytes on all replicas."""

    version: int
    digest: int
    data: bytes


class ConfigCopies:
    """The compressed copies of the latest configurations of one replica.

    Older ones are dropped beyond MAX_CONFIG_COPIES, or beyond max_bytes in all; the
    latest and the one before it always stay.
    """

    def __init__(self, max_bytes: int = MAX_COPIES_BYTES) -> None:
        self._max_bytes = max_bytes
        self._by_version: dict[int, Copy] = {}

    @property
    def bytes(self) -> int:
        """Size of the copies kept."""
        return sum(len(copy.data) for copy in self._by_version.values())

    def latest(self, configuration: ConfigurationState) -> Copy:
        """Return the copy of the latest configuration."""
        version = configuration.version
        copy = self._by_version.get(version)
        if copy is None:
            data = zlib.compress(configuration.text, COMPRESSION_LEVEL)
            copy = Copy(version, content_digest(data), data)
            self._by_version[version] = copy
            while len(self._by_version) > MIN_CONFIG_COPIES and self._is_over():
                del self._by_version[next(iter(self._by_version))]
        return copy

    def _is_over(self) -> bool:
        return len(self._by_version) > MAX_CONFIG_COPIES or self.bytes > self._max_bytes

    def part(self, request: messages.GetConfigPart) -> messages.ConfigPart:
        """Return the part at an offset; the status is unknown if it isn't kept."""
        copy = self._by_version.get(request.version)
        if copy is None or copy.digest != request.digest or request.offset < 0:
            return messages.ConfigPart(status=STATUS_UNKNOWN, data=b"")
        data = copy.data[request.offset : request.offset + CONFIG_PART_BYTES]
        return messages.ConfigPart(status=STATUS_OK, data=data)
