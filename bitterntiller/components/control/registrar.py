"""What a leader knows of the upstreams that announce themselves, beside the log."""

from typing import Any

from bitterntiller.components.control.const import UPSTREAM_GONE, UPSTREAM_SILENT
from bitterntiller.components.control.upstreams import (
    UpstreamsState,
    is_ready,
    with_state,
)
from bitterntiller.components.settings.models import Timings


class Registrar:
    """When each upstream was heard last, in the memory of one leader for one term.

    An upstream that this leader has not heard yet counts as heard at the takeover.
    """

    def __init__(self, started: float, state: UpstreamsState, timings: Timings) -> None:
        self._started = started
        self._state = state
        self._timings = timings
        self._last_announced_by_name: dict[str, float] = {}

    def record_announcement(self, announcement: Any, now: float) -> list[Any]:
        """Note an announcement; return what of it is new and to be committed."""
        if self._state.is_stale(announcement):
            return []
        if announcement.state != UPSTREAM_GONE:
            self._last_announced_by_name[announcement.name] = now
        if not self._state.is_change(announcement):
            return []
        return [*self._displaced(announcement, now), announcement]

    def _displaced(self, announcement: Any, now: float) -> list[Any]:
        """Return the departures of those whose address another one has by now.

        Only of those that are silent: the announcement itself may be a delayed one
        of an upstream that has died, whose address the present one was given since.
        """
        if announcement.state == UPSTREAM_GONE:
            return []
        oldest = now - self._timings.upstream_silent
        return [
            with_state(item, UPSTREAM_GONE)
            for item in self._state.at_address(announcement.address)
            if item.name != announcement.name and self._last_announced(item) < oldest
        ]

    def silence_changes(self, now: float) -> list[Any]:
        """Return the announcements that stand for silence which lasts too long."""
        news = []
        for item in self._state.by_name.values():
            silence = now - self._last_announced(item)
            if silence > self._timings.upstream_gone:
                news.append(with_state(item, UPSTREAM_GONE))
            elif silence > self._timings.upstream_silent and is_ready(item):
                news.append(with_state(item, UPSTREAM_SILENT))
        self._forget()
        return news

    def _last_announced(self, item: Any) -> float:
        return self._last_announced_by_name.get(item.name, self._started)

    def _forget(self) -> None:
        for name in self._last_announced_by_name.keys() - self._state.by_name.keys():
            del self._last_announced_by_name[name]
