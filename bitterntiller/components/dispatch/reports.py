"""Answers the reports of entry hosts that have chosen this host as an owner."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from bitterntiller.components.dispatch.quotas import QuotaLedger
from bitterntiller.components.settings.const import ROLE_ENTRY
from bitterntiller.core.interfaces import ConfigView, DirectoryView, Lease
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

REPORT_SILENCE = 1.5
"""Seconds without a report after which an entry host has turned to another owner.

Ten times the period of reports; what the host has here would otherwise count as running
for ever, since its end is told to the owner it has turned to.
"""

CHECK_PERIOD = 0.5

DropHost = Callable[[str], Awaitable[None]]
ForgetEnded = Callable[[str, list[str]], Awaitable[None]]
"""Takes an entry host and the ids of requests that have ended there."""


class ReportDesk:
    """Keeps who reports here, and the quotas of workspaces."""

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
        self._ledger = QuotaLedger(runtime.settings.quota_window)
        self._heard_by_host: dict[str, float] = {}

    async def async_on_report(self, _host: str, report: Any) -> Any:
        """Answer a messages.EntryReport."""
        now = self._runtime.clock.now()
        self._heard_by_host[report.entry_host] = now
        await self._forget_ended(report.entry_host, report.ended or [])
        return messages.EntryReportReply(
            ready=self._lease.valid() and self._config.version > 0,
            incarnation=self._runtime.incarnation,
            number=report.number,
            levels=self._levels(report, now),
            entry_hosts=len(self._heard_by_host),
        )

    def _levels(self, report: Any, now: float) -> list[Any]:
        for item in report.used:
            self._ledger.note(item.workspace, item.amount, item.age_ms / 1000, now)
        held = {item.workspace: item.amount for item in report.held}
        self._ledger.note_held(report.entry_host, held)
        part = self._part()
        levels = []
        for workspace in held:
            asked = (workspace, self._config.config, part, now)
            left, paced = self._ledger.left(*asked), self._ledger.paced(*asked)
            if left is not None and paced is not None:
                level = messages.QuotaLevel(
                    workspace=workspace, amount=int(left), paced=int(paced)
                )
                levels.append(level)
        return levels

    def _part(self) -> float:
        """Return the part of the known entry hosts that report here."""
        hosts = self._directory.hosts_by_name.values()
        known = sum(ROLE_ENTRY in host.roles for host in hosts)
        return min(1.0, len(self._heard_by_host) / max(1, known))

    async def async_run(self) -> None:
        """Forget the entry hosts that report no more, until cancelled."""
        while True:
            oldest = self._runtime.clock.now() - REPORT_SILENCE
            for host, heard in list(self._heard_by_host.items()):
                if heard < oldest:
                    del self._heard_by_host[host]
                    self._ledger.forget(host)
                    await self._drop_host(host)
            await curio.sleep(CHECK_PERIOD)
