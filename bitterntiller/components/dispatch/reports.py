"""Receives the reports of entry hosts that use this host as an owner of pools."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

import curio

from bitterntiller.components.dispatch.quota_counter import QuotaContext, QuotaCounter
from bitterntiller.components.dispatch.quota_service import QuotaService
from bitterntiller.components.dispatch.quotas import QuotaState
from bitterntiller.components.settings.const import ROLE_ENTRY
from bitterntiller.core.interfaces import ConfigView, DirectoryView, Lease
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

REPORT_TIMEOUT = 1.5
MAX_MISSED_REPORTS = 3
"""Seconds without a report, and number of announced report periods, after both of which
an entry host is taken to use another owner.

Otherwise the requests of that host would count as running here for ever, since their
ends are reported to the other owner.
"""

CHECK_PERIOD = 0.5

DropHost = Callable[[str], Awaitable[None]]
ForgetEnded = Callable[[str, list[str]], Awaitable[None]]
"""Called with an entry host and the ids of requests that have ended there."""


class _Reporter(NamedTuple):
    """A process that reports here, and when it expires without a further report.

    counting is true if this host counts the quotas for it.
    """

    incarnation: str
    expires_at: float
    counting: bool


class ReportReceiver:
    """Tracks the entry hosts that report here and counts quotas for them."""

    def __init__(
        self,
        runtime: Runtime,
        lease: Lease,
        config: ConfigView,
        directory: DirectoryView,
        drop_host: DropHost,
        forget_ended: ForgetEnded,
    ) -> None:
        self._directory = directory
        self._runtime = runtime
        self._lease = lease
        self._config = config
        self._drop_host = drop_host
        self._forget_ended = forget_ended
        self._counter = QuotaCounter(runtime.settings.quota_window)
        self.quotas = QuotaService(runtime, self._counter, self._quota_context)
        self._reporter_by_host: dict[str, _Reporter] = {}
        self._counted_hosts = 0
        self._directory_hosts: Mapping[str, Any] = {}
        self._entry_host_count = 0

    async def async_on_report(self, _host: str, report: Any) -> Any:
        """Process a messages.EntryReport and return the reply."""
        now = self._runtime.clock.now()
        within = (report.within_ms or 0) / 1000
        timeout = max(REPORT_TIMEOUT, MAX_MISSED_REPORTS * within)
        counting = bool(report.counting)
        reporter = _Reporter(report.incarnation, now + timeout, counting)
        await self._async_update_reporter(report.entry_host, reporter, now)
        await self._forget_ended(report.entry_host, report.ended or [])
        levels = await self._async_update_quotas(report, now) if counting else []
        return messages.EntryReportReply(
            ready=self._ready(),
            incarnation=self._runtime.incarnation,
            number=report.number,
            levels=levels,
            entry_hosts=self._counted_hosts,
        )

    async def _async_update_reporter(
        self, host: str, reporter: _Reporter, now: float
    ) -> None:
        previous = self._reporter_by_host.get(host)
        self._reporter_by_host[host] = reporter
        self._counted_hosts += reporter.counting
        if previous is None or not previous.counting:
            return
        self._counted_hosts -= 1
        if not reporter.counting or reporter.incarnation != previous.incarnation:
            # The host uses another counting host now or was restarted, and will not
            # settle its earlier reservations here.
            await self.quotas.async_reject(self._counter.forget_host(host, now))

    async def _async_update_quotas(self, report: Any, now: float) -> list[Any]:
        """Record the usage of a host; return its quota levels and lent amounts."""
        counter = self._counter
        for item in report.used:
            counter.ledger.record_usage(
                item.workspace, item.amount, item.age_ms / 1000, now
            )
        held = {item.workspace: item.amount for item in report.held}
        counter.ledger.set_held(report.entry_host, held)
        if report.settled:
            cancelled = counter.settle(report.entry_host, report.settled, now)
            await self.quotas.async_reject(cancelled)
            if counter.queued_amounts():
                await self.quotas.async_check_queues()
        context = self._quota_context()
        if context is None:
            return []
        levels_by_workspace = counter.lend(
            report.entry_host, list(held), self._counted_hosts, context, now
        )
        return [
            messages.QuotaLevel(
                workspace=name,
                amount=int(state.remaining),
                paced=int(state.level),
                lent=lent,
            )
            for name, (state, lent) in levels_by_workspace.items()
        ]

    def quota(self, workspace: str, now: float) -> QuotaState | None:
        """Return a workspace's quota, None if it has none or isn't counted here."""
        context = self._quota_context()
        if context is None or not self._counted_hosts:
            return None
        return self._counter.ledger.state(
            workspace, context.config, context.host_fraction, now
        )

    def _ready(self) -> bool:
        return self._lease.valid() and self._config.version > 0

    def _quota_context(self) -> QuotaContext | None:
        """Return the quota context, None while this host must not decide on quotas."""
        if not self._ready():
            return None
        return QuotaContext(self._config.config, self._host_fraction())

    def _host_fraction(self) -> float:
        """Return the fraction of all entry hosts whose quotas are counted here."""
        hosts = self._directory.hosts_by_name
        if hosts is not self._directory_hosts:
            self._directory_hosts = hosts
            entry = [host for host in hosts.values() if ROLE_ENTRY in host.roles]
            self._entry_host_count = len(entry)
        return min(1.0, self._counted_hosts / max(1, self._entry_host_count))

    async def async_run(self) -> None:
        """Forget entry hosts that stopped reporting, until cancelled."""
        while True:
            now = self._runtime.clock.now()
            for host, reporter in list(self._reporter_by_host.items()):
                if reporter.expires_at < now:
                    await self._async_forget(host, now)
            self._counter.ledger.expire_reservations(now)
            await curio.sleep(CHECK_PERIOD)

    async def _async_forget(self, host: str, now: float) -> None:
        if self._reporter_by_host.pop(host).counting:
            self._counted_hosts -= 1
            await self.quotas.async_reject(self._counter.forget_host(host, now))
        await self._drop_host(host)

    def describe(self) -> dict[str, Any]:
        """Return the state of the receiver for the state dump."""
        return {
            "reporting": len(self._reporter_by_host),
            "counting": self._counted_hosts,
            "quota_lines": self._counter.queued_amounts(),
        }
