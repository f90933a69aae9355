"""The owners of pools; part of the replicated state."""

from typing import Any

from bitterntiller.components.control.models import Owner


class OwnershipState:
    """Who owns which pool, under which epoch."""

    def __init__(self) -> None:
        self.owners_by_pool: dict[str, Owner] = {}

    def assign(self, index: int, assignments: list[Any]) -> None:
        """Apply messages.Assignment entries that expect the present epoch.

        The epoch is the index of the log entry, which is never used twice. A
        proposal of an earlier leader may be committed after another owner was
        settled; the expected epoch keeps it from taking the pool away again.
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
        """Apply a messages.ReleasePools: only the owner itself can release."""
        for pool in release.pools:
            owner = self.owners_by_pool.get(pool)
            if owner is None:
                continue
            if (owner.host, owner.incarnation) == (release.host, release.incarnation):
                del self.owners_by_pool[pool]

    def to_document(self) -> dict[str, Any]:
        """Return the whole state for a snapshot."""
        return {"owners": self.owners_by_pool}

    def from_document(self, document: dict[str, Any]) -> None:
        """Replace the state by that of a snapshot."""
        self.owners_by_pool = {
            pool: Owner(*fields) for pool, fields in document["owners"].items()
        }
