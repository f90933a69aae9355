"""The live requests of this host, and the messages of owners that concern them."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.ended_requests import EndedRequestLog
from bitterntiller.components.entry.models import (
    ActiveRequest,
    GrantReceived,
    Phase,
    RefusalReceived,
)
from bitterntiller.components.entry.owner_messages import returned_message, running_item
from bitterntiller.core.interfaces import Ownership
from bitterntiller.protocol import messages

RETURN_EXPIRED = "expired"


class OwnerChanged(NamedTuple):
    """The pool has another owner, or none."""

    owner: Ownership | None


class LeaseLost(NamedTuple):
    """The node's configuration lease has run out."""


class RequestRegistry:
    """Holds the live requests by id and posts to them what they wait for."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.by_id: dict[str, ActiveRequest] = {}
        self.ended_requests = EndedRequestLog()
        self._add_listeners: list[Callable[[], Awaitable[None]]] = []

    def add_listener(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Have a callback awaited when a request begins to wait."""
        self._add_listeners.append(listener)

    async def async_add(self, active: ActiveRequest) -> None:
        """Take a request that begins to wait."""
        self.by_id[active.request_id] = active
        for listener in self._add_listeners:
            await listener()

    def remove(self, active: ActiveRequest) -> None:
        """Forget a request that has ended."""
        active.phase = Phase.ENDED
        self.by_id.pop(active.request_id, None)
        self.ended_requests.note(active.request_id, self._context.clock.now())

    def pools(self) -> set[str]:
        """Return the pools for which requests are live here."""
        return {active.pool for active in self.by_id.values()}

    async def async_on_grant(self, host: str, message: Any) -> None:
        """Hand a grant to its request; give back one that nobody waits for."""
        active = self.by_id.get(message.request_id)
        owner = self._context.directory.owner(message.pool)
        issuer = self._context.directory.hosts_by_name.get(host)
        grant = GrantReceived(
            pool=message.pool,
            epoch=message.epoch,
            upstream=message.upstream,
            address=message.address,
            valid_until=self._context.clock.now() + message.valid_ms / 1000,
            # Not the present owner: with two owners at once the answer has to go
            # to the one that counts the slot.
            sender=issuer.address if issuer else "",
            incarnation=message.upstream_incarnation,
            rate_limited=bool(message.rate_limited),
        )
        if active is None or active.phase is not Phase.WAITING:
            # A caller that left, or a second grant after a failover: without the
            # return the owner would count the slot as used until it lapses.
            self._context.metrics.count(const.METRIC_STALE_GRANTS)
            await self.async_return_grant(
                message.request_id, grant, RETURN_EXPIRED, False
            )
            return
        if owner is not None and message.epoch < owner.epoch:
            # An owner that was stopped does not know yet that it has lost the
            # pool; work under its grants would come on top of the new owner's.
            self._context.metrics.count(const.METRIC_STALE_GRANTS)
            await self.async_return_grant(
                message.request_id, grant, RETURN_EXPIRED, False
            )
            return
        await active.mailbox.put(grant)

    async def async_on_refusal(self, _host: str, message: Any) -> None:
        """Hand a refusal to its request, unless it is being sent already."""
        active = self.by_id.get(message.request_id)
        if active is None or active.phase is not Phase.WAITING:
            return
        event = RefusalReceived(message.reason, message.retry_after_ms / 1000)
        await active.mailbox.put(event)

    async def async_return_grant(
        self, request_id: str, grant: GrantReceived, reason: str, waiting: bool
    ) -> None:
        """Give a grant back to the owner that issued it."""
        if not grant.sender:
            return
        message = returned_message(request_id, grant, reason, waiting)
        await self._context.links.async_send(grant.sender, message)

    async def async_post(self, pool: str | None, event: Any) -> None:
        """Post an event to the waiting requests of a pool, or of all pools."""
        for active in list(self.by_id.values()):
            if pool is not None and active.pool != pool:
                continue
            if active.phase is Phase.WAITING:
                await active.mailbox.put(event)

    def running(self, pool: str) -> list[messages.RunningItem]:
        """Return what may be running in a pool, for its new owner."""
        now = self._context.clock.now()
        return [
            running_item(active, self._context.host, now)
            for active in self.by_id.values()
            if active.pool == pool and active.may_have_run
        ]
