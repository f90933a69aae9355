"""Models of paths between hosts and upstreams; times in seconds."""

from enum import StrEnum
from typing import NamedTuple

from bitterntiller.components.paths.const import (
    MAX_NEEDED_RECEIVED,
    MAX_NEEDED_SENT,
)


class PathFault(StrEnum):
    """How a path failed.

    REFUSED: no connection, and at once. SILENT: no connection in time. LOST: a request
    was sent and no response came. TRUNCATED: a response broke off.
    """

    REFUSED = "refused"
    SILENT = "silent"
    LOST = "lost"
    TRUNCATED = "truncated"


class CarriedBytes(NamedTuple):
    """The bytes of one exchange that a path carried, or lost."""

    sent: int = 0
    received: int = 0

    def covers(self, needed: "CarriedBytes") -> bool:
        """Return whether at least as much was carried in both directions."""
        return self.sent >= needed.sent and self.received >= needed.received

    def most(self, other: "CarriedBytes") -> "CarriedBytes":
        """Return the larger number of each direction."""
        return CarriedBytes(
            max(self.sent, other.sent), max(self.received, other.received)
        )

    def bounded(self) -> "CarriedBytes":
        """Return what a path must carry after such an exchange failed on it."""
        return CarriedBytes(
            min(self.sent, MAX_NEEDED_SENT), min(self.received, MAX_NEEDED_RECEIVED)
        )


NO_BYTES = CarriedBytes()


class FailedPath(NamedTuple):
    """A path that has failed and was not seen to work since.

    needed is what it must carry to count as working. failed_at is the time of its first
    fault, fault_at that of its last one: only an answer to what was sent after that
    shows that it works. probe_at is the time of the next probe. trial_at is the time
    from which a repeatable request tests it, trial_pause the time between the last two,
    unrepeatable_at the time from which any request does.
    """

    upstream: str
    pool: str
    fault: PathFault
    needed: CarriedBytes
    failed_at: float
    fault_at: float
    used_at: float
    probe_at: float
    trial_at: float
    unrepeatable_at: float
    trial_pause: float = 0.0

    @property
    def needs_trial(self) -> bool:
        """Whether only the response to a request shows that the path works.

        A probe's response is short.
        """
        return self.needed.received > 0


class DueProbe(NamedTuple):
    """A failed path to probe, with at least so many bytes."""

    address: str
    upstream: str
    pool: str
    sent: int


class RelayCandidate(NamedTuple):
    """A host that may reach an upstream for this one; address is its internal one."""

    name: str
    address: str
    zone: str
