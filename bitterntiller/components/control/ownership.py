"""The pool owners; part of the replicated state."""

from typing import Any

from bitterntiller.components.control.models import Owner


class OwnershipState:
    """The owner of each pool and the epoch of its ownership."""

    def __init__(self) -> None:
        self.owners_by_pool: dict[str, Owner] = {}

    def assign(self, index: int, assignments: list[Any]) -> None:
        """Apply the messages.Assignment entries that expect the current epoch.

        The epoch is the index of the log entry and is never reused. An earlier
        leader's proposal may be committed after a newer assignment; the expected
        epoch prevents it from replacing the new owner.
        """
        for assignment in assignments:
            owner = self.owners_by_pool.get(assignment.pool)
            epoch = owner.epoch if owner else 0
            if epoch != assignment.expected_epoch:
                continue
            if not assignment.host:
                self.owners_by_pool.pop(assignment.pool, None)
                continue
            self.owners_by_pool[assignment.pool] = Owner(
                assignment.host, assignment.incarnation, assignment.address, index
            )

    def release(self, release: Any) -> None:
        """Apply a messages.ReleasePools; only the owner itself can release a pool."""
        for pool in release.pools:
            owner = self.owners_by_pool.get(pool)
            if owner is None:
                continue
            if (owner.host, owner.incarnation) == (release.host, release.incarnation):
                del self.owners_by_pool[pool]

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for a snapshot."""
        return {"owners": self.owners_by_pool}

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state with that of a snapshot."""
        self.owners_by_pool = {
            pool: Owner(*fields) for pool, fields in document["owners"].items()
        }
