"""A leader's view of each follower, and flow control towards it."""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from .models import Snapshot


class SentBatch(NamedTuple):
    """Entries sent in one message: the last index and the size of their data."""

    last: int
    size: int


@dataclass
class Progress:
    """Replication progress of a follower.

    match is the last index known to be synced there. While probing, one message is in
    flight at a time, otherwise several up to a limit; while a snapshot is sent, no
    entries are. last_contact is the time of the follower's last message. counted is
    whether it may count in a quorum.
    """

    next: int
    last_contact: float
    match: int = 0
    counted: bool = False
    round: int = 0
    probing: bool = True
    waiting: bool = False
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    in_flight: deque[SentBatch] = field(default_factory=deque)
    in_flight_bytes: int = 0

    def may_send(self, limit: int, max_bytes: int) -> bool:
        """Return whether flow control allows sending entries now.

        At most limit messages are in flight, and a further one only below max_bytes.
        """
        if self.snapshot:
            return False
        if self.probing:
            return not self.waiting
        return len(self.in_flight) < limit and self.in_flight_bytes < max_bytes

    def sent(self, last: int, size: int) -> None:
        """Record that entries up to last, with data of some bytes, have been sent."""
        if self.probing:
            self.waiting = True
            return
        self.in_flight.append(SentBatch(last, size))
        self.in_flight_bytes += size
        self.next = last + 1

    def acknowledged(self, index: int) -> None:
        """Record that all entries up to index are synced there."""
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)
        self.probing = False
        self.waiting = False
        while self.in_flight and self.in_flight[0].last <= index:
            self.in_flight_bytes -= self.in_flight.popleft().size

    def rejected(self, hint: int) -> None:
        """Back up to the index at which the follower's log may match."""
        self.next = max(self.match + 1, min(hint, self.next))
        self.probe()

    def probe(self) -> None:
        """Return to probing, with one message in flight."""
        self.probing = True
        self.waiting = False
        self.in_flight.clear()
        self.in_flight_bytes = 0

    def begin_snapshot(self, snapshot: Snapshot) -> None:
        """Start sending a snapshot from its first byte."""
        self.snapshot = snapshot
        self.snapshot_offset = 0
        self.probe()
