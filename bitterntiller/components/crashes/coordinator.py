"""Detects what crashes upstreams, and shares the history with all hosts.

A request counts, and so does each part of its prompt.

A host that detects a crash reports it to the owners of all pools, and each owner
broadcasts it to all hosts, so that a host that becomes an owner has the whole history.
Each host also synchronizes its history with the owners periodically, and at once with
a new owner.
"""

import zlib
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any

import curio

from bitterntiller.components.crashes import const
from bitterntiller.components.crashes.diagnostics import describe
from bitterntiller.components.crashes.event_logging import (
    log_block,
    log_clearing,
    log_crash,
    log_probe,
)
from bitterntiller.components.crashes.fingerprint import (
    fingerprint,
    is_part,
    part_fingerprint,
)
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.models import (
    Block,
    Clearing,
    Crash,
    CrashUpdate,
)
from bitterntiller.components.crashes.probe import async_has_ended
from bitterntiller.components.crashes.wire import crash_update, report_message
from bitterntiller.components.links.errors import LinkError
from bitterntiller.core.interfaces import (
    ConfigView,
    Conviction,
    DirectoryView,
    Ownership,
    ProcessProbes,
    SentRequest,
)
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.timeouts import ignore_after

UpdateListener = Callable[[frozenset[int]], Awaitable[None]]
"""Called with the fingerprints whose crash history has changed."""


class CrashCoordinator:
    """Holds the crash history of one process; a core CrashWatch and CrashRegister."""

    def __init__(
        self, runtime: Runtime, config: ConfigView, directory: DirectoryView
    ) -> None:
        self._host = runtime.settings.host
        self._key = runtime.settings.keys.internal
        self._own_address = str(runtime.settings.listen.peer_address)
        self._clock = runtime.clock
        self._links = runtime.links
        self._metrics = runtime.metrics
        self._config = config
        self._directory = directory
        self._listeners: list[UpdateListener] = []
        self._synced_at_by_owner: dict[Ownership, float] = {}
        self._sync_needed = curio.Event()
        self.history = CrashHistory()

    def add_listener(self, listener: UpdateListener) -> None:
        """Add a callback that is awaited when the history of requests changes."""
        self._listeners.append(listener)

    def fingerprint(
        self,
        workspace: str,
        method: str,
        target: str,
        body: bytes,
        part_ids: tuple[bytes, ...] = (),
    ) -> int:
        """Return the number that identifies all copies of a request."""
        return fingerprint(self._key, workspace, method, target, body, part_ids)

    def part_fingerprints(
        self, pool: str, part_ids: tuple[bytes, ...]
    ) -> tuple[int, ...]:
        """Return the numbers that identify the parts of a prompt, in order."""
        return tuple(part_fingerprint(self._key, pool, item) for item in part_ids)

    @property
    def any(self) -> bool:
        """Return whether there may be any crashes."""
        return self.history.any

    @property
    def highest_count(self) -> int:
        """Return how many upstreams have crashed under one fingerprint at most."""
        return self.history.highest_count

    def count(self, fingerprint: int, now: float) -> int:
        """Return how many upstreams have crashed under a fingerprint."""
        return self.history.count(fingerprint, now)

    def upstreams(self, fingerprint: int, since: float) -> frozenset[str]:
        """Return the upstreams that have crashed under a fingerprint since a time."""
        return self.history.upstreams(fingerprint, since)

    def crashed_at(self, fingerprint: int) -> float:
        """Return when the latest upstream crashed under a fingerprint that has some."""
        return self.history.crashed_at(fingerprint)

    def conviction(self, fingerprints: Sequence[int], now: float) -> Conviction | None:
        """Return why a request with these fingerprints may not be sent, if so."""
        return self.history.conviction(fingerprints, now)

    def has_crashes(self, fingerprint: int) -> bool:
        """Return whether any crashes are stored for a fingerprint."""
        return self.any and self.count(fingerprint, self._clock.now()) > 0

    def is_blocked(self, fingerprint: int) -> bool:
        """Return whether an operator keeps a fingerprint from upstreams."""
        return self.history.blocked_for(fingerprint, self._clock.now()) > 0

    def describe(self) -> Mapping[str, Any]:
        """Return the crashes of each request by its fingerprint."""
        return describe(self.history, self._clock.now())

    async def async_check_crash(
        self, sent: SentRequest, retrying: bool, probes: ProcessProbes
    ) -> None:
        """Probe whether an upstream has ended under a request.

        Wait for the result only if the request is to be retried and one more crash
        would quarantine it.
        """
        task = await curio.spawn(self._async_probe, sent, probes, daemon=True)
        now = self._clock.now()
        fingerprints = (sent.fingerprint, *sent.parts)
        count = max(self.count(item, now) for item in fingerprints)
        if retrying and count >= const.QUARANTINE_THRESHOLD - 1:
            await task.join()

    async def async_record_success(self, *fingerprints: int) -> None:
        """Record a response that shows that these don't crash their upstream."""
        if not self.any:
            return
        await self.async_clear(
            *(item for item in fingerprints if self.has_crashes(item))
        )

    async def async_clear(self, *fingerprints: int) -> None:
        """Clear the crashes of fingerprints on all hosts."""
        now = self._clock.now()
        clearings = tuple(Clearing(item, now) for item in fingerprints)
        new = await self._async_merge(CrashUpdate(clearings=clearings), self._host)
        await self._async_share(new)

    async def async_block(self, fingerprint: int, seconds: float) -> None:
        """Keep what has a fingerprint from upstreams on all hosts; 0 ends that."""
        block = Block(fingerprint, self._clock.now(), seconds)
        new = await self._async_merge(CrashUpdate(blocks=(block,)), self._host)
        await self._async_share(new)

    async def async_release(self, fingerprint: int) -> None:
        """Clear the crashes of a fingerprint, and its block, on all hosts."""
        if self.history.blocked_for(fingerprint, self._clock.now()):
            await self.async_block(fingerprint, 0.0)
        await self.async_clear(fingerprint)

    async def async_on_report(self, host: str, message: Any) -> Any:
        """Merge a messages.CrashReport; reply with what its sender lacks."""
        now = self._clock.now()
        if message.digest is not None:
            digest = self.history.digest(now)
            return report_message(CrashUpdate(), self._host, now, digest=digest)
        received = crash_update(message, now)
        update = await self._async_merge(received, message.host)
        if message.broadcast and not update.empty:
            await self._async_broadcast(update, message.host)
        if message.partial:
            return report_message(CrashUpdate(), self._host, now)
        missing = self.history.missing_from(received, now)
        return report_message(missing, self._host, now)

    async def async_run(self) -> None:
        """Synchronize with the owners until cancelled."""
        while True:
            self._sync_needed.clear()
            now = self._clock.now()
            wake = now + const.SYNC_PERIOD
            for owner in self._owners():
                due = self._synced_at_by_owner.get(owner, float("-inf"))
                due += const.SYNC_PERIOD
                if due <= now:
                    due = now + await self._async_sync(owner)
                wake = min(wake, due)
            pause = min(
                max(wake - now, const.REPORT_RETRY_DELAY), const.OWNER_CHECK_PERIOD
            )
            async with ignore_after(pause):
                await self._sync_needed.wait()

    async def _async_probe(self, sent: SentRequest, probes: ProcessProbes) -> None:
        at = self._clock.now()
        # Another host may have proved it: each request there is needed as evidence.
        ended = await async_has_ended(sent, probes) or self.history.has_ended(
            sent.upstream, sent.incarnation
        )
        log_probe(sent.request_id, sent.upstream, sent.address, ended)
        if not ended:
            return
        workspace = zlib.crc32(sent.workspace.encode("utf-8", "surrogatepass"))
        ran = None if sent.sent_at is None else max(0.0, at - sent.sent_at)
        crashes = tuple(
            Crash(fingerprint, sent.upstream, sent.incarnation, at, workspace, ran)
            for fingerprint in dict.fromkeys((sent.fingerprint, *sent.parts))
        )
        new = await self._async_merge(CrashUpdate(crashes=crashes), self._host)
        await self._async_share(new)

    async def _async_merge(self, update: CrashUpdate, reporter: str) -> CrashUpdate:
        now = self._clock.now()
        quarantined_before = {
            item
            for item in update.fingerprints
            if self.history.quarantined_for(item, now)
        }
        counts = {item: self.history.count(item, now) for item in update.fingerprints}
        failed_before = self._trials_failed(update, now)
        counted_before = {item for item in update.crashes if self.history.knows(item)}
        new = self.history.merge(update, now)
        self._metrics.count(
            const.METRIC_TRIALS_FAILED,
            max(0, self._trials_failed(update, now) - failed_before),
        )
        for crash in new.crashes:
            count = self.history.count(crash.fingerprint, now)
            quarantined_for = self.history.quarantined_for(crash.fingerprint, now)
            trials_failed = self.history.trials_failed(crash.fingerprint, now)
            if not is_part(crash.fingerprint) or count > 1:
                log_crash(crash, reporter, count, quarantined_for, trials_failed)
            if crash not in counted_before:
                self._metrics.count(const.METRIC_CRASHES)
            if quarantined_for and crash.fingerprint not in quarantined_before:
                self._metrics.count(const.METRIC_QUARANTINED)
                quarantined_before.add(crash.fingerprint)
        for clearing in new.clearings:
            count = counts[clearing.fingerprint]
            if not is_part(clearing.fingerprint) or count > 1:
                log_clearing(clearing.fingerprint, reporter, count)
            self._metrics.count(const.METRIC_CLEARED)
        for block in new.blocks:
            log_block(block.fingerprint, reporter, block.seconds)
        if not new.empty:
            for listener in self._listeners:
                await listener(new.fingerprints)
        return new

    def _trials_failed(self, update: CrashUpdate, now: float) -> int:
        found = {crash.fingerprint for crash in update.crashes}
        return sum(self.history.trials_failed(item, now) for item in found)

    async def _async_share(self, update: CrashUpdate) -> None:
        """Send an update of this host to all owners, and to all hosts if it is one.

        Owners that don't have the rest of the history get all of it, retried until they
        do.
        """
        if update.empty:
            return
        if self._is_owner():
            await self._async_broadcast(update, self._host)
        for owner in self._owners():
            if owner in self._synced_at_by_owner:
                await curio.spawn(self._async_send_new, owner, update, daemon=True)
        await self._sync_needed.set()

    async def _async_send_new(self, owner: Ownership, update: CrashUpdate) -> None:
        now = self._clock.now()
        report = report_message(update, self._host, now, broadcast=True, partial=True)
        try:
            await self._links.async_call(owner.address, report, const.REPORT_TIMEOUT)
        except LinkError:
            self._synced_at_by_owner.pop(owner, None)
            await self._sync_needed.set()

    def _pool_owners(self) -> list[Ownership]:
        """Return the owners of the configured pools."""
        config = self._config.config
        pools = config.services_by_name if config is not None else {}
        owners = (self._directory.owner(pool) for pool in pools)
        return list(dict.fromkeys(owner for owner in owners if owner is not None))

    def _is_owner(self) -> bool:
        return any(item.address == self._own_address for item in self._pool_owners())

    def _owners(self) -> list[Ownership]:
        """Return the owners of the configured pools other than this process."""
        owners = [
            owner for owner in self._pool_owners() if owner.address != self._own_address
        ]
        for known in self._synced_at_by_owner.keys() - set(owners):
            del self._synced_at_by_owner[known]
        return owners

    async def _async_sync(self, owner: Ownership) -> float:
        """Synchronize with an owner; return the seconds until the next exchange.

        An owner that already got the whole history is sent a digest, and the history
        only if its own digest differs.
        """
        now = self._clock.now()
        try:
            known = owner in self._synced_at_by_owner
            if not known or not await self._async_digests_match(owner, now):
                await self._async_sync_all(owner, now)
        except LinkError:
            return const.REPORT_RETRY_DELAY
        if not self._sync_needed.is_set():
            self._synced_at_by_owner[owner] = now
        return const.SYNC_PERIOD

    async def _async_digests_match(self, owner: Ownership, now: float) -> bool:
        digest = self.history.digest(now)
        report = report_message(CrashUpdate(), self._host, now, digest=digest)
        reply = await self._links.async_call(
            owner.address, report, const.REPORT_TIMEOUT
        )
        return reply.digest == digest

    async def _async_sync_all(self, owner: Ownership, now: float) -> None:
        known = self.history.snapshot(now)
        report = report_message(known, self._host, now, broadcast=True)
        reply = await self._links.async_call(
            owner.address, report, const.REPORT_TIMEOUT
        )
        await self._async_merge(crash_update(reply, self._clock.now()), reply.host)

    async def _async_broadcast(self, update: CrashUpdate, reporter: str) -> None:
        """Send an update to all hosts but the reporter.

        It is sent in the background, so that a dead host delays no other.
        """
        now = self._clock.now()
        report = report_message(update, self._host, now)
        for name, host in self._directory.hosts_by_name.items():
            if name not in (self._host, reporter):
                await curio.spawn(
                    self._links.async_send, host.address, report, daemon=True
                )
