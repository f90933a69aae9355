"""The leader's in-memory record of when upstreams announced themselves."""

from typing import Any

from bitterntiller.components.control.const import UPSTREAM_GONE, UPSTREAM_SILENT
from bitterntiller.components.control.upstreams import (
    UpstreamsState,
    is_ready,
    with_state,
)
from bitterntiller.components.settings.models import Timings


class Registrar:
    """Tracks announcements and detects silent upstreams during one leader's term.

    An upstream that has not announced itself to this leader counts as if it had done so
    at the takeover.
    """

    def __init__(self, started: float, state: UpstreamsState, timings: Timings) -> None:
        self._started = started
        self._state = state
        self._timings = timings
        self._last_announced_by_name: dict[str, float] = {}

    def record_announcement(self, announcement: Any, now: float) -> list[Any]:
        """Record an announcement; return the announcements to commit."""
        if self._state.is_stale(announcement):
            return []
        if announcement.state != UPSTREAM_GONE:
            self._last_announced_by_name[announcement.name] = now
        if not self._state.is_change(announcement):
            return []
        return [*self._displaced(announcement, now), announcement]

    def _displaced(self, announcement: Any, now: float) -> list[Any]:
        """Return departures of other upstreams under the address of an announcement.

        Only silent ones are displaced: the announcement itself may be a delayed one of
        an upstream that died, and whose address now belongs to the registered one.
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
        """Return the announcements to commit for silent and gone upstreams."""
        changes = []
        for item in self._state.by_name.values():
            silence = now - self._last_announced(item)
            if silence > self._timings.upstream_gone:
                changes.append(with_state(item, UPSTREAM_GONE))
            elif silence > self._timings.upstream_silent and is_ready(item):
                changes.append(with_state(item, UPSTREAM_SILENT))
        self._drop_unregistered(now)
        return changes

    @property
    def known_names(self) -> frozenset[str]:
        """The upstreams of which the time of an announcement is known."""
        return frozenset(self._last_announced_by_name)

    def _last_announced(self, item: Any) -> float:
        return self._last_announced_by_name.get(item.name, self._started)

    def _drop_unregistered(self, now: float) -> None:
        """Forget announcements of upstreams that are not registered.

        Recent ones are kept, since their registration may not be committed yet.
        """
        oldest = now - self._timings.upstream_gone
        for name in self._last_announced_by_name.keys() - self._state.by_name.keys():
            if self._last_announced_by_name[name] < oldest:
                del self._last_announced_by_name[name]
