"""Loads a large configuration from control in parts."""

import zlib
from typing import Any, NamedTuple

from bitterntiller.components.node.const import MAX_DOWNLOAD_TURN, STATUS_OK
from bitterntiller.components.node.errors import DamagedConfigError
from bitterntiller.core.clock import Clock
from bitterntiller.core.digests import content_digest
from bitterntiller.core.errors import CodedError
from bitterntiller.core.interfaces import Links
from bitterntiller.protocol import messages


class LoadedConfig(NamedTuple):
    """A complete document and its version."""

    version: int
    text: bytes


class ConfigDownload:
    """The configuration that this node loads now, with the bytes received so far.

    A part that does not arrive is requested again on its own, and a load that has begun
    is finished although a newer version exists: a slow link and frequent changes delay
    a configuration, but can't prevent it. Any host of control that has the copy may
    send the parts, since the digest identifies its bytes.
    """

    def __init__(self, links: Links, clock: Clock, call_timeout: float) -> None:
        self._links = links
        self._clock = clock
        self._call_timeout = call_timeout
        self._copy: Any = None
        self._data = bytearray()
        self.last_error = ""

    def describe(self) -> dict[str, Any] | None:
        """Return version and progress for the state dump, None if nothing is loaded."""
        if self._copy is None:
            return None
        return {
            "version": self._copy.version,
            "received_bytes": len(self._data),
            "size_bytes": self._copy.size,
        }

    async def async_continue(self, latest: Any, address: str) -> LoadedConfig | None:
        """Load the copy that was begun, or else the latest messages.ConfigCopy.

        Return None if a part did not arrive or MAX_DOWNLOAD_TURN has passed; the next
        call continues from there. Raise DamagedConfigError if the bytes received are
        not those of the copy.
        """
        if self._copy is None:
            self._begin(latest)
        until = self._clock.now() + MAX_DOWNLOAD_TURN
        while len(self._data) < self._copy.size:
            if self._clock.now() >= until:
                self.last_error = "not complete yet"
                return None
            part = await self._async_load_part(address)
            if part is None:
                return None
            if part.status == STATUS_OK and part.data:
                self._data += part.data
                continue
            self.last_error = f"{address} does not have version {self._copy.version}"
            if self._copy.digest == latest.digest:
                return None
            self._begin(latest)
        return self._take()

    def _begin(self, copy: Any) -> None:
        self._copy = copy
        self._data.clear()

    async def _async_load_part(self, address: str) -> Any:
        """Return the next messages.ConfigPart, None without a reply."""
        request = messages.GetConfigPart(
            version=self._copy.version,
            digest=self._copy.digest,
            offset=len(self._data),
        )
        try:
            return await self._links.async_call(address, request, self._call_timeout)
        except CodedError as error:
            self.last_error = str(error)
            return None

    def _take(self) -> LoadedConfig:
        data, copy = bytes(self._data), self._copy
        self._copy = None
        self._data.clear()
        if content_digest(data) != copy.digest:
            raise DamagedConfigError(
                f"configuration {copy.version} has another digest than announced"
            )
        return LoadedConfig(copy.version, zlib.decompress(data))
