"""Remembers the streams of other hosts and answers what began them."""

from typing import Any

from bitterntiller.components.stream_versions.memory import StreamMemory
from bitterntiller.components.stream_versions.models import Beginning
from bitterntiller.components.stream_versions.wire import find_reply
from bitterntiller.core.clock import Clock


class StreamHolder:
    """Serves one process's memory of streams to other hosts."""

    def __init__(self, memory: StreamMemory, clock: Clock) -> None:
        self._memory = memory
        self._clock = clock
        self._started = clock.now()

    async def async_on_begun(self, _host: str, message: Any) -> None:
        """Remember the streams of a messages.BegunStreams."""
        now = self._clock.now()
        for streams in message.versions:
            at = now - max(0, streams.age_ms) / 1000
            beginning = Beginning(streams.pool, streams.version)
            for digest in streams.digests:
                self._memory.remember(digest, beginning, at, now)

    async def async_on_find(self, _host: str, message: Any) -> Any:
        """Reply to a messages.FindStream."""
        now = self._clock.now()
        begun = self._memory.find(message.digest, now)
        return find_reply(begun, now, now - self._started)
