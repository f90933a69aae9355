"""Limits in bytes of what a replica keeps, derived from its settings.

Each limit is a part of the memory of the process, and where the data is also on disk,
at most a part of the data folder's room: a new log and snapshot are written beside the
old ones.
"""

from typing import NamedTuple

from bitterntiller.components.settings.models import Limits


class ReplicaBudget(NamedTuple):
    """Limits in bytes.

    applied: entries applied since the snapshot, after which the next one is due.
    trailing: entries kept before the snapshot, for followers that lag by less.
    uncommitted: entries proposed and not applied yet.
    in_flight: entries sent to one follower and not acknowledged yet.
    outbox: messages that wait for all peers.
    pinned: older snapshots that followers still load.
    aside: files of retired identities, which are kept for operators.
    """

    applied: int
    trailing: int
    uncommitted: int
    in_flight: int
    outbox: int
    pinned: int
    aside: int


def replica_budget(limits: Limits) -> ReplicaBudget:
    """Return the limits for a process with these limits."""
    memory, disk = limits.memory_bytes, limits.disk_bytes
    return ReplicaBudget(
        applied=min(memory // 16, disk // 8),
        trailing=min(memory // 32, disk // 16),
        uncommitted=min(memory // 32, disk // 16),
        in_flight=memory // 128,
        outbox=memory // 16,
        pinned=memory // 16,
        aside=disk // 4,
    )
