"""Loads a large configuration from control in parts."""

import zlib
from typing import Any

from bitterntiller.components.node.const import MAX_DOWNLOAD_TURN, STATUS_OK
from bitterntiller.components.node.errors import DamagedConfigError
from bitterntiller.core.clock import Clock
from bitterntiller.core.digests import content_digest
from bitterntiller.core.errors import CodedError
from bitterntiller.core.interfaces import Links
from bitterntiller.protocol import messages


class ConfigDownload:
    """The configuration that this node loads now, with the bytes received so far.

    A part that does not arrive is requested again on its own, so a slow link delays the
    configuration but can't prevent it. Any host of control that has the copy may send
    the parts, since the digest identifies its bytes.
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

    async def async_continue(self, copy: Any, address: str) -> bytes | None:
        """Load a messages.ConfigCopy; return the document once it is complete.

        Return None if a part did not arrive or MAX_DOWNLOAD_TURN has passed; the next
        call continues from there. Raise DamagedConfigError if the bytes received are
        not those of the copy.
        """
        if self._copy is None or self._copy.digest != copy.digest:
            self._copy = copy
            self._data.clear()
        until = self._clock.now() + MAX_DOWNLOAD_TURN
        while len(self._data) < copy.size:
            if self._clock.now() >= until:
                self.last_error = "not complete yet"
                return None
            data = await self._async_load_part(address)
            if not data:
                return None
            self._data += data
        return self._take()

    async def _async_load_part(self, address: str) -> bytes:
        request = messages.GetConfigPart(
            version=self._copy.version,
            digest=self._copy.digest,
            offset=len(self._data),
        )
        try:
            part = await self._links.async_call(address, request, self._call_timeout)
        except CodedError as error:
            self.last_error = str(error)
            return b""
        if part.status != STATUS_OK or not part.data:
            self.last_error = f"{address} does not have version {self._copy.version}"
            return b""
        return part.data

    def _take(self) -> bytes:
        data, copy = bytes(self._data), self._copy
        self._copy = None
        self._data.clear()
        if content_digest(data) != copy.digest:
            raise DamagedConfigError(
                f"configuration {copy.version} has another digest than announced"
            )
        return zlib.decompress(data)
