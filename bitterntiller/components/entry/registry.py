"""The registry of this host's live requests, which receives the messages of owners."""

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
from bitterntiller.components.entry.sound_parts_log import SoundPartsLog
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.core.interfaces import Ownership
from bitterntiller.protocol import messages

RETURN_EXPIRED = "expired"


class OwnerChanged(NamedTuple):
    """Event: the owner of a pool has changed, or the pool has none."""

    owner: Ownership | None


class LeaseLost(NamedTuple):
    """Event: the lease of this host has expired."""


class SendingEnds(NamedTuple):
    """Event: this host stops, and soon passes no more requests on."""


class RequestRegistry:
    """Stores live requests by id and delivers events to their mailboxes."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.by_id: dict[str, ActiveRequest] = {}
        self.ended_requests = EndedRequestLog()
        self.sound_parts = SoundPartsLog()
        self._add_listeners: list[Callable[[], Awaitable[None]]] = []

    def add_listener(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Register a callback that is awaited when a request is added."""
        self._add_listeners.append(listener)

    async def async_add(self, active: ActiveRequest) -> None:
        """Add a request that is about to wait for a grant."""
        self.by_id[active.request_id] = active
        for listener in self._add_listeners:
            await listener()

    def remove(self, active: ActiveRequest) -> None:
        """Remove a request that has ended, and record its end for reports to owners."""
        active.phase = Phase.ENDED
        self.by_id.pop(active.request_id, None)
        now = self._context.clock.now()
        self.ended_requests.add(active.request_id, now)
        sound = active.part_fingerprints if active.parts_sound else ()
        self.sound_parts.add(sound, now)

    def pools(self) -> set[str]:
        """Return the pools with live requests on this host."""
        return {active.pool for active in self.by_id.values()}

    async def async_on_grant(self, host: str, message: Any) -> None:
        """Deliver a grant to its request; return it if it is stale."""
        active = self.by_id.get(message.request_id)
        owner = self._context.directory.owner(message.pool)
        issuer = self._context.directory.hosts_by_name.get(host)
        grant = GrantReceived(
            pool=message.pool,
            epoch=message.epoch,
            upstream=message.upstream,
            address=message.address,
            valid_until=self._context.clock.now() + message.valid_ms / 1000,
            # Not the current owner's address: with two owners at once, messages on the
            # grant have to go to the one that counts the slot.
            sender=issuer.address if issuer else "",
            incarnation=message.upstream_incarnation,
            rate_limited=bool(message.rate_limited),
            relays=tuple(message.relays or ()),
            version=self._version(message),
        )
        if active is None or active.phase is not Phase.WAITING:
            # The caller has disconnected, or this is a second grant after a failover.
            # Unless it is returned, the owner counts the slot as used until the grant
            # expires.
            self._context.metrics.count(const.METRIC_STALE_GRANTS)
            await self.async_return_grant(
                message.request_id, grant, RETURN_EXPIRED, False
            )
            return
        if owner is not None and message.epoch < owner.epoch:
            # A suspended owner may not know yet that it has lost the pool. Requests
            # under its grants would exceed what the new owner has counted.
            self._context.metrics.count(const.METRIC_STALE_GRANTS)
            await self.async_return_grant(
                message.request_id, grant, RETURN_EXPIRED, False
            )
            return
        await active.mailbox.put(grant)

    def _version(self, message: Any) -> str:
        """Return the version of a granted upstream.

        Owners of an earlier release don't state it.
        """
        upstreams = self._context.upstreams
        if message.version is not None or upstreams is None:
            return message.version or ""
        return upstreams.labels(message.upstream).get(LABEL_VERSION, "")

    async def async_on_refusal(self, _host: str, message: Any) -> None:
        """Deliver a refusal to its request, unless the request is no longer waiting."""
        active = self.by_id.get(message.request_id)
        if active is None or active.phase is not Phase.WAITING:
            return
        event = RefusalReceived(message.reason, message.retry_after_ms / 1000)
        await active.mailbox.put(event)

    async def async_return_grant(
        self, request_id: str, grant: GrantReceived, reason: str, waiting: bool
    ) -> None:
        """Return a grant to the owner that issued it."""
        if not grant.sender:
            return
        active = self.by_id.get(request_id)
        version = fault = None
        if active is not None:
            version = active.required_version
            fault = active.faults_by_upstream.pop(grant.upstream, None)
        message = returned_message(request_id, grant, reason, waiting, version, fault)
        await self._context.links.async_send(grant.sender, message)

    async def async_post(self, pool: str | None, event: Any) -> None:
        """Deliver an event to the waiting requests of a pool, or of all pools."""
        for active in list(self.by_id.values()):
            if pool is not None and active.pool != pool:
                continue
            if active.phase is Phase.WAITING:
                await active.mailbox.put(event)

    def running(self, pool: str) -> list[messages.RunningItem]:
        """Return the requests of a pool that may be running, for its new owner."""
        now = self._context.clock.now()
        return [
            running_item(active, self._context.host, now)
            for active in self.by_id.values()
            if active.pool == pool and active.may_have_run
        ]
