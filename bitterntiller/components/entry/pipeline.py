"""Serve one request from parsing to its outcome.

The steps are: parse, identify, admit, wait for a grant, send (Attempt), account. A
request waits again after an attempt that may be retried.
"""

import curio

from bitterntiller.components.entry import accounting, const
from bitterntiller.components.entry.admission_checks import AdmissionChecks, retry_later
from bitterntiller.components.entry.attempt import NOT_ADMITTED, Attempt
from bitterntiller.components.entry.budget import BodyReservation, HostBudget
from bitterntiller.components.entry.claiming import (
    ACTION_FINISH,
    ACTION_VOID,
    ClaimClient,
    claim_ending,
)
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.errors import StopOverError
from bitterntiller.components.entry.event_logging import (
    log_attempt,
    log_cut,
    log_end,
    log_kept,
    log_refusal,
    log_silence,
)
from bitterntiller.components.entry.identify import identify
from bitterntiller.components.entry.models import (
    ActiveRequest,
    ClaimFound,
    Cut,
    CutBy,
    GrantReceived,
    IdentifiedRequest,
    Phase,
    PreparedRequest,
    RelayResult,
    Retry,
    RunResumed,
    RunSilent,
    Verdict,
)
from bitterntiller.components.entry.registration import (
    async_cancel_registration,
    async_report_resumed,
    async_wait_for_grant,
)
from bitterntiller.components.entry.registry import RETURN_EXPIRED, RequestRegistry
from bitterntiller.components.entry.relay import Relay
from bitterntiller.components.entry.relay_headers import outcome_of
from bitterntiller.components.entry.retry_budget import RetryBudget
from bitterntiller.components.entry.run import Run
from bitterntiller.components.entry.send_checks import (
    NOT_CONFIRMED,
    NOTHING_SENT,
    REFUSED_CONNECTION,
    UPSTREAM_SILENT,
)
from bitterntiller.components.http.errors import BadRequestError, CallerGoneError
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.outcomes import Ending, Outcome, Reason
from bitterntiller.core.timeouts import ignore_after

GRACE_OVER = "grace-period-over"
CALLER_GONE = "caller-gone"
FAULT = "fault"
CANCELLED = "cancelled"
_REASON_BY_STATUS = {408: Reason.SLOW_CALLER, 413: Reason.BODY_TOO_LARGE}
FINISHED_POLL = 60.0
NO_QUOTA_LEFT = "no quota is left for another attempt"
NO_CONNECTION = "no upstream could be connected to"
NO_RETRY_LEFT = "no retry is left in the retry budget"
NO_REPEAT_ALLOWED = "retry budget, quota or crashes allow no further run"


class Pipeline:
    """Serves callers' requests and maps each one to exactly one outcome."""

    def __init__(
        self,
        context: Context,
        limits: Limits,
        budget: HostBudget,
        registry: RequestRegistry,
        claim_client: ClaimClient,
        retries: RetryBudget | None = None,
    ) -> None:
        self._claim_client = claim_client
        self._context = context
        self._admission = AdmissionChecks(context, limits, budget)
        self._registry = registry
        self.draining = False
        self._stop_over = False
        self.retries = retries or RetryBudget()

    async def async_serve(self, exchange: Exchange) -> None:
        """Serve one request and write its response to the exchange."""
        received = self._context.dialect.parse_request(
            exchange.head, self._context.clock.now()
        )
        if isinstance(received, Ending):
            request_id = self._context.dialect.request_id(exchange.head)
            await self._async_refuse(exchange, received, None, request_id)
            return
        if not self.draining:
            await self._admission.async_wait_for_lease()
        identified = self._admission.check_ready(self.draining) or identify(
            received, self._context.config.config
        )
        if isinstance(identified, Ending):
            await self._async_refuse(exchange, identified, None, received.request_id)
            return
        request_id = received.request_id
        reservation = self._admission.reserve_body(identified, exchange)
        if isinstance(reservation, Ending):
            await self._async_refuse(exchange, reservation, identified, request_id)
            return
        with reservation:
            body = await self._async_body(exchange, reservation)
            if isinstance(body, Ending):
                await self._async_refuse(exchange, body, identified, request_id)
                return
            if not self._context.stop.admits(identified):
                refusal = retry_later(Reason.DRAINING)
                await self._async_refuse(exchange, refusal, identified, request_id)
                return
            await self._async_admit_and_run(exchange, identified, body)

    async def async_end_live(self) -> None:
        """End the live requests at the end of a stop, each with an answer if it can be.

        Return once they have ended, within STOP_ANSWER_SECONDS.
        """
        self._stop_over = True
        for active in list(self._registry.by_id.values()):
            if active.caller_watch is not None:
                await active.caller_watch.cancel(blocking=False)
        async with ignore_after(const.STOP_ANSWER_SECONDS):
            while self._registry.by_id:
                await curio.sleep(const.DRAIN_POLL)

    async def _async_body(
        self, exchange: Exchange, reservation: BodyReservation
    ) -> bytes | Ending:
        limit = self._admission.body_bytes()
        timeout = self._context.timings.body
        try:
            body = await exchange.async_reserved_body(
                limit, timeout, reservation.grow_to
            )
        except BadRequestError as error:
            reason = _REASON_BY_STATUS.get(error.status, Reason.BAD_REQUEST)
            return Ending(Outcome.NOT_RUN, reason, error.status, detail=error.text)
        return reservation.refusal if body is None else body

    async def _async_admit_and_run(
        self, exchange: Exchange, identified: IdentifiedRequest, body: bytes
    ) -> None:
        bound = await self._admission.async_bind_stream(identified)
        if isinstance(bound, Ending):
            request_id = identified.received.request_id
            await self._async_refuse(exchange, bound, identified, request_id)
            return
        identified = bound.identified
        work = self._context.dialect.estimate(identified, body)
        active = ActiveRequest(PreparedRequest(identified, body, work))
        active.origin = bound.origin
        try:
            await self._async_admit(exchange, active)
        except curio.CancelledError:
            active.cut = active.cut or Cut(CutBy.STOP, CANCELLED)
            raise
        except Exception:
            active.cut = active.cut or Cut(CutBy.HOST, FAULT)
            raise
        finally:
            if not exchange.sent and not active.cut_logged:
                log_cut(self._context, active, exchange.started)

    async def _async_admit(self, exchange: Exchange, active: ActiveRequest) -> None:
        """Refuse a request that is quarantined or over its quota; run any other."""
        identified = active.prepared.identified
        refused = self._admission.check_quarantine(active)
        if refused is not None:
            await self._async_refuse(exchange, refused, identified, active.request_id)
            return
        over_quota = await self._admission.async_hold_quota(active)
        if over_quota is not None:
            await self._async_refuse(
                exchange, over_quota, identified, active.request_id
            )
            return
        await self._registry.async_add(active)
        self.retries.record_request(active.pool)
        try:
            async with active.stack:
                await self._async_run_watched(exchange, active)
        except CallerGoneError as error:
            active.cut = Cut(CutBy.CALLER, CALLER_GONE, error.text)
            await self._async_caller_gone(active)
        except StopOverError:
            await self._async_end_at_stop(exchange, active)
        except Exception:
            # A bug in this process. Report the end of the request, or its slot stays
            # occupied until the owner receives the next list of live requests.
            await self._async_abandon(active, FAULT)
            raise
        finally:
            self._admission.release_quota(active)
            self._registry.remove(active)

    async def _async_run_watched(
        self, exchange: Exchange, active: ActiveRequest
    ) -> None:
        """Process the request.

        Raise CallerGoneError if its caller disconnects, StopOverError if it is still in
        progress at the end of a stop.
        """
        async with curio.TaskGroup(wait=any) as group:
            run = await group.spawn(self._async_process_unless_gone, exchange, active)
            active.caller_watch = await group.spawn(_async_wait_caller_gone, exchange)
        if group.completed is not run:
            if self._stop_over and not exchange.connection.disconnected:
                raise StopOverError(GRACE_OVER)
            raise CallerGoneError("the caller closed the connection")
        if run.exception is not None:
            raise run.exception
        if run.result is not None:
            raise run.result

    async def _async_process_unless_gone(
        self, exchange: Exchange, active: ActiveRequest
    ) -> CallerGoneError | None:
        """Process the request; return the error if its caller disconnects.

        The kernel logs each exception that ends a task as a crash.
        """
        try:
            await self._async_process(exchange, active)
        except CallerGoneError as error:
            return error
        return None

    async def _async_process(self, exchange: Exchange, active: ActiveRequest) -> None:
        verdict = await self._claim_client.async_find(active)
        while verdict is None or isinstance(verdict, Retry):
            verdict = await self._async_attempt(exchange, active)
        if isinstance(verdict, ClaimFound):
            verdict = await self._async_follow_claim(exchange, active, verdict)
            if verdict is None:
                return
        if isinstance(verdict, RelayResult):
            outcome = outcome_of(verdict.status) if verdict.whole else Outcome.UNKNOWN
            if outcome is Outcome.DONE and self._context.crashes is not None:
                active.parts_sound = True
                await self._context.crashes.async_record_success(*active.fingerprints)
            await self._async_record_end(active, outcome, verdict.status)
            return
        if active.may_have_run or active.has_run:
            verdict = _as_possibly_run(verdict)
            await self._async_record_end(active, verdict.outcome, verdict.status)
            await self._async_send_ending(exchange, active, verdict)
            return
        identified = active.prepared.identified
        await self._async_settle(active, verdict.outcome, verdict.status)
        await self._async_refuse(exchange, verdict, identified, active.request_id)

    async def _async_attempt(
        self, exchange: Exchange, active: ActiveRequest
    ) -> Verdict:
        grant = await async_wait_for_grant(active, self._context)
        if not isinstance(grant, GrantReceived):
            if active.standby is None:
                return grant
            return await self._async_stay(active, grant)
        attempt = Attempt(
            exchange,
            active,
            self._context,
            self._claim_client,
            self._may_repeat(active),
        )
        granted_at = self._context.clock.now()
        verdict = await attempt.async_run(grant)
        if active.standby is not None:
            return await self._async_stay(active, verdict, grant)
        return await self._async_conclude(active, grant, verdict, granted_at)

    async def _async_conclude(
        self,
        active: ActiveRequest,
        grant: GrantReceived,
        verdict: Verdict | RunSilent,
        granted_at: float,
    ) -> Verdict:
        """Return the result of an attempt, a Retry if the request waits again."""
        run = active.run
        deadline = active.prepared.identified.deadline
        while run is not None and isinstance(verdict, RunSilent):
            if self._context.clock.now() >= deadline:
                verdict = Ending(Outcome.UNKNOWN, Reason.UPSTREAM_TIMEOUT, 504)
                break
            if not await self._async_set_aside(active, run):
                verdict = await run.async_wait()
                continue
            verdict = Retry(grant.upstream, UPSTREAM_SILENT, ran=True)
            await self._async_return_grant(active, grant, verdict)
            return verdict
        if run is not None:
            active.run = None
            await run.async_close()
        if isinstance(verdict, Retry) and verdict.ran and not active.repeatable:
            # Its last attempt was beside a silent run, which has ended since.
            return Ending(
                Outcome.UNKNOWN, Reason.UPSTREAM_RESET, 502, detail=verdict.detail
            )
        # Update the phase before the grant is returned: the owner may issue the next
        # grant immediately, and it would be rejected as stale in the sending phase.
        if isinstance(verdict, Retry) and verdict.upstream:
            log_attempt(active, verdict, self._context.clock.now() - granted_at)
            if verdict.reason in NOTHING_SENT:
                # Nothing was sent, so the retry budget is not charged.
                active.requeue_unsent(verdict.upstream)
                if (
                    verdict.reason == REFUSED_CONNECTION
                    or verdict.detail == NOT_CONFIRMED
                ):
                    active.failed_connections += 1
                if active.failed_connections >= const.MAX_FAILED_CONNECTIONS:
                    return await self._async_refuse_retry(
                        active, grant, verdict, NO_CONNECTION
                    )
                await self._async_return_grant(active, grant, verdict)
                return verdict
            if verdict.ran:
                active.requeue_after_run(verdict.upstream)
            else:
                active.requeue_not_run(verdict.upstream)
            missing = await self._async_reserve_repeat(active)
            if missing:
                return await self._async_refuse_retry(active, grant, verdict, missing)
            self._context.metrics.count(const.METRIC_RETRIES)
        await self._async_return_grant(active, grant, verdict)
        return verdict

    async def _async_set_aside(self, active: ActiveRequest, run: Run) -> bool:
        """Prepare to look for another upstream beside a silent one.

        Return False if the request may not be sent to another.
        """
        now = self._context.clock.now()
        if not self._may_repeat(active):
            log_silence(active, active.output_tokens, NO_REPEAT_ALLOWED, now)
            return False
        run.put_aside()
        active.standby, active.run = run, None
        silent = run.grant.upstream
        missing = await self._async_reserve_repeat(active)
        if missing:
            run.take_back()
            active.standby, active.run = None, run
            log_silence(active, active.output_tokens, missing, now)
            return False
        log_silence(active, active.output_tokens, "", now)
        if not run.resumed:
            active.requeue_after_run(silent)
        return True

    async def _async_stay(
        self,
        active: ActiveRequest,
        outcome: Verdict | RunSilent | RunResumed,
        grant: GrantReceived | None = None,
    ) -> Verdict:
        """Return to the run on standby, and return its result.

        No other takes over from it: outcome says why, RunResumed if it has gone on.
        grant is the one that was used in vain, None while the request waited for one. A
        run that has ended meanwhile is dropped, and outcome stands.
        """
        run = active.standby
        assert run is not None
        active.standby = None
        granted_at = self._context.clock.now()
        if run.ended:
            await run.async_close()
            if grant is None:
                return outcome
            return await self._async_conclude(active, grant, outcome, granted_at)
        if isinstance(outcome, Retry) and outcome.upstream:
            log_attempt(active, outcome, 0.0)
            if outcome.reason == NOT_ADMITTED:
                active.runs -= 1
        if active.sends == run.sends:
            self.retries.refund(active.pool)
        resumed = run.resumed
        run.take_back()
        reason = "" if resumed else _reason_of(outcome)
        unused = [grant] if grant is not None else []
        while not active.mailbox.empty():
            event = await active.mailbox.get()
            if isinstance(event, GrantReceived):
                unused.append(event)
        for item in unused:
            await self._registry.async_return_grant(
                active.request_id, item, reason or RETURN_EXPIRED, False
            )
        await async_report_resumed(active, self._context)
        log_kept(active, resumed, reason)
        active.run = run
        verdict = await run.async_wait()
        return await self._async_conclude(active, run.grant, verdict, granted_at)

    def _may_repeat(self, active: ActiveRequest) -> bool:
        return (
            self.retries.has_retry_left(active.pool)
            and not self._admission.crashed_again(active)
            and self._admission.has_quota_for_repeat(active)
        )

    async def _async_reserve_repeat(self, active: ActiveRequest) -> str:
        """Reserve quota and retry budget for another attempt.

        Return which of them is missing, empty if both were reserved.
        """
        if not await self._admission.async_hold_repeat(active):
            return NO_QUOTA_LEFT
        return "" if self.retries.spend(active.pool) else NO_RETRY_LEFT

    async def _async_refuse_retry(
        self, active: ActiveRequest, grant: GrantReceived, verdict: Retry, missing: str
    ) -> Ending:
        """Return the grant to its owner; return the ending that refuses a retry."""
        self._context.metrics.count(const.METRIC_RETRIES_REFUSED)
        await self._registry.async_return_grant(
            active.request_id, grant, verdict.reason, False
        )
        return retry_later(Reason.NOT_ADMITTED)._replace(detail=missing)

    async def _async_return_grant(
        self, active: ActiveRequest, grant: GrantReceived, verdict: Verdict
    ) -> None:
        if isinstance(verdict, Retry):
            reason, waiting = verdict.reason, True
        elif isinstance(verdict, Ending) and verdict.outcome is Outcome.NOT_RUN:
            reason, waiting = verdict.reason, False
        elif isinstance(verdict, ClaimFound):
            reason, waiting = Reason.CLAIM_RUNNING, False
        else:
            return
        await self._registry.async_return_grant(
            active.request_id, grant, reason, waiting
        )

    async def _async_follow_claim(
        self, exchange: Exchange, active: ActiveRequest, found: ClaimFound
    ) -> Ending | None:
        """Relay the stream of an earlier copy; return an ending if it has none."""
        if not active.prepared.estimate.streamed or not found.address:
            return claim_ending(found)
        active.followed_id = found.request_id
        active.address = found.address
        relayed = await Relay(exchange, active, self._context).async_resume_from_start()
        if relayed is None:
            return claim_ending(found)
        self._context.metrics.count(const.METRIC_CLAIMS_FOLLOWED)
        return None

    async def _async_settle(
        self, active: ActiveRequest, outcome: Outcome, status: int
    ) -> None:
        """Record the outcome in the claim, or void the claim if nothing ran."""
        if not active.claimed:
            return
        action = ACTION_VOID if outcome is Outcome.NOT_RUN else ACTION_FINISH
        await self._claim_client.async_settle(active, action, outcome, status)

    async def _async_record_end(
        self, active: ActiveRequest, outcome: Outcome, status: int
    ) -> None:
        accounting.count_response(self._context, active, outcome)
        log_end(active, outcome, status, self._context.clock.now())
        await self._async_settle(active, outcome, status)
        owner_outcome = accounting.outcome_for_owner(outcome, status)
        await accounting.async_report_end(self._context, active, owner_outcome)

    async def _async_caller_gone(self, active: ActiveRequest) -> None:
        """Cancel the request of a disconnected caller: at the upstream or the owner."""
        self._context.metrics.count(const.METRIC_CALLER_GONE)
        await self._async_abandon(active, CALLER_GONE)

    async def _async_abandon(self, active: ActiveRequest, outcome: str) -> None:
        log_end(active, outcome, 0, self._context.clock.now())
        if not active.may_have_run:
            await self._async_settle(active, Outcome.NOT_RUN, 0)
            await async_cancel_registration(active, self._context)
            return
        active.phase = Phase.ENDED
        await self._context.dialect.async_cancel_work(active, self._context.connector)
        accounting.count_response(self._context, active, Outcome.UNKNOWN)
        await self._async_settle(active, Outcome.UNKNOWN, 0)
        await accounting.async_report_end(self._context, active, outcome)

    async def _async_end_at_stop(
        self, exchange: Exchange, active: ActiveRequest
    ) -> None:
        """Answer a request that is still in progress at the end of a stop.

        A response that has started is cut, so that it doesn't look complete.
        """
        active.cut = Cut(CutBy.STOP, GRACE_OVER)
        if exchange.started:
            await exchange.async_cut()
            await self._async_abandon(active, Outcome.UNKNOWN)
            return
        ending = retry_later(Reason.DRAINING)._replace(detail=GRACE_OVER)
        if active.may_have_run or active.has_run:
            ending = _as_possibly_run(ending)
            await self._async_send_ending(exchange, active, ending)
            await self._async_record_end(active, ending.outcome, ending.status)
            return
        identified = active.prepared.identified
        await self._async_refuse(exchange, ending, identified, active.request_id)
        await self._async_settle(active, ending.outcome, ending.status)
        await async_cancel_registration(active, self._context)

    async def _async_send_ending(
        self, exchange: Exchange, active: ActiveRequest, ending: Ending
    ) -> None:
        """Send the ending to the caller, or reset a response that has started."""
        if exchange.started:
            active.cut = Cut(CutBy.HOST, ending.reason, ending.detail)
            await exchange.async_cut()
            return
        headers, body = self._context.dialect.refusal(ending, active.request_id)
        await exchange.async_respond(ending.status, headers, body)

    async def _async_refuse(
        self,
        exchange: Exchange,
        ending: Ending,
        identified: IdentifiedRequest | None,
        request_id: str,
    ) -> None:
        accounting.count_refusal(self._context, ending, identified)
        log_refusal(self._context, ending, identified, request_id, exchange)
        headers, body = self._context.dialect.refusal(ending, request_id)
        await exchange.async_respond(ending.status, headers, body)


async def _async_wait_caller_gone(exchange: Exchange) -> None:
    """Return when the caller disconnects before its response is finished.

    A caller that closes the connection right after the last byte does not count as
    gone: the request still has to be accounted for as done.
    """
    await exchange.connection.async_watch()
    while exchange.finished:
        await curio.sleep(FINISHED_POLL)


def _reason_of(outcome: Verdict | RunSilent | RunResumed) -> str:
    """Return why a request was not served by another upstream."""
    if isinstance(outcome, Ending | Retry):
        return str(outcome.reason)
    return ""


def _as_possibly_run(ending: Ending) -> Ending:
    """Return an ending for a request that an earlier attempt may have run.

    The outcome not-run would be wrong, whatever ended the wait for another attempt.
    """
    if ending.outcome is not Outcome.NOT_RUN:
        return ending
    return Ending(Outcome.UNKNOWN, ending.reason, 502, detail=ending.detail)
