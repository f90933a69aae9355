"""Owns the schedulers of this host's pools, their timing and their messages."""

from collections.abc import Callable
from typing import Any

import curio
from absl import logging

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch import const
from bitterntiller.components.dispatch.models import Decision, Granted, Scheduler
from bitterntiller.components.dispatch.owned_pool import HOST_GONE, OwnedPool
from bitterntiller.components.dispatch.wire import grant_message, refusal_message
from bitterntiller.core.interfaces import ConfigView, DirectoryView, Lease, Ownership
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

MakeScheduler = Callable[[str], Scheduler]
"""Makes the scheduler of a pool of a kind: engine or plain."""


class DispatchCoordinator:
    """The dispatch role of one process."""

    def __init__(
        self,
        runtime: Runtime,
        lease: Lease,
        config: ConfigView,
        directory: DirectoryView,
        make_scheduler: MakeScheduler,
    ) -> None:
        self._host = runtime.settings.host
        self._timings = runtime.settings.timings
        self._clock = runtime.clock
        self._metrics = runtime.metrics
        self._links = runtime.links
        self._lease = lease
        self._config = config
        self._directory = directory
        self._make_scheduler = make_scheduler
        self._config_version = -1
        self._announce_listeners: list[Callable[[Any], None]] = []
        self.pools_by_name: dict[str, OwnedPool] = {}

    def add_announce_listener(self, listener: Callable[[Any], None]) -> None:
        """Have a callback called with each accepted messages.Announce.

        The callback never awaits.
        """
        self._announce_listeners.append(listener)

    async def async_run(self) -> None:
        """Follow ownership, the configuration and time, until cancelled."""
        while True:
            now = self._clock.now()
            self._follow_ownership(now)
            await self._async_follow_config(now)
            for pool in list(self.pools_by_name.values()):
                self._drop_dead_hosts(pool, now)
                await self._async_carry_out(pool, pool.tick(now))
            await curio.sleep(self._pause())

    async def async_on_register(self, _host: str, message: Any) -> None:
        """Take a waiting request of an entry host."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        incarnation = self._incarnation(message.entry_host)
        decisions = pool.register(message, incarnation, self._clock.now())
        await self._async_carry_out(pool, decisions)

    async def async_on_reregister(self, _host: str, message: Any) -> None:
        """Take all that an entry host has with a pool."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        now = self._clock.now()
        incarnation = self._incarnation(message.entry_host)
        decisions: list[Decision] = []
        for item in message.running:
            decisions += pool.adopt(item, incarnation, now)
        for item in message.waiting:
            decisions += pool.register(item, incarnation, now)
        await self._async_carry_out(pool, decisions)

    async def async_on_cancel(self, _host: str, message: Any) -> None:
        """Forget a request whose caller has gone."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        decisions = pool.cancel(message.request_id, self._clock.now())
        await self._async_carry_out(pool, decisions)

    async def async_on_started(self, _host: str, message: Any) -> None:
        """Note that a grant was used."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        decisions = pool.started(message.request_id, self._clock.now())
        await self._async_carry_out(pool, decisions)

    async def async_on_progress(self, _host: str, message: Any) -> None:
        """Note the output of running requests."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        decisions = pool.progress(message.items, self._clock.now())
        await self._async_carry_out(pool, decisions)

    async def async_on_finished(self, _host: str, message: Any) -> None:
        """Note the end of a request."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        decisions = pool.finished(message, self._clock.now())
        await self._async_carry_out(pool, decisions)

    async def async_on_returned(self, _host: str, message: Any) -> None:
        """Take an unused grant back."""
        pool = self._pool(message.pool)
        if pool is None:
            return
        decisions = pool.returned(message, self._clock.now())
        await self._async_carry_out(pool, decisions)

    async def async_on_announce(self, _host: str, message: Any) -> Any:
        """Take an upstream's announcement."""
        pool = self._pool(message.pool)
        if pool is None:
            return messages.AnnounceReply(status=const.ANNOUNCE_NO_OWNER)
        accepted, decisions = pool.announce(message, self._clock.now())
        if accepted:
            for listener in self._announce_listeners:
                listener(message)
        await self._async_carry_out(pool, decisions)
        status = const.ANNOUNCE_ACCEPTED if accepted else const.ANNOUNCE_STALE
        return messages.AnnounceReply(status=status)

    def _pool(self, name: str) -> OwnedPool | None:
        """Return an owned pool, None for one that this host may not act for.

        An owner that was cut off or stopped and comes back has lost its lease:
        another host owns the pool under a later epoch, and this one's grants
        would load the upstreams twice.
        """
        if not self._lease.valid():
            return None
        self._follow_ownership(self._clock.now())
        return self.pools_by_name.get(name)

    def _ownership(self, pool: str) -> Ownership | None:
        owner = self._directory.owner(pool)
        return owner if owner is not None and owner.host == self._host else None

    def _follow_ownership(self, now: float) -> None:
        config: Config | None = self._config.config
        names = config.services_by_name if config is not None else {}
        for name in set(self.pools_by_name) - set(names):
            del self.pools_by_name[name]
        for name, service in names.items():
            owner = self._ownership(name)
            pool = self.pools_by_name.get(name)
            if owner is None:
                self._lose(name)
            elif pool is None or pool.epoch != owner.epoch:
                self._gain(name, service.kind, owner.epoch, now)

    def _lose(self, name: str) -> None:
        if self.pools_by_name.pop(name, None) is not None:
            logging.info("pool %s is no longer owned here", name)

    def _gain(self, name: str, kind: str, epoch: int, now: float) -> None:
        settled_at = now + self._timings.owner_settle
        pool = OwnedPool(name, epoch, self._make_scheduler(kind), settled_at)
        pool.configure(self._config.config, now)
        self.pools_by_name[name] = pool
        logging.info("pool %s is owned here under epoch %d", name, epoch)

    async def _async_follow_config(self, now: float) -> None:
        if self._config.version == self._config_version:
            return
        self._config_version = self._config.version
        for pool in list(self.pools_by_name.values()):
            decisions = pool.configure(self._config.config, now)
            await self._async_carry_out(pool, decisions)

    def _incarnation(self, host: str) -> str:
        entry = self._directory.hosts_by_name.get(host)
        return entry.incarnation if entry is not None else ""

    def _drop_dead_hosts(self, pool: OwnedPool, now: float) -> None:
        """Free what entry processes held that have died.

        Nobody will report the end of their requests; without this the slots
        would count as used for ever. A newer incarnation proves the death.
        """
        for request_id, tracked in list(pool.tracked_by_id.items()):
            present = self._incarnation(tracked.request.entry_host)
            if not present or not tracked.entry_incarnation:
                continue
            if present != tracked.entry_incarnation:
                self._metrics.count(const.METRIC_ORPHANED)
                pool.cancel(request_id, now)

    def _pause(self) -> float:
        now = self._clock.now()
        due = [pool.next_wake(now) for pool in self.pools_by_name.values()]
        wake = min(due, default=now + const.LONGEST_PAUSE)
        return min(max(wake - now, const.SHORTEST_PAUSE), const.LONGEST_PAUSE)

    async def _async_carry_out(
        self, pool: OwnedPool, decisions: list[Decision]
    ) -> None:
        for decision in decisions:
            entry = self._directory.hosts_by_name.get(decision.entry_host)
            message = self._message(pool, decision)
            sent = False
            if entry is not None:
                sent = await self._links.async_send(entry.address, message)
            if not sent and isinstance(decision, Granted):
                now = self._clock.now()
                more = pool.scheduler.returned(
                    decision.request_id, HOST_GONE, False, now
                )
                pool.tracked_by_id.pop(decision.request_id, None)
                await self._async_carry_out(pool, more)

    def _message(self, pool: OwnedPool, decision: Decision) -> Any:
        if isinstance(decision, Granted):
            self._metrics.count(f"{const.METRIC_GRANTS}.{pool.name}")
            valid = const.DEFAULT_GRANT_SECONDS
            return grant_message(decision, pool.name, pool.epoch, valid)
        self._metrics.count(f"{const.METRIC_REFUSALS}.{pool.name}.{decision.reason}")
        return refusal_message(decision, pool.name)
