"""Counters, gauges and timers, kept for the state dump and sent to statsd."""

import re
import socket
from collections import Counter
from typing import Any

from statsd import StatsClient

from bitterntiller.components.metrics import const
from bitterntiller.components.metrics.models import Histogram
from bitterntiller.components.settings.models import Address

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]")


def metric_name(name: str, *parts: str) -> str:
    """Join a metric's name and its parts with dots.

    In the parts, characters that are special to statsd, and dots, become underscores.
    """
    return ".".join((name, *(_UNSAFE.sub("_", part) for part in parts)))


class _DatagramClient(StatsClient):
    """A statsd client whose sends neither block nor raise."""

    def _send(self, data: str) -> None:
        # A full send buffer would block the whole process, since curio runs in one
        # thread. With MSG_DONTWAIT it is an error, and the datagram is dropped.
        try:
            self._sock.sendto(data.encode(), socket.MSG_DONTWAIT, self._addr)
        except OSError:
            return


class StatsdMetrics:
    """The Metrics of a process.

    Values are sent only by flush(), and only if there is an address.
    """

    def __init__(self, address: Address | None, prefix: str) -> None:
        self._client: _DatagramClient | None = None
        if address is not None:
            self._client = _DatagramClient(
                address.ip, address.port, prefix, const.MAX_DATAGRAM_BYTES
            )
        self.counts_by_name: Counter[str] = Counter()
        self.gauges_by_name: dict[str, float] = {}
        self.timers_by_name: dict[str, Histogram] = {}
        self._unsent_counts: Counter[str] = Counter()
        self._unsent_timings: list[tuple[str, float]] = []

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        if not self._has_room(self.counts_by_name, name):
            name, by = const.METRIC_DROPPED_METRICS, 1
        self.counts_by_name[name] += by
        if self._client is not None:
            self._unsent_counts[name] += by

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        if not self._has_room(self.timers_by_name, name):
            self.count(const.METRIC_DROPPED_METRICS)
            return
        self.timers_by_name.setdefault(name, Histogram()).add(seconds)
        if self._client is None:
            return
        if len(self._unsent_timings) >= const.MAX_UNSENT_TIMINGS:
            self.count(const.METRIC_DROPPED_METRICS)
            return
        self._unsent_timings.append((name, seconds))

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if not self._has_room(self.gauges_by_name, name):
            self.count(const.METRIC_DROPPED_METRICS)
            return
        self.gauges_by_name[name] = value

    def counter(self, name: str) -> int:
        """Return the value of a counter since the start of the process."""
        return self.counts_by_name[name]

    def flush(self) -> None:
        """Send counts and timings since the last flush and all gauges; never block."""
        if self._client is None:
            return
        pipeline = self._client.pipeline()
        for name, by in self._unsent_counts.items():
            pipeline.incr(name, by)
        for name, seconds in self._unsent_timings:
            pipeline.timing(name, seconds * 1000)
        for name, value in self.gauges_by_name.items():
            pipeline.gauge(name, value)
        self._unsent_counts.clear()
        self._unsent_timings.clear()
        pipeline.send()

    def close(self) -> None:
        """Flush and close the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None

    def snapshot(self) -> dict[str, Any]:
        """Return all values since the start of the process, for the state dump."""
        timers = sorted(self.timers_by_name.items())
        return {
            "counters": dict(sorted(self.counts_by_name.items())),
            "gauges": dict(sorted(self.gauges_by_name.items())),
            "timers": {name: timer.summary() for name, timer in timers},
        }

    @staticmethod
    def _has_room(values_by_name: dict[str, Any], name: str) -> bool:
        # Metric names contain names of services and tiers. A configuration that keeps
        # renaming these would grow the tables without bound; above the limit, new
        # names are dropped and counted.
        return name in values_by_name or len(values_by_name) < const.MAX_NAMES
