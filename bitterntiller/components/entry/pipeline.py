"""The pipeline: one request through all filters, to one ending."""

import curio

from bitterntiller.components.entry import account, const
from bitterntiller.components.entry.attempt import Attempt
from bitterntiller.components.entry.budget import HostBudget
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.estimate import estimate
from bitterntiller.components.entry.identify import identify
from bitterntiller.components.entry.models import (
    ActiveRequest,
    GrantReceived,
    Identified,
    Phase,
    Prepared,
    Relayed,
    Retry,
    Verdict,
)
from bitterntiller.components.entry.receive import receive
from bitterntiller.components.entry.refuse import async_refuse
from bitterntiller.components.entry.registry import RequestRegistry
from bitterntiller.components.entry.relay import outcome_of
from bitterntiller.components.entry.upstream_calls import async_cancel_work
from bitterntiller.components.entry.waiting import async_cancel, async_wait
from bitterntiller.components.http.errors import CallerGoneError
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import header
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.outcomes import Ending, Outcome, Reason

CALLER_GONE = "caller-gone"
WATCH_PAUSE = 60.0


class Pipeline:
    """Serves the requests of callers."""

    def __init__(
        self,
        context: Context,
        limits: Limits,
        budget: HostBudget,
        registry: RequestRegistry,
    ) -> None:
        self._context = context
        self._limits = limits
        self._budget = budget
        self._registry = registry
        self.draining = False

    async def async_serve(self, exchange: Exchange) -> None:
        """Answer one request."""
        received = receive(exchange.head, self._context.clock.now())
        if isinstance(received, Ending):
            await self._async_refuse(exchange, received, None, "")
            return
        identified = self._unready() or identify(received, self._context.config.config)
        if isinstance(identified, Ending):
            await self._async_refuse(exchange, identified, None, received.request_id)
            return
        size = self._expected_size(exchange)
        refusal = self._take_room(identified, size)
        if refusal is not None:
            request_id = received.request_id
            await self._async_refuse(exchange, refusal, identified, request_id)
            return
        try:
            await self._async_with_body(exchange, identified)
        finally:
            self._budget.release(identified, size)

    def _unready(self) -> Ending | None:
        if self.draining:
            return _come_back(Reason.DRAINING)
        # Without a lease a newer configuration may be in force elsewhere.
        if not self._context.lease.valid():
            return _come_back(Reason.NO_LEASE)
        return None

    def _expected_size(self, exchange: Exchange) -> int:
        text = header(exchange.head.headers, b"content-length")
        if text is not None and text.isdigit():
            return int(text)
        if header(exchange.head.headers, b"transfer-encoding") is not None:
            return self._limits.body_bytes
        return 0

    def _take_room(self, identified: Identified, size: int) -> Ending | None:
        if size > self._limits.body_bytes:
            detail = f"a body over {self._limits.body_bytes} bytes"
            return Ending(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, 413, detail=detail)
        tiers = self._context.config.config.tiers_by_name.values()
        ranks = sorted(tier.rank for tier in tiers)
        index = ranks.index(identified.tier.rank)
        return self._budget.take(identified, size, index, len(ranks))

    async def _async_with_body(
        self, exchange: Exchange, identified: Identified
    ) -> None:
        timeout = self._context.timings.body
        body = await exchange.async_body(self._limits.body_bytes, timeout)
        work = estimate(identified.service.kind, body)
        active = ActiveRequest(Prepared(identified, body, work))
        self._registry.add(active)
        try:
            await self._async_watched(exchange, active)
        except CallerGoneError:
            await self._async_caller_gone(active)
        finally:
            self._registry.remove(active)

    async def _async_watched(self, exchange: Exchange, active: ActiveRequest) -> None:
        """Run the request while watching whether its caller is still there."""
        async with curio.TaskGroup(wait=any) as group:
            run = await group.spawn(self._async_process, exchange, active)
            await group.spawn(_async_watch, exchange)
        if group.completed is not run:
            raise CallerGoneError("the caller closed the connection")
        if run.exception is not None:
            raise run.exception

    async def _async_process(self, exchange: Exchange, active: ActiveRequest) -> None:
        while True:
            verdict = await self._async_step(exchange, active)
            if not isinstance(verdict, Retry):
                break
            if verdict.upstream:
                active.mark_not_run(verdict.upstream)
        if isinstance(verdict, Relayed):
            outcome = outcome_of(verdict.status) if verdict.whole else Outcome.UNKNOWN
            await self._async_account(active, outcome)
            return
        identified = active.prepared.identified
        if verdict.outcome is Outcome.UNKNOWN:
            await self._async_account(active, verdict.outcome)
        await self._async_refuse(exchange, verdict, identified, active.request_id)

    async def _async_step(self, exchange: Exchange, active: ActiveRequest) -> Verdict:
        grant = await async_wait(active, self._context)
        if isinstance(grant, Ending):
            return grant
        verdict = await Attempt(exchange, active, self._context).async_run(grant)
        await self._async_give_back(active, grant, verdict)
        return verdict

    async def _async_give_back(
        self, active: ActiveRequest, grant: GrantReceived, verdict: Verdict
    ) -> None:
        if isinstance(verdict, Retry):
            reason, waiting = verdict.reason, True
        elif isinstance(verdict, Ending) and verdict.outcome is Outcome.NOT_RUN:
            reason, waiting = verdict.reason, False
        else:
            return
        await self._registry.async_return(active.request_id, grant, reason, waiting)

    async def _async_account(self, active: ActiveRequest, outcome: Outcome) -> None:
        account.count_answer(self._context, active, outcome)
        await account.async_tell_owner(self._context, active, outcome)

    async def _async_caller_gone(self, active: ActiveRequest) -> None:
        """Stop the work of a caller that has left: at the upstream, or in the queue."""
        self._context.metrics.count(const.METRIC_CALLER_GONE)
        if not active.may_have_run:
            await async_cancel(active, self._context)
            return
        active.phase = Phase.ENDED
        await async_cancel_work(active.request_id, active.address)
        account.count_answer(self._context, active, Outcome.UNKNOWN)
        await account.async_tell_owner(self._context, active, CALLER_GONE)

    async def _async_refuse(
        self,
        exchange: Exchange,
        ending: Ending,
        identified: Identified | None,
        request_id: str,
    ) -> None:
        account.count_refusal(self._context, ending, identified)
        await async_refuse(exchange, ending, request_id)


async def _async_watch(exchange: Exchange) -> None:
    """Return when the caller leaves before its answer is finished.

    A caller that closes right after the last byte has not left: the request is
    still to be accounted for as done.
    """
    await exchange.connection.async_watch()
    while exchange.finished:
        await curio.sleep(WATCH_PAUSE)


def _come_back(reason: Reason) -> Ending:
    after = const.DEFAULT_RETRY_AFTER
    return Ending(Outcome.NOT_RUN, reason, 503, retry_after=after)
