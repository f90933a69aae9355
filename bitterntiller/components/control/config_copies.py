"""Compressed copies of configurations, which nodes load in parts."""

import zlib
from typing import NamedTuple

from bitterntiller.components.control.configuration import ConfigurationState
from bitterntiller.components.control.const import (
    CONFIG_PART_BYTES,
    MAX_CONFIG_COPIES,
    STATUS_OK,
    STATUS_UNKNOWN,
)
from bitterntiller.core.digests import content_digest
from bitterntiller.protocol import messages

COMPRESSION_LEVEL = 1
"""Fastest; the keys of routes repeat so much that a higher level saves little."""


class Copy(NamedTuple):
    """A compressed configuration; digest identifies its bytes on all replicas."""

    version: int
    digest: int
    data: bytes


class ConfigCopies:
    """The compressed copies of the latest configurations of one replica."""

    def __init__(self) -> None:
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
            if len(self._by_version) > MAX_CONFIG_COPIES:
                del self._by_version[next(iter(self._by_version))]
        return copy

    def part(self, request: messages.GetConfigPart) -> messages.ConfigPart:
        """Return the part at an offset; the status is unknown if it isn't kept."""
        copy = self._by_version.get(request.version)
        if copy is None or copy.digest != request.digest or request.offset < 0:
            return messages.ConfigPart(status=STATUS_UNKNOWN, data=b"")
        data = copy.data[request.offset : request.offset + CONFIG_PART_BYTES]
        return messages.ConfigPart(status=STATUS_OK, data=data)
