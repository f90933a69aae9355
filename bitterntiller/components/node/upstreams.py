"""The registered upstreams, as a node last heard them from control."""

from typing import Any


class NodeUpstreams:
    """The newest list; a core UpstreamsView."""

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Any] = {}

    def apply(self, listed: Any) -> bool:
        """Take a messages.UpstreamList; tell whether it is newer than the one held.

        The version is an index of the log, so a list of a leader that was deposed
        since, or of a reply that was overtaken, is known by a lower one.
        """
        if listed is None or listed.version <= self.version:
            return False
        self.version = listed.version
        self.by_name = {item.name: item for item in listed.upstreams}
        return True
