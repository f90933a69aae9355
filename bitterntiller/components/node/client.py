"""Finds the leader of control and calls it."""

from typing import Any

import curio

from bitterntiller.components.node.const import (
    RETRY_PAUSE,
    STATUS_NOT_LEADER,
    STATUS_UNKNOWN,
)
from bitterntiller.core.clock import Clock
from bitterntiller.core.errors import CodedError
from bitterntiller.core.interfaces import Links


class ControlClient:
    """Calls the leader, wherever it is at the moment."""

    def __init__(
        self, links: Links, clock: Clock, addresses: list[str], call_timeout: float
    ) -> None:
        self._links = links
        self._seeds = addresses
        self._clock = clock
        self._addresses = addresses
        self._call_timeout = call_timeout
        self._position = 0
        self.leader = addresses[0] if addresses else ""

    def set_discovered(self, addresses: list[str]) -> None:
        """Try these hosts of control too, besides those of the settings."""
        self._addresses = list(dict.fromkeys([*addresses, *self._seeds]))

    def set_seeds(self, addresses: list[str]) -> None:
        """Replace the hosts that the settings name; for changed settings."""
        known = [item for item in self._addresses if item not in self._seeds]
        self._seeds = addresses
        self.set_discovered(known)

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        """Return the leader's reply to a message, within timeout seconds.

        The message may reach a leader more than once, so it has to carry what
        makes it idempotent: a change id, or the request id of a claim. None
        when no leader answered in time, a reply with status unknown when that
        is the last that was heard; both leave open whether it was carried out.
        """
        ends = self._clock.now() + timeout
        unknown = None
        hints = 1
        while (left := ends - self._clock.now()) > 0:
            wait = min(self._call_timeout, left)
            reply = await self.async_call_once(message, wait)
            if reply is not None and reply.status == STATUS_UNKNOWN:
                unknown = reply
            elif reply is not None and reply.status != STATUS_NOT_LEADER:
                return reply
            elif getattr(reply, "leader", "") == self.leader and hints:
                hints -= 1
                continue
            await curio.sleep(min(RETRY_PAUSE, left))
        return unknown

    async def async_call_once(self, message: Any, timeout: float) -> Any:
        """Call the host taken for the leader once; None without an answer.

        Whatever the answer says of the leader is followed by the next call.
        """
        address = self.leader
        try:
            reply = await self._links.async_call(address, message, timeout)
        except CodedError:
            self._advance_leader(address, "")
            return None
        if reply.status == STATUS_NOT_LEADER:
            self._advance_leader(address, getattr(reply, "leader", ""))
        return reply

    async def async_call_all(self, message: Any, status: str, timeout: float) -> Any:
        """Call all known hosts of control at once; return the first reply of a status.

        For a host that knows no leader: after a loss of all of control any of its hosts
        may lead, and those that are still down answer nothing. A leader that they name
        is called too. None when none of them answers so.
        """
        called = set(self._addresses)
        async with curio.TaskGroup() as group:
            for address in called:
                await group.spawn(self._async_try, address, message, timeout)
            async for task in group:
                reply = task.result
                if reply is None:
                    continue
                if reply.status == status:
                    await group.cancel_remaining()
                    return reply
                hint = getattr(reply, "leader", "")
                if hint and hint not in called:
                    await group.cancel_remaining()
                    self.leader = hint
                    return await self.async_call_once(message, timeout)
        return None

    async def _async_try(self, address: str, message: Any, timeout: float) -> Any:
        try:
            reply = await self._links.async_call(address, message, timeout)
        except CodedError:
            return None
        if reply.status not in (STATUS_NOT_LEADER, STATUS_UNKNOWN):
            self.leader = address
        return reply

    def _advance_leader(self, address: str, hint: str) -> None:
        """Take the hinted host for the leader, or the next of the known ones."""
        if self.leader != address:
            return
        if hint and hint != address:
            self.leader = hint
            return
        self._position = (self._position + 1) % len(self._addresses)
        if self._addresses[self._position] == address:
            self._position = (self._position + 1) % len(self._addresses)
        self.leader = self._addresses[self._position]
