"""The record and the search of what began streams, as the entry role uses them."""

from typing import Any

from bitterntiller.components.config.models import Route
from bitterntiller.components.stream_versions.finder import StreamFinder
from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.models import Beginning
from bitterntiller.components.stream_versions.recorder import StreamRecorder
from bitterntiller.core.interfaces import StreamOrigin, UnknownOrigin


class StreamVersionCoordinator:
    """A core StreamVersions."""

    def __init__(
        self, memory: StreamMemory, recorder: StreamRecorder, finder: StreamFinder
    ) -> None:
        self._memory = memory
        self._recorder = recorder
        self._finder = finder

    async def async_record(
        self, route: Route, first_id: str, pool: str, version: str
    ) -> None:
        """Record that a caller gets an event of a stream; don't wait for holders."""
        if not first_id:
            return
        self._recorder.record(route, first_id, Beginning(pool, version))
        await self._recorder.async_flush()

    async def async_find(
        self, route: Route, first_id: str
    ) -> StreamOrigin | UnknownOrigin:
        """Return what began a stream, or why it isn't known."""
        return await self._finder.async_find(route, first_id)

    def describe(self) -> dict[str, Any]:
        """Return the number of remembered streams, for the state dump."""
        return {"remembered": len(self._memory)}
