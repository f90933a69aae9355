"""Buffer log lines and write them without blocking on their reader."""

import os
import time
from collections import Counter, deque
from typing import Any

import curio
import orjson

from bitterntiller.components.logs import const
from bitterntiller.components.logs.sample import RequestSample
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import Metrics


class _TokenBucket:
    """A token bucket that limits the lines of one event kind."""

    __slots__ = ("at", "left")

    def __init__(self, now: float) -> None:
        self.left = const.LINES_PER_SECOND * const.BURST_SECONDS
        self.at = now

    def take(self, now: float) -> bool:
        capacity = const.LINES_PER_SECOND * const.BURST_SECONDS
        self.left = min(capacity, self.left + const.LINES_PER_SECOND * (now - self.at))
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class LineWriter:
    """An EventWriter that writes one JSON object per line to standard output.

    Lines are buffered and written a few times a second. If the reader stops, the buffer
    grows up to a limit, and further lines are dropped and counted: a process that
    blocked on its log would stop serving.
    """

    def __init__(
        self, host: str, clock: Clock, metrics: Metrics, fd: int = const.STDOUT
    ) -> None:
        self._host = host
        self._clock = clock
        self._metrics = metrics
        self._fd = fd
        self._sequence = 0
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._bucket_by_kind: dict[str, _TokenBucket] = {}
        self._dropped_by_kind: Counter[str] = Counter()
        self._sample = RequestSample(clock.now())
        os.set_blocking(fd, False)

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Buffer one event; drop it if there are too many of its kind."""
        request_id = fields.get(const.ATTR_REQUEST)
        if request_id and not self._sample.includes(request_id):
            self._metrics.count(const.METRIC_LEFT_OUT)
            return
        has_room = self._bytes <= const.MAX_BUFFERED_BYTES
        if not has_room or not (request_id or self._allows(kind)):
            self._dropped_by_kind[kind] += 1
            self._metrics.count(const.METRIC_DROPPED)
            return
        self._append(kind, fields)

    def _allows(self, kind: str) -> bool:
        now = self._clock.now()
        bucket = self._bucket_by_kind.get(kind)
        if bucket is None:
            bucket = self._bucket_by_kind[kind] = _TokenBucket(now)
        return bucket.take(now)

    def _append(self, kind: str, fields: dict[str, Any]) -> None:
        self._sequence += 1
        line = {
            const.ATTR_TIME: round(time.time(), 4),
            const.ATTR_HOST: self._host,
            const.ATTR_SEQUENCE: self._sequence,
            const.ATTR_KIND: kind,
            **fields,
        }
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        self._lines.append(data)
        self._bytes += len(data)

    async def async_run(self) -> None:
        """Write buffered lines regularly until cancelled."""
        while True:
            await curio.sleep(const.FLUSH_PERIOD)
            self.flush()

    async def async_close(self) -> None:
        """Write the remaining lines as far as possible without blocking."""
        self.flush()

    def flush(self) -> None:
        """Write as many lines as possible without blocking."""
        if self._dropped_by_kind:
            self._append(const.KIND_DROPPED, {"by_kind": dict(self._dropped_by_kind)})
            self._dropped_by_kind.clear()
        if self._sample.adapt(self._clock.now()):
            fields = {"part": self._sample.fraction, "left_out": self._sample.left_out}
            self._append(const.KIND_SAMPLING, fields)
        try:
            while self._lines and self._write_some():
                continue
        except OSError:
            # Standard output is closed, so the lines can never be written.
            self._lines.clear()
            self._bytes = 0

    def _write_some(self) -> bool:
        """Write some complete lines; return False if the pipe is full."""
        data = self._lines.popleft()
        while self._lines and len(data) + len(self._lines[0]) <= const.MAX_WRITE_BYTES:
            data += self._lines.popleft()
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        self._metrics.count(const.METRIC_BYTES, written)
        self._bytes -= written
        if written < len(data):
            self._lines.appendleft(data[written:])
            return False
        return True
