"""Carries the leader's repair of its members forward, command by command."""

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
    """Tells who leads, as far as this replica knows."""

    def is_leader(self) -> bool:
        """Tell whether this replica leads."""

    def leader(self) -> str:
        """Return the internal address of the leader, empty when not known."""


class Repairer:
    """The commands of operators for other members, and the steps towards them.

    replica is called for the present one, wake to have its effects carried out;
    detection_time is the time in seconds after which a loss shows.
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
        """Drop all commands, since another replica leads."""
        self._began_by_command.clear()

    async def async_on_repair(self, host: str, message: Any) -> Any:
        """Answer a messages.Repair."""
        if not self._log.is_leader():
            return messages.RepairReply(STATUS_NOT_LEADER, "", self._log.leader())
        command = repair_decisions.RepairCommand(message.remove, message.add)
        now = self._clock.now()
        found = repair_decisions.repair_status(self._replica().state, command, now)
        if found.status != REPAIR_REFUSED:
            began = self._began_by_command.setdefault(command, now)
            found = self._delay_done(found, now - began)
        if found.status != REPAIR_RUNNING:
            self._began_by_command.pop(command, None)
        await self._wake()
        return messages.RepairReply(found.status, found.text, self._log.leader())

    def _delay_done(
        self, found: repair_decisions.RepairStatus, waited: float
    ) -> repair_decisions.RepairStatus:
        """Hold "done" back until a loss just before the command would show.

        A replica that has died a moment ago still counts as heard; without the
        wait a repair of it would be reported done before it began.
        """
        if found.status != REPAIR_DONE or waited > self._detection_time:
            return found
        return repair_decisions.RepairStatus(
            REPAIR_RUNNING, "the replicas are being heard"
        )

    def step(self, now: float) -> None:
        """Change the members by one step, when one is due."""
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
