"""Fakes of the clock and the log; a schedule triggers each of their events."""

import curio

from bitterntiller.core.interfaces import ProposalResult


class DriftingClock:
    def __init__(self, true_clock, rate, offset):
        self._true = true_clock
        self._rate = rate
        self._offset = offset

    def now(self):
        return self._true.now() * self._rate + self._offset


class SharedLog:
    """The state of the quorum: the committed entries and the actual leader."""

    def __init__(self):
        self.entries = []
        self.term = 0
        self.leader = None


class Confirmation:
    """A confirmation in progress; it may be acknowledged long before it returns."""

    def __init__(self, term):
        self.term = term
        self.acknowledged = False
        self.resolved = curio.Event()


class StepLog:
    """The log of one replica; the schedule decides when a confirmation returns."""

    def __init__(self, shared, state, address):
        self.shared = shared
        self.state = state
        self.address = address
        self.applied = 0
        self.believes_leading = False
        self.term = 0
        self.lose_replies = False
        self.confirming = []

    @property
    def is_actual_leader(self):
        return self.shared.leader is self

    def elect(self):
        self.shared.term += 1
        self.shared.leader = self
        self.term = self.shared.term
        self.believes_leading = True
        self.catch_up()

    def catch_up(self):
        result = b""
        for command in self.shared.entries[self.applied :]:
            self.applied += 1
            result = self.state.apply(self.applied, command)
        return result

    async def async_propose(self, command, timeout):
        if not self.believes_leading:
            return ProposalResult("not-leader", b"", "")
        if not self.is_actual_leader:
            return ProposalResult("unknown", b"", "")
        self.shared.entries.append(command)
        result = self.catch_up()
        if self.lose_replies:
            return ProposalResult("unknown", b"", "")
        return ProposalResult("committed", result, self.address)

    async def async_confirm(self, timeout):
        if not self.believes_leading:
            return None
        confirmation = Confirmation(self.term)
        index = self.applied
        self.confirming.append(confirmation)
        await confirmation.resolved.wait()
        return index if confirmation.acknowledged else None

    def acknowledge(self):
        """Acknowledge leadership by a quorum, if it still follows this leader."""
        for confirmation in self.confirming:
            if self.is_actual_leader and confirmation.term == self.term:
                confirmation.acknowledged = True

    async def async_resolve(self):
        await self.confirming.pop(0).resolved.set()

    def is_leader(self):
        return self.believes_leading

    def leader(self):
        return self.address

    async def async_wait_for_leader(self, timeout):
        return

    def status(self):
        return {"term": self.term}
