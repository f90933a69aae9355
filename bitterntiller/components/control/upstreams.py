"""The upstreams that have announced themselves to control.

The log holds only what hosts must agree on: whether an upstream is present, leaving,
silent or gone. An announcement without a change is recorded in the leader's memory
only, so that the log grows with the number of changes and not with time.

An upstream may be restarted under the same name. Its incarnation increases with each
start: announcements of an earlier incarnation are stale regardless of their sequence,
and a departure of one incarnation does not affect the next.
"""

from collections import OrderedDict
from typing import Any

from bitterntiller.components.control.const import (
    ALL_INCARNATIONS,
    MAX_GONE_UPSTREAMS,
    MAX_UPSTREAMS,
    UNSPECIFIED_INCARNATION,
    UPSTREAM_GONE,
    UPSTREAM_READY,
    UPSTREAM_SILENT,
)
from bitterntiller.protocol import messages

_KEPT_FIELDS = ("name", "pool", "address", "incarnation", "sequence", "state", "slots")


class UpstreamsState:
    """The registered upstreams; part of the replicated state.

    version is the log index of the last command that changed it.
    """

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Any] = {}
        self._gone_incarnation_by_name: OrderedDict[str, int] = OrderedDict()

    def apply(self, index: int, announcements: list[Any]) -> None:
        """Apply messages.Announce entries in the order of the list."""
        for announcement in announcements:
            if self._apply(announcement):
                self.version = index

    def _apply(self, announcement: Any) -> bool:
        name = announcement.name
        if self.is_stale(announcement):
            return False
        if announcement.state == UPSTREAM_GONE:
            self._record_gone(announcement)
            return self.by_name.pop(name, None) is not None
        self.by_name[name] = announcement
        return True

    def _record_gone(self, departure: Any) -> None:
        """Record the incarnation that is gone; late announcements of it are stale."""
        incarnation = departure.incarnation
        if incarnation == UNSPECIFIED_INCARNATION:
            known = self.by_name.get(departure.name)
            incarnation = ALL_INCARNATIONS if known is None else known.incarnation
        gone = self._gone_incarnation_by_name
        gone[departure.name] = max(incarnation, gone.get(departure.name, incarnation))
        while len(gone) > MAX_GONE_UPSTREAMS:
            gone.popitem(last=False)

    def is_stale(self, announcement: Any) -> bool:
        """Return whether an announcement is older than the registered state.

        A delayed announcement would bring back an upstream that is leaving or gone;
        requests would be sent to it, or to whatever uses its address now. An
        announcement of an earlier incarnation would end the current one.
        """
        known = self.by_name.get(announcement.name)
        incarnation = announcement.incarnation
        if incarnation == UNSPECIFIED_INCARNATION and known is not None:
            incarnation = known.incarnation
        gone = self._gone_incarnation_by_name.get(announcement.name)
        if gone is not None and incarnation <= gone:
            return True
        if known is None:
            return False
        if incarnation != known.incarnation:
            return incarnation < known.incarnation
        if announcement.state in (UPSTREAM_GONE, UPSTREAM_SILENT):
            return announcement.sequence < known.sequence
        return announcement.sequence <= known.sequence

    def is_change(self, announcement: Any) -> bool:
        """Return whether an announcement changes the state that hosts must agree on."""
        known = self.by_name.get(announcement.name)
        if known is None:
            return True
        return _content(known) != _content(announcement)

    def can_register(self, name: str) -> bool:
        """Return whether an upstream is registered or can be registered."""
        return name in self.by_name or len(self.by_name) < MAX_UPSTREAMS

    def at_address(self, address: str) -> list[Any]:
        """Return the upstreams registered under an address."""
        return [item for item in self.by_name.values() if item.address == address]

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for a snapshot."""
        return {
            "version": self.version,
            "upstreams": [_to_document(item) for item in self.by_name.values()],
            "gone": [list(item) for item in self._gone_incarnation_by_name.items()],
        }

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state with that of a snapshot."""
        self.version = document["version"]
        found = [_from_document(item) for item in document["upstreams"]]
        self.by_name = {item.name: item for item in found}
        self._gone_incarnation_by_name = OrderedDict(
            map(_gone_incarnation, document["gone"])
        )


def with_state(announcement: Any, state: str) -> Any:
    """Return a copy of a registered announcement in another state."""
    document = _to_document(announcement)
    document["state"] = state
    return _from_document(document)


def is_ready(announcement: Any) -> bool:
    """Return whether an upstream takes requests and is not silent."""
    return announcement.state == UPSTREAM_READY


def _content(announcement: Any) -> tuple[Any, ...]:
    return (
        announcement.incarnation,
        announcement.pool,
        announcement.address,
        announcement.state,
        announcement.slots,
        announcement.labels,
    )


def _gone_incarnation(item: Any) -> tuple[str, int]:
    """Return a name and its gone incarnation; older snapshots hold only the name."""
    if isinstance(item, str):
        return item, ALL_INCARNATIONS
    name, incarnation = item
    return name, incarnation


def _to_document(announcement: Any) -> dict[str, Any]:
    document = {field: getattr(announcement, field) for field in _KEPT_FIELDS}
    document["labels"] = dict(announcement.labels)
    document["kv_tokens"] = announcement.kv_tokens
    return document


def _from_document(document: dict[str, Any]) -> Any:
    return messages.Announce(**document, cache_events=[])
