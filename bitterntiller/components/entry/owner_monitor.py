"""Monitor the owners of pools in deployments that derive owners from membership."""

import itertools

import curio

from bitterntiller.components.entry import const
from bitterntiller.components.entry.ended_requests import UnacknowledgedEnds
from bitterntiller.components.entry.quota import QuotaAccount, UnacknowledgedUse
from bitterntiller.components.entry.quota_client import QUOTA_POOL, QuotaClient
from bitterntiller.components.entry.registry import RequestRegistry
from bitterntiller.components.entry.report_schedule import next_report_at
from bitterntiller.components.links.errors import LinkError
from bitterntiller.components.node.owners import RendezvousOwners
from bitterntiller.core import events
from bitterntiller.core.interfaces import ConfigView, Ownership
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages

NO_USAGE = UnacknowledgedUse([], {}, 0, [])

FIRST_REPORT_PERIOD = 0.1
"""Seconds between reports to an owner that has not replied yet, and between checks for
an owner while there is none. Short, since a starting host serves nothing before."""


class OwnerMonitor:
    """Sends reports to each owner in use and suspects owners that don't reply.

    A report carries the quota usage of workspaces, the reply their remaining quota. A
    lost owner is detected within REPORT_TIMEOUT and one period, so grants pause for
    less than 0.5 s if it dies while requests wait for it. When a connection ends, a
    report to every owner is sent immediately.
    """

    def __init__(
        self,
        runtime: Runtime,
        owners: RendezvousOwners,
        config: ConfigView,
        account: QuotaAccount,
        client: QuotaClient,
        registry: RequestRegistry,
    ) -> None:
        self._runtime = runtime
        self._owners = owners
        self._config = config
        self._account = account
        self._client = client
        self._registry = registry
        self._numbers = itertools.count(1)
        self._reported_at_by_host: dict[str, float] = {}
        self._reporting: set[str] = set()
        self._changed = curio.Event()

    async def async_run(self) -> None:
        """Send reports when they are due, until cancelled."""
        while True:
            self._changed.clear()
            now = self._runtime.clock.now()
            wake = now + const.IDLE_REPORT_PERIOD
            owners = self._in_use()
            for owner in owners:
                if owner.host in self._reporting:
                    continue
                due = self._next_report_at(owner)
                if due > now:
                    wake = min(wake, due)
                    continue
                self._reporting.add(owner.host)
                self._reported_at_by_host[owner.host] = now
                await curio.spawn(self._async_report, owner, daemon=True)
            if not owners:
                wake = now + FIRST_REPORT_PERIOD
            async with ignore_after(wake - now):
                await self._changed.wait()

    async def async_wake(self) -> None:
        """Check for due reports now, after a request has begun to wait."""
        await self._changed.set()

    async def async_link_lost(self) -> None:
        """Report to all owners now: the process behind a lost link may have ended."""
        self._reported_at_by_host.clear()
        await self._changed.set()

    def _in_use(self) -> list[Ownership]:
        """Return the owners in use and the suspected hosts that rank before them."""
        found: dict[str, Ownership] = {}
        for pool in [*self._config.config.services_by_name, QUOTA_POOL]:
            for host in self._owners.candidates(pool):
                found[host.name] = Ownership(host.name, host.address, 0)
                if not self._owners.is_suspect(host.name):
                    break
        return list(found.values())

    def _next_report_at(self, owner: Ownership) -> float:
        reported_at = self._reported_at_by_host.get(owner.host, float("-inf"))
        if self._owners.is_suspect(owner.host):
            return reported_at + const.SUSPECT_RETRY_PERIOD
        if not self._owners.incarnation(owner.host):
            return reported_at + FIRST_REPORT_PERIOD
        process = self._process(owner.host)
        counts = self._is_counting_host(owner.host)
        live = self._registry.by_id
        now = self._runtime.clock.now()
        unacknowledged = bool(
            self._registry.ended_requests.unacknowledged(process, live, now).request_ids
        )
        # A counting host admits the fraction of a quota that corresponds to the hosts
        # that report to it. It has to learn soon that hosts have switched to another
        # counting host: until then each of the two could admit the whole quota.
        return next_report_at(
            owner.host,
            reported_at,
            live.values(),
            unacknowledged or counts,
            counts and self._client.pending_calls > 0,
        )

    def _process(self, host: str) -> str:
        """Return the id of the last known process on an owner's host."""
        return f"{host}/{self._owners.incarnation(host)}"

    def _is_counting_host(self, host: str) -> bool:
        """Return whether a host is the counting host for this one."""
        counting_host = self._owners.owner(QUOTA_POOL)
        return counting_host is not None and counting_host.host == host

    async def _async_report(self, owner: Ownership) -> None:
        try:
            await self._async_send_report(owner)
        finally:
            self._reporting.discard(owner.host)
            await self._changed.set()

    async def _async_send_report(self, owner: Ownership) -> None:
        counting = self._is_counting_host(owner.host)
        process = self._process(owner.host)
        quota_report = self._account.unacknowledged(process) if counting else NO_USAGE
        live = self._registry.by_id.keys()
        now = self._runtime.clock.now()
        ended = self._registry.ended_requests.unacknowledged(process, live, now)
        report = self._report(quota_report, ended, counting)
        try:
            reply = await self._runtime.links.async_call(
                owner.address, report, const.REPORT_TIMEOUT
            )
        except LinkError as error:
            self._suspect(owner, error.text)
            return
        if not reply.ready:
            # Retry in the next period and not only after SUSPECT_RETRY_PERIOD: the host
            # may get its lease a moment after this one, and while some hosts suspect it
            # and others don't, its pools have two owners.
            self._reported_at_by_host[owner.host] = (
                now + const.REPORT_PERIOD - const.SUSPECT_RETRY_PERIOD
            )
            self._suspect(owner, "it has no configuration or lease")
            return
        if process == f"{owner.host}/{reply.incarnation}":
            self._registry.ended_requests.record_acknowledged(process, ended)
            if counting:
                self._account.record_acknowledged(process, quota_report)
                self._account.update_levels(reply.levels)
        if self._owners.record_answer(owner.host, reply.incarnation):
            # The owner's process is new, so report everything to it again now.
            self._reported_at_by_host.pop(owner.host, None)
            events.emit(
                "owner-answers", owner=owner.host, incarnation=reply.incarnation
            )

    def _report(
        self, quota_report: UnacknowledgedUse, ended: UnacknowledgedEnds, counting: bool
    ) -> messages.EntryReport:
        return messages.EntryReport(
            entry_host=self._runtime.settings.host,
            incarnation=self._runtime.incarnation,
            number=next(self._numbers),
            used=[
                messages.Usage(
                    workspace=item.workspace,
                    amount=item.amount,
                    age_ms=int(item.age * 1000),
                )
                for item in quota_report.used
            ],
            held=[
                messages.Held(workspace=workspace, amount=amount)
                for workspace, amount in quota_report.held_by_workspace.items()
            ],
            ended=ended.request_ids,
            counting=counting,
            settled=quota_report.settled,
            within_ms=int(1000 * self._longest_period(counting)),
        )

    def _longest_period(self, counting: bool) -> float:
        if counting:
            return const.BUSY_REPORT_PERIOD
        return const.IDLE_REPORT_PERIOD

    def _suspect(self, owner: Ownership, why: str) -> None:
        if self._owners.suspect(owner.host):
            self._runtime.metrics.count(const.METRIC_OWNERS_LOST)
            events.emit("owner-lost", owner=owner.host, why=why)
