"""Repairs the membership on the leader, by operators' commands and by itself."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from bitterntiller.core import events
from bitterntiller.core.clock import Clock
from bitterntiller.protocol import messages

from . import repair_decisions
from .const import REPAIR_DONE, REPAIR_REFUSED, REPAIR_RUNNING, STATUS_NOT_LEADER
from .core import Replica
from .state import Role


class Leadership(Protocol):
    """Who is the leader, as far as this replica knows."""

    def is_leader(self) -> bool:
        """Return whether this replica is the leader."""

    def leader(self) -> str:
        """Return the internal address of the leader, empty if unknown."""


class Repairer:
    """Pending repair commands of operators, and the membership changes for them.

    replica returns the current replica, wake triggers the execution of its effects;
    detection_time is the time in seconds after which the loss of a replica is noticed.
    """

    def __init__(
        self,
        clock: Clock,
        replica: Callable[[], Replica],
        log: Leadership,
        wake: Callable[[], Awaitable[None]],
        detection_time: float,
    ) -> None:
        self._clock = clock
        self._replica = replica
        self._log = log
        self._wake = wake
        self._detection_time = detection_time
        self._began_by_command: dict[repair_decisions.RepairCommand, float] = {}

    def clear_commands(self) -> None:
        """Discard all commands, as this replica is no longer the leader."""
        self._began_by_command.clear()

    async def async_on_repair(self, host: str, message: Any) -> Any:
        """Reply to a messages.Repair with the progress of the repair."""
        if not self._log.is_leader():
            return messages.RepairReply(STATUS_NOT_LEADER, "", self._log.leader())
        command = repair_decisions.RepairCommand(message.remove, message.add)
        now = self._clock.now()
        progress = repair_decisions.repair_status(self._replica().state, command, now)
        if progress.status != REPAIR_REFUSED:
            began = self._began_by_command.setdefault(command, now)
            progress = self._delay_done(progress, now - began)
        if progress.status != REPAIR_RUNNING:
            self._began_by_command.pop(command, None)
        await self._wake()
        return messages.RepairReply(progress.status, progress.text, self._log.leader())

    def _delay_done(
        self, progress: repair_decisions.RepairStatus, waited: float
    ) -> repair_decisions.RepairStatus:
        """Delay "done" until a loss just before the command would be noticed.

        A replica that failed a moment ago still counts as healthy; without the delay
        its repair would be reported as done before it began.
        """
        if progress.status != REPAIR_DONE or waited > self._detection_time:
            return progress
        return repair_decisions.RepairStatus(
            REPAIR_RUNNING, "the replicas are being heard"
        )

    def step(self, now: float) -> None:
        """Make the next membership change, if one is due."""
        state = self._replica().state
        if state.role is not Role.LEADER or state.members.index > state.commit:
            return
        step = repair_decisions.next_membership(
            state, list(self._began_by_command), now
        )
        if step is not None and step != state.members.all:
            hosts = {member.host: member.voter for member in step}
            events.emit("members", voter_by_host=hosts, term=state.term)
            self._replica().change_members(step, now)
