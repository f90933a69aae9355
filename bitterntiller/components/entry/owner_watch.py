"""Watches whether the owners of pools answer, where owners follow from membership."""

import itertools

import curio

from bitterntiller.components.entry import const
from bitterntiller.components.entry.endings import UntoldEndings
from bitterntiller.components.entry.quota import QuotaAccount, Untold
from bitterntiller.components.entry.registry import RequestRegistry
from bitterntiller.components.links.errors import LinkError
from bitterntiller.components.node.owners import DerivedOwners
from bitterntiller.core import events
from bitterntiller.core.interfaces import ConfigView, Ownership
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

NOTHING = Untold([], {}, 0)

QUOTA_POOL = "quotas of workspaces"
"""The name under which the host is chosen that counts quotas; not one of a service."""


class OwnerWatch:
    """Reports to each owner in use a few times a second and passes silent ones over.

    The report carries what workspaces have used; the answer what is left to them. An
    owner that is lost shows within REPORT_TIMEOUT and one period, so that grants pause
    for less than half a second when it dies.
    """

    def __init__(
        self,
        runtime: Runtime,
        owners: DerivedOwners,
        config: ConfigView,
        account: QuotaAccount,
        registry: RequestRegistry,
    ) -> None:
        self._runtime = runtime
        self._owners = owners
        self._config = config
        self._account = account
        self._registry = registry
        self._numbers = itertools.count(1)
        self._asked_at_by_host: dict[str, float] = {}
        self._under_way: set[str] = set()

    async def async_run(self) -> None:
        """Report until cancelled."""
        while True:
            now = self._runtime.clock.now()
            for owner in self._due(now):
                if owner.host in self._under_way:
                    continue
                self._under_way.add(owner.host)
                self._asked_at_by_host[owner.host] = now
                await curio.spawn(self._async_report, owner, daemon=True)
            await curio.sleep(const.REPORT_PERIOD)

    def _due(self, now: float) -> list[Ownership]:
        """Return the owners in use, and the better ones that are due for a retry."""
        due: dict[str, Ownership] = {}
        for pool in [*self._config.config.services_by_name, QUOTA_POOL]:
            for host in self._owners.candidates(pool):
                owner = Ownership(host.name, host.address, 0)
                if not self._owners.is_suspect(host.name):
                    due[host.name] = owner
                    break
                asked = self._asked_at_by_host.get(host.name, float("-inf"))
                if now - asked >= const.SUSPECT_RETRY:
                    due[host.name] = owner
        return list(due.values())

    async def _async_report(self, owner: Ownership) -> None:
        try:
            await self._async_ask(owner)
        finally:
            self._under_way.discard(owner.host)

    async def _async_ask(self, owner: Ownership) -> None:
        counts = self._owners.owner(QUOTA_POOL)
        to_counter = counts is not None and counts.host == owner.host
        process = f"{owner.host}/{self._owners.incarnation(owner.host)}"
        told = self._account.untold(process) if to_counter else NOTHING
        live = self._registry.by_id.keys()
        now = self._runtime.clock.now()
        ended = self._registry.endings.untold(process, live, now)
        try:
            reply = await self._runtime.links.async_call(
                owner.address, self._report(told, ended), const.REPORT_TIMEOUT
            )
        except LinkError as error:
            self._suspect(owner, error.text)
            return
        if not reply.ready:
            # Asked again in the next period: it may get its lease a moment after this
            # host, and passed over for longer it would share its pools with another.
            self._asked_at_by_host.pop(owner.host, None)
            self._suspect(owner, "it has no configuration or lease")
            return
        if process == f"{owner.host}/{reply.incarnation}":
            self._registry.endings.note_told(process, ended)
            if to_counter:
                self._account.note_told(process, told)
                self._account.take_levels(reply.levels, reply.entry_hosts, told)
        if self._owners.note_answer(owner.host, reply.incarnation):
            events.emit(
                "owner-answers", owner=owner.host, incarnation=reply.incarnation
            )

    def _report(self, told: Untold, ended: UntoldEndings) -> messages.EntryReport:
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
                for item in told.used
            ],
            held=[
                messages.Held(workspace=workspace, amount=amount)
                for workspace, amount in told.held_by_workspace.items()
            ],
            ended=ended.request_ids,
        )

    def _suspect(self, owner: Ownership, why: str) -> None:
        if self._owners.suspect(owner.host):
            self._runtime.metrics.count(const.METRIC_OWNERS_LOST)
            events.emit("owner-lost", owner=owner.host, why=why)
