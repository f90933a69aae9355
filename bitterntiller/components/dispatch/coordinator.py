"""Runs the pools that this host owns: timing, incoming messages and decisions."""

from collections.abc import Callable
from typing import Any

import curio
from absl import logging

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch import const
from bitterntiller.components.dispatch.event_logging import (
    log_decision,
    log_missed_end,
    log_upstream_event,
)
from bitterntiller.components.dispatch.models import Decision, Granted, Scheduler
from bitterntiller.components.dispatch.owned_pool import OwnedPool, TrackedRequest
from bitterntiller.components.dispatch.ownership_buffer import OwnershipBuffer
from bitterntiller.components.dispatch.upstream_events import UpstreamChange
from bitterntiller.components.dispatch.wire import grant_message, refusal_message
from bitterntiller.core.interfaces import (
    ConfigView,
    DirectoryView,
    Lease,
    Ownership,
    UpstreamsView,
    VersionsView,
)
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages

SchedulerFactory = Callable[[str], Scheduler]
"""Returns the scheduler for a kind of pool, engine or plain."""

PoolAction = Callable[[OwnedPool, float], list[Decision]]
"""Applies a message to an owned pool at a time; returns the decisions."""


class DispatchCoordinator:
    """The dispatch role of one process."""

    def __init__(
        self,
        runtime: Runtime,
        lease: Lease,
        config: ConfigView,
        directory: DirectoryView,
        make_scheduler: SchedulerFactory,
        registered: UpstreamsView | None = None,
        versions: VersionsView | None = None,
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
        self._registered = registered
        self._registered_version = 0
        self._versions = versions
        self._versions_version = 0
        self._config_version = -1
        self._announce_listeners: list[Callable[[Any], None]] = []
        self._buffer = OwnershipBuffer()
        self._last_live_by_host: dict[str, float] = {}
        self._dead_hosts_checked_at = 0.0
        self._changed = curio.Event()
        self._trial_started = curio.Event()
        self._idle = False
        self.pools_by_name: dict[str, OwnedPool] = {}

    def add_announce_listener(self, listener: Callable[[Any], None]) -> None:
        """Add a listener that is called with each accepted messages.Announce.

        The listener must not await.
        """
        self._announce_listeners.append(listener)

    async def async_run(self) -> None:
        """Apply ownership and configuration changes and run timers, until cancelled."""
        while True:
            now = self._clock.now()
            self._sync_ownership(now)
            await self._async_sync_config(now)
            await self._async_sync_versions(now)
            await self._async_sync_upstreams(now)
            await self._async_drop_dead_hosts(now)
            for pool in list(self.pools_by_name.values()):
                if self._lease.valid():
                    await self._async_replay_buffered(pool.name, now)
                await self._async_execute(pool, pool.tick(now))
            await self._async_wait_for_work()

    async def _async_wait_for_work(self) -> None:
        """Wait until something is due, or while idle until a request arrives.

        Where entry hosts select their owners, every host may own every pool, but few
        get requests. Where control assigns pools, the host does not go idle, since
        grants begin some time after it has become an owner.
        """
        self._idle = self._registered is not None and self._is_idle()
        self._changed.clear()
        if not self._idle:
            await curio.sleep(self._poll_delay())
            return
        async with ignore_after(const.IDLE_PAUSE):
            await self._changed.wait()

    def _is_idle(self) -> bool:
        pools = self.pools_by_name.values()
        tracked = any(pool.tracked_by_id for pool in pools)
        return bool(pools) and not tracked and self._buffer.is_empty

    async def _async_leave_idle(self) -> None:
        """Apply pending changes before the first request after an idle time.

        Otherwise its grant could be based on an outdated list of upstreams.
        """
        if not self._idle:
            return
        self._idle = False
        now = self._clock.now()
        await self._async_sync_config(now)
        await self._async_sync_versions(now)
        await self._async_sync_upstreams(now)
        await self._changed.set()

    async def _async_replay_buffered(self, pool: str, now: float) -> None:
        for message in self._buffer.take(pool, now):
            if isinstance(message, messages.Register):
                await self.async_on_register(message.entry_host, message)
            else:
                await self.async_on_reregister(message.entry_host, message)

    async def async_on_register(self, _host: str, message: Any) -> None:
        """Queue a waiting request of an entry host."""
        await self._async_leave_idle()
        pool = self._pool(message.pool)
        if pool is None:
            self._buffer.put(message, self._clock.now())
            return
        incarnation = self._incarnation(message.entry_host)
        decisions = pool.register(message, incarnation, self._clock.now())
        await self._async_execute(pool, decisions)

    async def async_on_reregister(self, _host: str, message: Any) -> None:
        """Take over all requests that an entry host has in a pool."""
        await self._async_leave_idle()
        pool = self._pool(message.pool)
        now = self._clock.now()
        if pool is None or pool.epoch < message.epoch:
            self._buffer.put(message, now)
            return
        incarnation = self._incarnation(message.entry_host)
        decisions = pool.reregister(message, incarnation, now)
        await self._async_execute(pool, decisions)

    async def async_on_live(self, _host: str, message: Any) -> None:
        """Drop requests that an entry host no longer lists."""
        host = message.entry_host
        self._last_live_by_host[host] = self._clock.now()
        ids = frozenset(message.request_ids)
        await self._async_apply(
            message.pool, lambda pool, now: pool.retain_only(host, ids, now)
        )

    async def async_on_cancel(self, _host: str, message: Any) -> None:
        """Cancel a request whose caller has disconnected."""
        await self._async_apply(
            message.pool, lambda pool, now: pool.cancel(message.request_id, now)
        )

    async def async_on_started(self, _host: str, message: Any) -> None:
        """Record that a grant was used, or that a request runs on where it ran."""
        running = message.running
        if running is not None:
            incarnation = self._incarnation(running.request.entry_host)
            await self._async_apply(
                message.pool,
                lambda pool, now: pool.adopt_running(running, incarnation, now),
            )
            return
        await self._async_apply(
            message.pool, lambda pool, now: pool.started(message.request_id, now)
        )

    async def async_on_progress(self, _host: str, message: Any) -> None:
        """Record the output of running requests."""
        await self._async_apply(
            message.pool, lambda pool, now: pool.progress(message.items, now)
        )

    async def async_on_finished(self, _host: str, message: Any) -> None:
        """Record the end of a request."""
        await self._async_apply(
            message.pool, lambda pool, now: pool.finished(message, now)
        )

    async def async_on_returned(self, _host: str, message: Any) -> None:
        """Process the return of a grant."""
        await self._async_apply(
            message.pool, lambda pool, now: pool.returned(message, now)
        )

    async def _async_apply(self, name: str, action: PoolAction) -> None:
        """Apply a message to an owned pool and execute the decisions."""
        pool = self._pool(name)
        if pool is None:
            return
        decisions = action(pool, self._clock.now())
        await self._async_execute(pool, decisions)

    async def async_on_upstream_limit(self, _host: str, message: Any) -> None:
        """Apply the rate limit that a response of an upstream stated."""
        await self._async_apply(
            message.pool, lambda pool, now: pool.update_rate_limit(message, now)
        )

    async def async_on_upstream_notice(self, _host: str, message: Any) -> None:
        """Apply what an upstream stated in its responses to an entry host."""
        await self._async_apply(
            message.pool, lambda pool, now: pool.apply_notice(message, now)
        )

    async def async_on_announce(self, _host: str, message: Any) -> Any:
        """Process the announcement of an upstream."""
        pool = self._pool(message.pool)
        if pool is None:
            return messages.AnnounceReply(status=const.ANNOUNCE_NO_OWNER)
        accepted, decisions = pool.announce(message, self._clock.now())
        if accepted:
            for listener in self._announce_listeners:
                listener(message)
        await self._async_execute(pool, decisions)
        status = const.ANNOUNCE_ACCEPTED if accepted else const.ANNOUNCE_STALE
        return messages.AnnounceReply(status=status)

    def _pool(self, name: str) -> OwnedPool | None:
        """Return an owned pool, or None if this host must not act as its owner.

        An owner that was partitioned or paused has lost its lease: another host may own
        the pool under a later epoch, and grants of both would overload the upstreams.
        """
        if not self._lease.valid():
            return None
        self._sync_ownership(self._clock.now())
        return self.pools_by_name.get(name)

    def _ownership(self, pool: str) -> Ownership | None:
        owner = self._directory.owner(pool)
        return owner if owner is not None and owner.host == self._host else None

    def _sync_ownership(self, now: float) -> None:
        config: Config | None = self._config.config
        names = config.services_by_name if config is not None else {}
        for name in set(self.pools_by_name) - set(names):
            del self.pools_by_name[name]
        for name, service in names.items():
            owner = self._ownership(name)
            pool = self.pools_by_name.get(name)
            if owner is None:
                self._remove_pool(name)
            elif pool is None or pool.epoch != owner.epoch:
                self._add_pool(name, service.kind, owner.epoch, now)

    def _remove_pool(self, name: str) -> None:
        if self.pools_by_name.pop(name, None) is not None:
            logging.info("this host no longer owns pool %s", name)

    def _add_pool(self, name: str, kind: str, epoch: int, now: float) -> None:
        settled_at = now + self._timings.owner_settle
        pool = OwnedPool(name, epoch, self._make_scheduler(kind), settled_at)
        pool.configure(self._config.config, now)
        self.pools_by_name[name] = pool
        self._registered_version = 0
        self._versions_version = 0
        logging.info("this host owns pool %s under epoch %d", name, epoch)

    async def _async_sync_config(self, now: float) -> None:
        if self._config.version == self._config_version:
            return
        self._config_version = self._config.version
        for pool in list(self.pools_by_name.values()):
            decisions = pool.configure(self._config.config, now)
            await self._async_execute(pool, decisions)

    async def _async_sync_versions(self, now: float) -> None:
        """Pass changed version rules to the pools."""
        view = self._versions
        if view is None or view.version == self._versions_version:
            return
        self._versions_version = view.version
        for pool in list(self.pools_by_name.values()):
            decisions = pool.set_versions(view.rules(pool.name), now)
            await self._async_execute(pool, decisions)
            if pool.rollout.trial is not None:
                await self._trial_started.set()

    async def async_wait_for_trial(self) -> None:
        """Return once a trial of an owned pool's service has started."""
        self._trial_started.clear()
        await self._trial_started.wait()

    async def async_renew_allowance(
        self, pool: OwnedPool, number: int, more: int, until: float
    ) -> None:
        """Renew the allowance of a rollout's trial."""
        decisions = pool.renew_allowance(number, more, until, self._clock.now())
        await self._async_execute(pool, decisions)

    async def async_end_trial(
        self, pool: OwnedPool, number: int, complete: bool
    ) -> None:
        """Apply the verdict of a rollout before the version rules contain it."""
        decisions = pool.end_trial(number, complete, self._clock.now())
        await self._async_execute(pool, decisions)

    async def _async_sync_upstreams(self, now: float) -> None:
        """Pass changes of the upstreams registered with control to the pools."""
        view = self._registered
        if view is None or view.version == self._registered_version:
            return
        self._registered_version = view.version
        for pool in list(self.pools_by_name.values()):
            decisions = pool.sync_registered(view.by_name, view.version, now)
            await self._async_execute(pool, decisions)

    async def async_review(self, fingerprints: frozenset[int]) -> None:
        """Decide again on requests whose fingerprints have new crash evidence."""
        for pool in list(self.pools_by_name.values()):
            decisions = pool.review(fingerprints, self._clock.now())
            await self._async_execute(pool, decisions)

    async def async_drop_host(self, host: str) -> None:
        """Cancel all requests of an entry host, which uses another owner now."""
        now = self._clock.now()
        for pool in list(self.pools_by_name.values()):
            for request_id, tracked in list(pool.tracked_by_id.items()):
                if tracked.request.entry_host == host:
                    await self._async_execute(pool, pool.cancel(request_id, now))

    async def async_on_ended(self, _host: str, message: Any) -> None:
        """Process messages.EndedRequests of an entry host."""
        if self._lease.valid():
            await self.async_forget_ended(message.entry_host, message.request_ids)

    async def async_forget_ended(self, host: str, request_ids: list[str]) -> None:
        """Cancel requests whose end at the entry host was not received here."""
        now = self._clock.now()
        for pool in list(self.pools_by_name.values()):
            for request_id in request_ids:
                tracked = pool.tracked_by_id.get(request_id)
                if tracked is None or tracked.request.entry_host != host:
                    continue
                self._metrics.count(const.METRIC_ENDS_MISSED)
                log_missed_end(pool.name, request_id, host)
                await self._async_execute(pool, pool.cancel(request_id, now))

    def _incarnation(self, host: str) -> str:
        entry = self._directory.hosts_by_name.get(host)
        return entry.incarnation if entry is not None else ""

    async def _async_drop_dead_hosts(self, now: float) -> None:
        """Cancel the requests of entry processes that have died.

        The ends of these requests are never reported, so their slots would count as
        used for ever. A newer incarnation proves that a process died. A host that left
        the directory may only be cut off from control and still run its requests; it
        counts as dead once it has sent neither a list of live requests nor the request
        itself to this host for DEAD_HOST_SILENCE.
        """
        if now - self._dead_hosts_checked_at < const.DEAD_HOSTS_PERIOD:
            return
        self._dead_hosts_checked_at = now
        for pool in list(self.pools_by_name.values()):
            for request_id, tracked in list(pool.tracked_by_id.items()):
                if self._entry_is_dead(tracked, now):
                    self._metrics.count(const.METRIC_ORPHANED)
                    await self._async_execute(pool, pool.cancel(request_id, now))

    def _entry_is_dead(self, tracked: TrackedRequest, now: float) -> bool:
        host = tracked.request.entry_host
        present = self._incarnation(host)
        if present:
            known = tracked.entry_incarnation
            return bool(known) and present != known
        last_reported_at = max(
            self._last_live_by_host.get(host, 0.0), tracked.last_reported_at
        )
        return now - last_reported_at > const.DEAD_HOST_SILENCE

    def _poll_delay(self) -> float:
        now = self._clock.now()
        due = [pool.next_wake(now) for pool in self.pools_by_name.values()]
        wake = min(due, default=now + const.MAX_PAUSE)
        return min(max(wake - now, const.MIN_PAUSE), const.MAX_PAUSE)

    async def _async_execute(self, pool: OwnedPool, decisions: list[Decision]) -> None:
        """Log upstream events, and send each decision in a task of its own.

        Connecting to a host without power takes the whole connection timeout. If
        decisions were sent one by one, each decision for such a host would delay the
        grants of all other hosts for about as long as these are valid.
        """
        for event in pool.take_events():
            log_upstream_event(pool.name, event)
            if event.change is UpstreamChange.EJECTED:
                self._metrics.count(f"{const.METRIC_EJECTIONS}.{pool.name}")
        for decision in decisions:
            await curio.spawn(self._async_deliver, pool, decision, daemon=True)

    async def _async_deliver(self, pool: OwnedPool, decision: Decision) -> None:
        entry = self._directory.hosts_by_name.get(decision.entry_host)
        message = self._log_and_build_message(pool, decision)
        sent = False
        if entry is not None:
            sent = await self._links.async_send(entry.address, message)
        if sent or not isinstance(decision, Granted):
            return
        now = self._clock.now()
        more = pool.drop_undelivered(decision.request_id, now)
        await self._async_execute(pool, more)

    def _log_and_build_message(self, pool: OwnedPool, decision: Decision) -> Any:
        log_decision(pool.name, decision)
        if isinstance(decision, Granted):
            self._metrics.count(f"{const.METRIC_GRANTS}.{pool.name}")
            valid = const.DEFAULT_GRANT_SECONDS
            version = pool.version_of(decision.upstream)
            return grant_message(decision, pool.name, pool.epoch, valid, version)
        self._metrics.count(f"{const.METRIC_REFUSALS}.{pool.name}.{decision.reason}")
        return refusal_message(decision, pool.name)
