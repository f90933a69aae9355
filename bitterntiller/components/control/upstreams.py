"""The upstreams that have announced themselves to control.

Only what hosts must agree on is in the log: that an upstream is there, leaving, silent
or gone. An announcement that repeats what is known is noted in the leader's memory
only, so that the log grows with the changes and not with the time.

An upstream may be started again under the name that it had. The incarnation, which is
higher at each start, tells its lives apart: words of an earlier life are stale
whatever their sequence, and what ends one life takes nothing from the next.
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

    version is the index of the last command that changed anything.
    """

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Any] = {}
        self._gone_incarnation_by_name: OrderedDict[str, int] = OrderedDict()

    def apply(self, index: int, announcements: list[Any]) -> None:
        """Take messages.Announce of an upstream, in the order of the list."""
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
        """Remember which incarnation has gone, so that no late word revives it."""
        incarnation = departure.incarnation
        if incarnation == UNSPECIFIED_INCARNATION:
            known = self.by_name.get(departure.name)
            incarnation = ALL_INCARNATIONS if known is None else known.incarnation
        gone = self._gone_incarnation_by_name
        gone[departure.name] = max(incarnation, gone.get(departure.name, incarnation))
        while len(gone) > MAX_GONE_UPSTREAMS:
            gone.popitem(last=False)

    def is_stale(self, announcement: Any) -> bool:
        """Tell whether an announcement is older than what is known.

        A delayed one would bring back an upstream that is leaving or gone, and
        requests would be sent to it, or to whatever has its address by now. One of an
        earlier life would end the life that has begun since.
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
        """Tell whether an announcement changes what hosts must agree on."""
        known = self.by_name.get(announcement.name)
        if known is None:
            return True
        return _content(known) != _content(announcement)

    def has_room_for(self, name: str) -> bool:
        """Tell whether an upstream is registered, or one more may be."""
        return name in self.by_name or len(self.by_name) < MAX_UPSTREAMS

    def at_address(self, address: str) -> list[Any]:
        """Return the upstreams that have announced an address as theirs."""
        return [item for item in self.by_name.values() if item.address == address]

    def to_document(self) -> dict[str, Any]:
        """Return the whole state for a snapshot."""
        return {
            "version": self.version,
            "upstreams": [_to_document(item) for item in self.by_name.values()],
            "gone": [list(item) for item in self._gone_incarnation_by_name.items()],
        }

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot."""
        self.version = document["version"]
        found = [_from_document(item) for item in document["upstreams"]]
        self.by_name = {item.name: item for item in found}
        self._gone_incarnation_by_name = OrderedDict(
            map(_gone_incarnation, document["gone"])
        )


def with_state(announcement: Any, state: str) -> Any:
    """Return an announcement as it is known, in another state."""
    document = _to_document(announcement)
    document["state"] = state
    return _from_document(document)


def is_ready(announcement: Any) -> bool:
    """Tell whether an upstream takes work and is heard of."""
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
    """Return a name and its last incarnation; older snapshots hold the name alone."""
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
