"""The software versions that each service's upstreams had lately.

A host that takes up a stream asks for them: with a single version, that one began it.
"""

from collections.abc import Iterable
from typing import Any

from bitterntiller.components.rollouts.const import LABEL_VERSION

MAX_GONE_VERSIONS = 16
"""Versions without upstreams that are kept for each service. More than one is left
whenever one is dropped, so that no service seems to have had a single version."""

PRESENT = None


class ServiceVersionsState:
    """Versions by service, with the time at which each left; replicated state.

    The time is cluster time in milliseconds, PRESENT while upstreams are registered.
    Services and versions are stored in the same order on all replicas.
    """

    def __init__(self) -> None:
        self._left_ms_by_service: dict[str, dict[str, int | None]] = {}

    def update(self, announcements: Iterable[Any], time_ms: int) -> None:
        """Apply the upstreams that are registered now."""
        present: dict[str, set[str]] = {}
        for item in announcements:
            version = item.labels.get(LABEL_VERSION, "")
            present.setdefault(item.pool, set()).add(version)
        for service in sorted(present.keys() | self._left_ms_by_service.keys()):
            known = self._left_ms_by_service.setdefault(service, {})
            here = present.get(service, set())
            for version, left_ms in known.items():
                if version not in here and left_ms is PRESENT:
                    known[version] = time_ms
            known.update(dict.fromkeys(sorted(here), PRESENT))
            _drop_oldest(known)

    def recent(self, service: str, since_ms: int) -> list[str]:
        """Return the versions that had upstreams at some time after since_ms."""
        known = self._left_ms_by_service.get(service, {})
        return sorted(
            version
            for version, left_ms in known.items()
            if left_ms is PRESENT or left_ms >= since_ms
        )

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for a snapshot."""
        return self._left_ms_by_service

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot."""
        self._left_ms_by_service = {
            service: dict(versions) for service, versions in document.items()
        }


def _drop_oldest(known: dict[str, int | None]) -> None:
    gone = [version for version, left_ms in known.items() if left_ms is not PRESENT]
    gone.sort(key=lambda version: known[version] or 0)
    for version in gone[: max(0, len(gone) - MAX_GONE_VERSIONS)]:
        del known[version]
