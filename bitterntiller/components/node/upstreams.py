"""The registered upstreams, as a node last received them from control."""

from collections.abc import Mapping
from typing import Any

MAX_REMOVED_UPSTREAMS = 1000
"""Names of removed upstreams that are kept: far more than can leave while an owner may
still grant requests by an old list."""

STATE_LEAVING = "leaving"


class NodeUpstreams:
    """The latest list of upstreams; a core UpstreamsView."""

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Any] = {}
        self._removed: dict[str, None] = {}

    def apply(self, listed: Any) -> bool:
        """Apply a messages.UpstreamList; return whether it is newer.

        The version is a log index, so a list from a deposed leader or from a delayed
        reply has a lower one.
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
        """Return the labels of an upstream, none for an unknown one."""
        announced = self.by_name.get(name)
        return {} if announced is None else announced.labels

    def is_departing(self, name: str) -> bool:
        """Return whether an upstream is leaving or has left; False if unknown."""
        announced = self.by_name.get(name)
        if announced is None:
            return name in self._removed
        return announced.state == STATE_LEAVING
