"""Joins the membership through other hosts, and replies to hosts that join."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bitterntiller.components.links.errors import LinkError
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

from . import join_decisions
from .core import Replica
from .models import Member

JOIN_PERIOD = 0.3
JOIN_TIMEOUT = 1.0
IN_PLACE_PAUSE = 2 * JOIN_TIMEOUT
"""Seconds for which all bootstrap hosts must have been empty before another one than
the first of them forms the membership: replies of an earlier start of the first one,
which may have formed it, have arrived or timed out by then."""


class Joiner:
    """Sends join requests until the membership has this replica and its address.

    address_by_replica holds the replicas that have replied, so that an empty learner
    can reply to its leader.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Callable[[], Replica],
        wake: Callable[[], Awaitable[None]],
    ) -> None:
        self.address_by_replica: dict[str, str] = {}
        self._leaders: set[str] = set()
        self._may_form = bool(runtime.settings.control.bootstrap)
        self._in_place: join_decisions.FirstMembers | None = None
        self._in_place_since = 0.0
        self._runtime = runtime
        self._replica = replica
        self._wake = wake

    def _own(self) -> join_decisions.LocalReplica:
        settings = self._runtime.settings
        address = str(settings.listen.peer_address)
        return join_decisions.LocalReplica(
            self._replica().state.replica, settings.host, address
        )

    async def async_on_join(self, host: str, message: Any) -> Any:
        """Reply to a host that requests to join."""
        now = self._runtime.clock.now()
        reply = join_decisions.reply_to_join(
            self._replica(), self._own(), message, now, self._may_form
        )
        await self._wake()
        return reply

    async def async_run(self) -> None:
        """Join if not a member, also again after this identity has been retired."""
        while True:
            if not join_decisions.is_empty(self._replica().state):
                # An identity that is retired later must not form a second deployment.
                self._may_form = False
            if join_decisions.needs_joining(self._replica().state, self._own().address):
                await self._async_join()
            await curio.sleep(JOIN_PERIOD)

    async def _async_join(self) -> None:
        replica, own = self._replica(), self._own()
        control = self._runtime.settings.control
        seeds = {str(address) for address in control.addresses} - {own.address}
        fresh = join_decisions.is_empty(replica.state)
        request = messages.Join(*own, fresh=fresh)
        replies: list[Any] = []
        await self._async_request_all(
            seeds | self._leaders - {own.address}, request, replies
        )
        # A leader that is not a seed is known only from the replies of other hosts.
        self._leaders = {reply.leader for reply in replies if reply.leader}
        self.address_by_replica = {
            reply.replica: reply.address for reply in replies if reply.replica
        }
        if not fresh or replica is not self._replica():
            return
        first = join_decisions.formed_members(replica.state, replies)
        if first is None and self._may_form:
            first = self._members_to_form(
                join_decisions.first_members(own, control.bootstrap, replies)
            )
        if first is not None:
            replica.bootstrap(first)
            await self._wake()

    def _members_to_form(
        self, found: join_decisions.FirstMembers | None
    ) -> tuple[Member, ...] | None:
        """Return the members to form now; wait first if it is in another's place."""
        now = self._runtime.clock.now()
        if found != self._in_place:
            self._in_place, self._in_place_since = found, now
        if found is None:
            return None
        if found.in_place and now < self._in_place_since + IN_PLACE_PAUSE:
            return None
        return found.members

    async def _async_request_all(
        self, addresses: set[str], request: Any, replies: list[Any]
    ) -> None:
        async with curio.TaskGroup() as group:
            for address in sorted(addresses):
                await group.spawn(self._async_call, address, request, replies)

    async def _async_call(self, address: str, request: Any, replies: list[Any]) -> None:
        try:
            links = self._runtime.links
            replies.append(await links.async_call(address, request, JOIN_TIMEOUT))
        except LinkError:
            self._runtime.metrics.count("replication.join_unanswered")
