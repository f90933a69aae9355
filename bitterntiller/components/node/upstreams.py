"""The registered upstreams, as a node last heard them from control."""

from collections.abc import Mapping
from typing import Any

MAX_REMOVED_UPSTREAMS = 1000
"""Names of upstreams that were listed once and are remembered: far more than leave
while an owner may still grant by an old list."""

STATE_LEAVING = "leaving"


class NodeUpstreams:
    """The newest list; a core UpstreamsView."""

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Any] = {}
        self._removed: dict[str, None] = {}

    def apply(self, listed: Any) -> bool:
        """Take a messages.UpstreamList; tell whether it is newer than the one held.

        The version is an index of the log, so a list of a leader that was deposed
        since, or of a reply that was overtaken, is known by a lower one.
        """
        if listed is None or listed.version <= self.version:
            return False
        self.version = listed.version
        before = self.by_name
        self.by_name = {item.name: item for item in listed.upstreams}
        self._removed.update(dict.fromkeys(before.keys() - self.by_name.keys()))
        for name in self._removed.keys() & self.by_name.keys():
            del self._removed[name]
        while len(self._removed) > MAX_REMOVED_UPSTREAMS:
            del self._removed[next(iter(self._removed))]
        return True

    def labels(self, name: str) -> Mapping[str, str]:
        """Return the labels of an upstream, none for an unheard one."""
        announced = self.by_name.get(name)
        return {} if announced is None else announced.labels

    def is_departing(self, name: str) -> bool:
        """Tell whether an upstream leaves or has left; False for an unheard one."""
        announced = self.by_name.get(name)
        if announced is None:
            return name in self._removed
        return announced.state == STATE_LEAVING
