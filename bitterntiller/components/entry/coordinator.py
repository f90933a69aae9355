"""Coordinate the live requests of this host and report them to the owners of pools."""

from collections.abc import Awaitable, Callable

import curio

from bitterntiller.components.entry import const
from bitterntiller.components.entry.budget import HostBudget
from bitterntiller.components.entry.claiming import ClaimClient
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.event_logging import log_cut
from bitterntiller.components.entry.incarnations import IncarnationChecks
from bitterntiller.components.entry.limit_reports import async_report_known_limits
from bitterntiller.components.entry.models import ActiveRequest, Cut, CutBy, Phase
from bitterntiller.components.entry.notice_reports import async_report_known_notices
from bitterntiller.components.entry.owner_messages import (
    progress_item,
    register_message,
)
from bitterntiller.components.entry.pipeline import GRACE_OVER, Pipeline
from bitterntiller.components.entry.registry import (
    LeaseLost,
    OwnerChanged,
    RequestRegistry,
    SendingEnds,
)
from bitterntiller.components.entry.retry_budget import RetryBudget
from bitterntiller.components.entry.stop_schedule import StopSchedule
from bitterntiller.components.settings.models import Limits
from bitterntiller.components.tunnels.server import TunnelServer
from bitterntiller.core.interfaces import Ownership
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages

BODY_INCOMPLETE = "a request with an incomplete body"


class EntryCoordinator:
    """The entry role of one process."""

    def __init__(
        self,
        context: Context,
        limits: Limits,
        claim_client: ClaimClient,
        retries: RetryBudget | None = None,
    ) -> None:
        stop = StopSchedule(context.clock, context.timings.shutdown)
        incarnations = IncarnationChecks(context.dialect)
        context = context._replace(stop=stop, incarnations=incarnations)
        self._context = context
        self.registry = RequestRegistry(context)
        self.budget = HostBudget(limits)
        self.pipeline = Pipeline(
            context, limits, self.budget, self.registry, claim_client, retries
        )
        self._owners_by_pool: dict[str, Ownership | None] = {}
        self._had_lease = True
        self.leaving = False
        self.tunnel_server: TunnelServer | None = None
        self._claim_client = claim_client
        self._drain_listeners: list[Callable[[], Awaitable[None]]] = []

    def add_drain_listener(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Register a callback that is awaited when draining begins."""
        self._drain_listeners.append(listener)

    def describe_notices(self) -> dict[str, dict[str, object]]:
        """Return the notices of upstreams that are in force, by upstream."""
        return self._context.notices.describe(self._context.clock.now())

    def ready(self) -> bool:
        """Return whether the host accepts new requests.

        This does not require a configuration: in a new deployment the operator waits
        for the hosts to be ready before applying the first one. Until then requests are
        refused as not run.
        """
        accepting = not (self.leaving or self.pipeline.draining)
        return accepting and self._context.lease.valid()

    def configured(self) -> bool:
        """Return whether the host accepts new requests and has a configuration."""
        return self.ready() and self._context.config.version > 0

    def leave(self) -> None:
        """Report not ready from now on, but still serve requests that arrive.

        The shutdown timeout begins.
        """
        self._context.stop.begin()
        self.leaving = True
        if self.tunnel_server is not None:
            self.tunnel_server.draining = True

    async def async_monitor_owners(self) -> None:
        """Monitor the lease and the owners of pools in use, until cancelled."""
        request_added = curio.Event()
        self.registry.add_listener(request_added.set)
        while True:
            request_added.clear()
            await self._async_check_lease()
            for pool in self.registry.pools():
                await self._async_check_owner(pool)
            if self.registry.by_id:
                await curio.sleep(const.OWNER_POLL)
                continue
            async with ignore_after(const.IDLE_OWNER_POLL):
                await request_added.wait()

    async def async_report_progress(self) -> None:
        """Report the progress of running requests to their owners, until cancelled."""
        while True:
            await curio.sleep(const.PROGRESS_PERIOD)
            items_by_pool = self._progress_by_pool()
            for pool, items in items_by_pool.items():
                owner = self._context.directory.owner(pool)
                if owner is None:
                    continue
                message = messages.Progress(pool=pool, items=items)
                await self._context.links.async_send(owner.address, message)

    async def async_prune(self) -> None:
        """Close connections that have been idle for too long, until cancelled."""
        while True:
            await curio.sleep(const.PRUNE_PERIOD)
            await self._context.connections.async_prune()

    async def async_report_live(self) -> None:
        """Send owners the list of live requests every few seconds, until cancelled.

        The end of a request is sent once; if that message is lost, the owner detects
        the end by this list. So empty lists are sent, too.
        """
        while True:
            await curio.sleep(const.LIVE_PERIOD)
            for pool in list(self._owners_by_pool):
                await self._async_report_live(pool)

    async def _async_report_live(self, pool: str) -> None:
        owner = self._context.directory.owner(pool)
        if owner is None:
            return
        live = self.registry.by_id.values()
        ids = [item.request_id for item in live if item.pool == pool]
        message = messages.Live(
            pool=pool, entry_host=self._context.host, request_ids=ids
        )
        await self._context.links.async_send(owner.address, message)

    async def async_report_ended(self) -> None:
        """Send recent ends to the owners that control assigned, until cancelled.

        Derived owners get them in the reports of OwnerMonitor.
        """
        while True:
            await curio.sleep(const.ENDED_PERIOD)
            live = self.registry.by_id.keys()
            ids = self.registry.ended_requests.recent(live, self._context.clock.now())
            if not ids:
                continue
            message = messages.EndedRequests(
                entry_host=self._context.host, request_ids=ids
            )
            for address in self._owner_addresses():
                await self._context.links.async_send(address, message)

    def _owner_addresses(self) -> set[str]:
        config = self._context.config.config
        pools = config.services_by_name if config is not None else {}
        owners = [self._context.directory.owner(pool) for pool in pools]
        return {owner.address for owner in owners if owner is not None}

    async def async_begin_drain(self) -> None:
        """Refuse new requests from now on, and run the drain callbacks."""
        self.pipeline.draining = True
        self.leave()
        for listener in self._drain_listeners:
            await listener()

    def unfinished(self) -> list[str]:
        """Return the ids of live requests, and a text for each incomplete body."""
        ids = list(self.registry.by_id)
        admitted = sum(self.budget.requests_by_workspace().values())
        return ids + [BODY_INCOMPLETE] * max(0, admitted - len(ids))

    async def async_drain(self) -> list[str]:
        """Refuse new requests and wait for the live ones, up to the shutdown timeout.

        The timeout counts from the beginning of the stop, which may be earlier. Then
        end those still in progress, and return their ids.
        """
        await self.async_begin_drain()
        stop = self._context.stop
        notified = False
        async with ignore_after(stop.seconds_left()):
            # A request whose body is incomplete is counted in the budget only. Without
            # this check the host would stop while a caller sends its body.
            while self._has_work():
                if stop.sending_ends and not notified:
                    notified = True
                    await self.registry.async_post(None, SendingEnds())
                await curio.sleep(const.DRAIN_POLL)
            await self._async_wait_for_settled_claims()
        left = self.unfinished()
        await self.pipeline.async_end_live()
        for active in self.registry.by_id.values():
            active.cut = Cut(CutBy.STOP, GRACE_OVER)
            log_cut(self._context, active, active.first_byte_at is not None)
        return left

    def _has_work(self) -> bool:
        """Return whether requests or tunnels of other hosts are in progress."""
        carried = self.tunnel_server.carried if self.tunnel_server is not None else 0
        admitted = self.budget.requests_by_workspace()
        return bool(self.registry.by_id or admitted or carried)

    async def _async_wait_for_settled_claims(self) -> None:
        """Wait up to SETTLE_WAIT seconds for the last claims to be settled."""
        async with ignore_after(const.SETTLE_WAIT):
            while self._claim_client.settling:
                await curio.sleep(const.DRAIN_POLL)

    async def _async_check_lease(self) -> None:
        valid = self._context.lease.valid()
        if self._had_lease and not valid:
            await self.registry.async_post(None, LeaseLost())
        self._had_lease = valid

    async def _async_check_owner(self, pool: str) -> None:
        owner = self._context.directory.owner(pool)
        if pool in self._owners_by_pool and self._owners_by_pool[pool] == owner:
            return
        known = pool in self._owners_by_pool
        if owner is None or not known:
            self._owners_by_pool[pool] = owner
            return
        # Retried in the next round. An owner without this message doesn't know what
        # runs here and would assign the occupied slots again.
        if not await self._async_reregister(pool, owner):
            return
        self._owners_by_pool[pool] = owner
        await self.registry.async_post(pool, OwnerChanged(owner))

    async def _async_reregister(self, pool: str, owner: Ownership) -> bool:
        """Send a new owner all waiting and running requests, so that it counts them."""
        now = self._context.clock.now()
        waiting = []
        for active in self._waiting(pool):
            context = self._context
            message = register_message(active, context.host, now, context.versions)
            waiting.append(message)
            active.owner = owner
            active.registered_at = now
        await async_report_known_limits(self._context, pool, owner)
        await async_report_known_notices(self._context, pool, owner)
        message = messages.Reregister(
            pool=pool,
            epoch=owner.epoch,
            entry_host=self._context.host,
            waiting=waiting,
            running=self.registry.running(pool),
        )
        return await self._context.links.async_send(owner.address, message)

    def _waiting(self, pool: str) -> list[ActiveRequest]:
        return [
            active
            for active in self.registry.by_id.values()
            if active.pool == pool and active.phase is Phase.WAITING
        ]

    def _progress_by_pool(self) -> dict[str, list[messages.ProgressItem]]:
        items_by_pool: dict[str, list[messages.ProgressItem]] = {}
        for active in self.registry.by_id.values():
            if active.output_tokens == active.reported_tokens:
                continue
            item = progress_item(active)
            active.reported_tokens = active.output_tokens
            items_by_pool.setdefault(active.pool, []).append(item)
        return items_by_pool
