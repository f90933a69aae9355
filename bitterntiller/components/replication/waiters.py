"""Callers that wait for a proposal or a confirmed read."""

import curio

from bitterntiller.core.interfaces import ProposalResult

from .const import STATUS_COMMITTED, STATUS_UNKNOWN
from .models import LogPosition, ReadOutcome


class PendingProposal:
    """A command in the log whose fate is awaited."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.done = curio.Event()
        self.result: ProposalResult | None = None


class PendingRead:
    """A question for a confirmed index; index is None when it failed."""

    def __init__(self) -> None:
        self.done = curio.Event()
        self.index: int | None = None


class Waiters:
    """All who wait, by index or token."""

    def __init__(self) -> None:
        self._proposals_by_index: dict[int, PendingProposal] = {}
        self._reads_by_token: dict[int, PendingRead] = {}
        self._unapplied: list[PendingRead] = []
        self._last_token = 0

    def add_proposal(self, position: LogPosition) -> PendingProposal:
        """Wait for what becomes of an entry."""
        proposal = PendingProposal(position.term)
        self._proposals_by_index[position.index] = proposal
        return proposal

    def drop_proposal(self, position: LogPosition, proposal: PendingProposal) -> None:
        """Stop waiting for an entry."""
        if self._proposals_by_index.get(position.index) is proposal:
            del self._proposals_by_index[position.index]

    def new_token(self) -> int:
        """Return a token for a new question."""
        self._last_token += 1
        return self._last_token

    def add_read(self, token: int) -> PendingRead:
        """Wait for the answer to a question."""
        self._reads_by_token[token] = PendingRead()
        return self._reads_by_token[token]

    def drop_read(self, token: int, read: PendingRead) -> None:
        """Stop waiting for an answer."""
        self._reads_by_token.pop(token, None)
        if read in self._unapplied:
            self._unapplied.remove(read)

    async def async_resolve_proposal(
        self, index: int, term: int, result: bytes
    ) -> None:
        """Tell who proposed an entry that it is applied."""
        proposal = self._proposals_by_index.pop(index, None)
        if proposal is None:
            return
        # Another leader's entry took the place; the command may still be sent
        # again by its caller, so nothing more than "unknown" is claimed.
        status = STATUS_COMMITTED if proposal.term == term else STATUS_UNKNOWN
        proposal.result = ProposalResult(status, result, "")
        await proposal.done.set()

    async def async_resolve_read(self, outcome: ReadOutcome, applied: int) -> None:
        """Take the answer to a question; it counts once its index is applied."""
        read = self._reads_by_token.pop(outcome.token, None)
        if read is None:
            return
        read.index = outcome.index
        if outcome.index is not None and outcome.index > applied:
            self._unapplied.append(read)
            return
        await read.done.set()

    async def async_notify_applied(self, applied: int) -> None:
        """Tell those whose read index is applied now."""
        for read in [r for r in self._unapplied if (r.index or 0) <= applied]:
            self._unapplied.remove(read)
            await read.done.set()

    async def async_fail_all(self) -> None:
        """Tell all that wait that the outcome is not known."""
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
