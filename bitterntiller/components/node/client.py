"""Client that finds the leader of control and calls it."""

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
    """Calls the current leader of control and follows leadership changes.

    own is the address of this host if it serves control, else empty: its replica knows
    the leader although all hosts of the settings are down. last_error is the error of
    the latest call without a reply, for logs.
    """

    def __init__(
        self,
        links: Links,
        clock: Clock,
        addresses: list[str],
        call_timeout: float,
        own: str = "",
    ) -> None:
        self._links = links
        self._own = [own] if own else []
        self._seeds = addresses
        self._clock = clock
        self._discovered: list[str] = []
        self._call_timeout = call_timeout
        self._position = 0
        self.leader = next(iter(self.addresses), "")
        self.last_error = ""

    @property
    def addresses(self) -> tuple[str, ...]:
        """The control hosts that are searched for the leader, each once."""
        return tuple(dict.fromkeys([*self._own, *self._discovered, *self._seeds]))

    def set_discovered_addresses(self, addresses: list[str]) -> None:
        """Set the control hosts to try in addition to those in the settings."""
        self._discovered = addresses

    def set_seed_addresses(self, addresses: list[str]) -> None:
        """Replace the control hosts from the settings, after the settings changed."""
        self._seeds = addresses

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        """Return the leader's reply to a message, within timeout seconds.

        The message may reach a leader more than once, so it must be idempotent, by a
        change id or the request id of a claim. Return None if no leader replied in
        time, or a reply with status unknown if one was received; in both cases the
        message may or may not have been applied.
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
        """Call the presumed leader once; return None if it does not reply.

        If it is not the leader, the next call goes to the leader that the reply names,
        or else to the next known host.
        """
        address = self.leader
        try:
            reply = await self._links.async_call(address, message, timeout)
        except CodedError as error:
            self.last_error = str(error)
            self._advance_leader(address, "")
            return None
        if reply.status == STATUS_NOT_LEADER:
            self._advance_leader(address, getattr(reply, "leader", ""))
        return reply

    async def async_call_all(self, message: Any, status: str, timeout: float) -> Any:
        """Call all known control hosts at once; return the first reply with a status.

        For a host that knows no leader: after a restart of all control hosts, any of
        them may lead, and those that are still down do not reply. If a reply names a
        leader that was not called, call that one too. Return None without such a reply.
        """
        called = set(self.addresses)
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
                    called.add(hint)
                    await group.spawn(self._async_try, hint, message, timeout)
        return None

    async def _async_try(self, address: str, message: Any, timeout: float) -> Any:
        try:
            reply = await self._links.async_call(address, message, timeout)
        except CodedError as error:
            self.last_error = str(error)
            return None
        if reply.status not in (STATUS_NOT_LEADER, STATUS_UNKNOWN):
            self.leader = address
        return reply

    def _advance_leader(self, address: str, hint: str) -> None:
        """Select the hinted host as presumed leader, or else the next known one."""
        if self.leader != address:
            return
        if hint and hint != address:
            self.leader = hint
            return
        addresses = self.addresses
        self._position = (self._position + 1) % len(addresses)
        if addresses[self._position] == address:
            self._position = (self._position + 1) % len(addresses)
        self.leader = addresses[self._position]
