"""Proposals of commands to the replicated log, and their outcomes."""

from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from bitterntiller.components.control.claims import claim_reply
from bitterntiller.components.control.const import (
    CLAIM_FULL,
    CONCURRENT_CLAIM_GROUPS,
    MAX_CLAIMS_PER_GROUP,
    MAX_WAITING_CLAIMS,
    PROPOSE_TIMEOUT,
)
from bitterntiller.core.interfaces import ReplicatedLog
from bitterntiller.protocol import decode, encode, messages

CommandMaker = Callable[[], Any]
"""Returns a messages.Command that has only the current times set."""


class CommandOutcome(NamedTuple):
    """The outcome of a proposed command.

    status is committed, not-leader or unknown; result is set only for committed.
    """

    status: str
    result: Any
    leader: str


class Proposer:
    """Proposes commands to the log; concurrent claims share a command."""

    def __init__(self, log: ReplicatedLog, make_command: CommandMaker) -> None:
        self._log = log
        self._make_command = make_command
        self._waiting: curio.Queue = curio.Queue()

    async def async_propose(
        self, timeout: float = PROPOSE_TIMEOUT, **content: Any
    ) -> CommandOutcome:
        """Propose a messages.Command with the given fields set."""
        command = self._make_command()
        for name, value in content.items():
            setattr(command, name, value)
        outcome = await self._log.async_propose(encode(command), timeout)
        if outcome.status != "committed":
            return CommandOutcome(outcome.status, None, outcome.leader)
        result = decode(messages.CommandResult, outcome.result)
        return CommandOutcome(outcome.status, result, outcome.leader)

    async def async_claim(self, claim: Any) -> Any:
        """Commit a messages.Claim and return its messages.ClaimReply.

        If too many claims wait, the status is full and the claim was not proposed.
        """
        if self._waiting.qsize() >= MAX_WAITING_CLAIMS:
            return claim_reply(CLAIM_FULL)
        item = _WaitingClaim(claim)
        await self._waiting.put(item)
        await item.done.wait()
        return item.reply

    async def async_run(self) -> None:
        """Commit waiting claims, several groups concurrently."""
        async with curio.TaskGroup() as group:
            for _ in range(CONCURRENT_CLAIM_GROUPS):
                await group.spawn(self._async_commit_groups())

    async def _async_commit_groups(self) -> None:
        while True:
            group = [await self._waiting.get()]
            while not self._waiting.empty() and len(group) < MAX_CLAIMS_PER_GROUP:
                group.append(await self._waiting.get())
            await self._async_commit(group)

    async def _async_commit(self, group: list["_WaitingClaim"]) -> None:
        proposed = await self.async_propose(claims=[item.claim for item in group])
        for position, item in enumerate(group):
            if proposed.result is None:
                item.reply = claim_reply(proposed.status, leader=proposed.leader)
            else:
                item.reply = proposed.result.claims[position]
            await item.done.set()


class _WaitingClaim:
    def __init__(self, claim: Any) -> None:
        self.claim = claim
        self.reply: Any = None
        self.done = curio.Event()
