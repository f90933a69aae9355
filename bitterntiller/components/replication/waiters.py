"""Callers that wait for the outcome of a proposal or a confirmed read."""

import curio

from bitterntiller.core.interfaces import ProposalResult

from .const import STATUS_COMMITTED, STATUS_UNKNOWN
from .models import LogPosition, ReadOutcome


class PendingProposal:
    """Proposed command whose outcome a caller waits for."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.done = curio.Event()
        self.result: ProposalResult | None = None


class PendingRead:
    """Request for a confirmed read index; index is None if it failed."""

    def __init__(self) -> None:
        self.done = curio.Event()
        self.index: int | None = None


class Waiters:
    """Waiting callers, by log index or token."""

    def __init__(self) -> None:
        self._proposals_by_index: dict[int, PendingProposal] = {}
        self._reads_by_token: dict[int, PendingRead] = {}
        self._unapplied: list[PendingRead] = []
        self._last_token = 0

    def add_proposal(self, position: LogPosition) -> PendingProposal:
        """Register a caller that waits for the outcome of an entry."""
        proposal = PendingProposal(position.term)
        self._proposals_by_index[position.index] = proposal
        return proposal

    def drop_proposal(self, position: LogPosition, proposal: PendingProposal) -> None:
        """Remove a caller that waits for an entry."""
        if self._proposals_by_index.get(position.index) is proposal:
            del self._proposals_by_index[position.index]

    def new_token(self) -> int:
        """Return a token for a new read."""
        self._last_token += 1
        return self._last_token

    def add_read(self, token: int) -> PendingRead:
        """Register a caller that waits for a read."""
        self._reads_by_token[token] = PendingRead()
        return self._reads_by_token[token]

    def drop_read(self, token: int, read: PendingRead) -> None:
        """Remove a caller that waits for a read."""
        self._reads_by_token.pop(token, None)
        if read in self._unapplied:
            self._unapplied.remove(read)

    async def async_resolve_proposal(
        self, index: int, term: int, result: bytes
    ) -> None:
        """Resolve the proposal at an index once its entry is applied."""
        proposal = self._proposals_by_index.pop(index, None)
        if proposal is None:
            return
        # If another leader's entry is at this index, the outcome is "unknown", not a
        # failure: the caller may send the command again.
        status = STATUS_COMMITTED if proposal.term == term else STATUS_UNKNOWN
        proposal.result = ProposalResult(status, result, "")
        await proposal.done.set()

    async def async_resolve_read(self, outcome: ReadOutcome, applied: int) -> None:
        """Resolve a read once its index is applied, at once if it failed."""
        read = self._reads_by_token.pop(outcome.token, None)
        if read is None:
            return
        read.index = outcome.index
        if outcome.index is not None and outcome.index > applied:
            self._unapplied.append(read)
            return
        await read.done.set()

    async def async_notify_applied(self, applied: int) -> None:
        """Resolve the reads whose index is applied now."""
        for read in [r for r in self._unapplied if (r.index or 0) <= applied]:
            self._unapplied.remove(read)
            await read.done.set()

    async def async_fail_all(self) -> None:
        """Resolve all proposals and reads with an unknown outcome."""
        proposals = list(self._proposals_by_index.values())
        reads = [*self._reads_by_token.values(), *self._unapplied]
        self._proposals_by_index.clear()
        self._reads_by_token.clear()
        self._unapplied.clear()
        for proposal in proposals:
            await proposal.done.set()
        for read in reads:
            read.index = None
            await read.done.set()
