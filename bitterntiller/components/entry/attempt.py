"""Fifth filter: one sending under one grant. Nothing else in the product sends."""

import curio

from bitterntiller.components.entry import const
from bitterntiller.components.entry.checks import LAPSED_LEASE, lapsed
from bitterntiller.components.entry.claiming import Claimant
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.identify import withdrawn
from bitterntiller.components.entry.models import (
    ActiveRequest,
    GrantReceived,
    Phase,
    Relayed,
    Retry,
    Verdict,
)
from bitterntiller.components.entry.relay import Relay
from bitterntiller.components.entry.upstream_calls import (
    async_cancel_work,
    async_send_request,
    echoes,
)
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import BrokenAnswerError, ConnectRefusedError
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import ResponseHead, header
from bitterntiller.core.outcomes import Ending, Outcome, Reason
from bitterntiller.protocol import messages

REFUSED_CONNECTION = "refused-connection"
NOT_ADMITTED = "not-admitted"
NOT_ADMITTED_STATUSES = frozenset({429, 503})
NOT_ADMITTED_VALUE = "false"


class Attempt:
    """Sends one request once, and relays its answer."""

    def __init__(
        self,
        exchange: Exchange,
        active: ActiveRequest,
        context: Context,
        claimant: Claimant,
    ) -> None:
        self._claimant = claimant
        self._exchange = exchange
        self._active = active
        self._context = context
        self._timings = context.timings

    async def async_run(self, grant: GrantReceived) -> Verdict:
        """Return what is known after the attempt."""
        verdict = self._check(grant)
        if verdict is not None:
            return verdict
        try:
            client = await ClientExchange.async_open(
                grant.address, self._timings.upstream_connect
            )
        except ConnectRefusedError:
            # Without a connection not a byte has left: this proves not-run.
            return Retry(grant.upstream, REFUSED_CONNECTION)
        try:
            verdict = await self._claimant.async_take(self._active, grant)
            if verdict is not None:
                return verdict
            await self._async_started(grant)
            # Connecting, claiming and telling the owner took time, and the process
            # may have been stopped in it. Nothing may wait between this check and
            # the bytes.
            verdict = self._check(grant)
            if verdict is not None:
                return verdict
            return await self._async_send(client, grant)
        finally:
            await client.async_close()

    def _check(self, grant: GrantReceived) -> Ending | Retry | None:
        return self._check_time(grant) or self._check_config()

    def _check_config(self) -> Ending | None:
        identified = self._active.prepared.identified
        view = self._context.config
        if view.version == identified.config_version:
            return None
        return withdrawn(identified, view.config)

    def _check_time(self, grant: GrantReceived) -> Ending | Retry | None:
        deadline = self._active.prepared.identified.deadline
        now = self._context.clock.now()
        reason = lapsed(grant, deadline, self._context.lease, now)
        if reason is None:
            return None
        self._context.metrics.count(const.METRIC_LAPSED_GRANTS)
        if reason == Reason.TOO_LATE:
            return _not_run(Reason.TOO_LATE)
        if reason == LAPSED_LEASE:
            return _not_run(Reason.NO_LEASE)
        return Retry("", reason)

    async def _async_send(
        self, client: ClientExchange, grant: GrantReceived
    ) -> Verdict:
        active = self._active
        active.mark_sending(grant)
        active.granted_at = self._context.clock.now()
        try:
            await async_send_request(client, active, self._timings.body)
            head = await client.async_head(self._first_byte_timeout())
        except BrokenAnswerError as error:
            return await self._async_lost_head(error)
        if _not_admitted(head) and echoes(active, head):
            return Retry(grant.upstream, NOT_ADMITTED)
        if not echoes(active, head):
            self._context.metrics.count(const.METRIC_LATE_ANSWERS)
            error = BrokenAnswerError("the answer names another request")
            return await self._async_lost_head(error)
        active.phase = Phase.RELAYING
        relay = Relay(self._exchange, active, self._context)
        relayed = await relay.async_run(client, head)
        if not relayed.whole:
            await self._async_cancel_soon()
        return relayed

    async def _async_cancel_soon(self) -> None:
        """Stop the upstream's work in the background.

        The caller of a cut answer sees the cut only after this filter has ended.
        """
        active = self._active
        await curio.spawn(
            async_cancel_work, active.request_id, active.address, daemon=True
        )

    async def _async_started(self, grant: GrantReceived) -> None:
        message = messages.Started(
            request_id=self._active.request_id,
            pool=grant.pool,
            upstream=grant.upstream,
        )
        if grant.sender:
            await self._context.links.async_send(grant.sender, message)

    def _first_byte_timeout(self) -> float:
        left = self._active.prepared.identified.deadline - self._context.clock.now()
        return max(0.001, min(left, self._timings.upstream_first_byte))

    async def _async_lost_head(self, error: BrokenAnswerError) -> Verdict:
        """End an attempt without an answer: it may have run, and is not resent.

        A reset or a timeout does not tell whether the upstream took the request.
        A stream can still be had by resume; anything else stays unknown.
        """
        active = self._active
        late = self._context.clock.now() >= active.prepared.identified.deadline
        if active.prepared.estimate.streamed and not late:
            relayed = await self._async_resume_from_start()
            if relayed is not None:
                if not relayed.whole:
                    await self._async_cancel_soon()
                return relayed
        # The answer does not wait for this: a given-up request ends at once.
        await self._async_cancel_soon()
        reason = Reason.UPSTREAM_TIMEOUT if late else Reason.UPSTREAM_RESET
        status = 504 if late else 502
        return Ending(Outcome.UNKNOWN, reason, status, detail=error.text)

    async def _async_resume_from_start(self) -> Relayed | None:
        relay = Relay(self._exchange, self._active, self._context)
        return await relay.async_from_start()


def _not_admitted(head: ResponseHead) -> bool:
    if head.status not in NOT_ADMITTED_STATUSES:
        return False
    value = header(head.headers, const.HEADER_ADMITTED) or ""
    return value.lower() == NOT_ADMITTED_VALUE


def _not_run(reason: Reason) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, 503, retry_after=const.DEFAULT_RETRY_AFTER)
