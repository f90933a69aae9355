"""Send a request to an upstream once, under one grant.

Every request that reaches an upstream is sent by this module.
"""

import contextlib
from contextlib import AsyncExitStack

import curio

from bitterntiller.components.config.models import Route, RouteKind
from bitterntiller.components.entry import const
from bitterntiller.components.entry.admission_checks import quarantine_ending
from bitterntiller.components.entry.claiming import ClaimClient
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.dialect import ResponseClass
from bitterntiller.components.entry.event_logging import log_response, log_sending
from bitterntiller.components.entry.identify import revalidate
from bitterntiller.components.entry.incarnations import LeadsTo
from bitterntiller.components.entry.limit_reports import async_report_rate_limit
from bitterntiller.components.entry.models import (
    ActiveRequest,
    Cut,
    CutBy,
    GrantReceived,
    Phase,
    RelayResult,
    Retry,
    RunResumed,
    RunSilent,
    Verdict,
)
from bitterntiller.components.entry.notice_reports import async_record_notice
from bitterntiller.components.entry.path_report import PathReport
from bitterntiller.components.entry.relay import LOST_RESPONSE, Relay
from bitterntiller.components.entry.run import Run, RunWatch
from bitterntiller.components.entry.send_checks import (
    LEASE_EXPIRED,
    NOT_CONFIRMED,
    OTHER_VERSION,
    REFUSED_CONNECTION,
    SAME_UPSTREAM,
    check_expiry,
    check_notices,
    check_upstream,
    check_version,
)
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import ResponseHead
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connected
from bitterntiller.core.interfaces import SentRequest
from bitterntiller.core.outcomes import Ending, Outcome, Reason
from bitterntiller.protocol import messages

NOT_ADMITTED = "not-admitted"
FAILED = "failed"
_BROKEN_ANSWERS = frozenset({Reason.UPSTREAM_RESET, Reason.UPSTREAM_TIMEOUT})
BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


class Attempt:
    """Sends one request once and relays the response.

    may_repeat states whether quota and retry budget allow a further attempt. With a
    silent run of the request on standby, that one ends when this response begins.
    """

    def __init__(
        self,
        exchange: Exchange,
        active: ActiveRequest,
        context: Context,
        claim_client: ClaimClient,
        may_repeat: bool = False,
    ) -> None:
        self._claim_client = claim_client
        self._exchange = exchange
        self._active = active
        self._context = context
        self._timings = context.timings
        self._may_repeat = may_repeat
        self._standby = active.standby
        self._run: Run | None = None

    async def async_run(self, grant: GrantReceived) -> Verdict | RunSilent | RunResumed:
        """Use a grant and return the result of the attempt.

        Return RunSilent if the upstream is silent and the request may be sent to
        another; its run is the last one that the request's stack owns, and goes on.
        Return RunResumed if the run on standby has gone on instead.
        """
        verdict = self._check(grant)
        if verdict is not None:
            return verdict
        destination = Destination(
            request_id=self._active.request_id,
            upstream=grant.upstream,
            address=grant.address,
            relays=grant.relays,
            pool=grant.pool,
        )
        try:
            connected = await self._async_connect(destination, grant)
        except ConnectRefusedError as error:
            # No byte was sent without a connection, so the request did not run.
            return Retry(grant.upstream, REFUSED_CONNECTION, detail=error.text)
        if connected is None:
            return Retry(grant.upstream, OTHER_VERSION, detail=NOT_CONFIRMED)
        if self._standby is None:
            self._active.relay = connected.relay
        report = PathReport(
            self._context.connector,
            destination,
            connected,
            self._active,
            self._exchange,
        )
        async with AsyncExitStack() as stack:
            run = Run(self._active, grant, self._context.clock)
            stack.push_async_callback(run.async_close)
            run.stack.push_async_callback(self._async_give_back, run, connected)
            verdict = await self._async_claim_and_send(report, run)
            if isinstance(verdict, RunSilent):
                self._active.run = run
                self._active.stack.push_async_callback(stack.pop_all().aclose)
            return verdict

    async def _async_connect(
        self, destination: Destination, grant: GrantReceived
    ) -> Connected | None:
        """Return a connection to the upstream; raise ConnectRefusedError.

        For a stream that may be taken up, return None if it doesn't lead to the
        incarnation that was granted, which may have another version.
        """
        connected = await self._async_acquire(destination)
        checks = self._context.incarnations
        route = self._active.route
        if checks is None or route is None or route.kind is not RouteKind.RESUMABLE:
            return connected
        leads_to = None
        try:
            leads_to = await checks.async_check(connected.client, grant)
        finally:
            if leads_to is not LeadsTo.GRANTED:
                await connected.client.async_close()
        if leads_to is LeadsTo.GRANTED_ONCE:
            return await self._async_acquire(destination)
        return connected if leads_to is LeadsTo.GRANTED else None

    async def _async_acquire(self, destination: Destination) -> Connected:
        return await self._context.connector.async_acquire(
            destination,
            self._timings.upstream_connect,
            self._may_repeat and self._active.repeatable_once_sent,
        )

    async def _async_give_back(self, run: Run, connected: Connected) -> None:
        """Keep a connection whose response is complete, close any other."""
        result = run.result
        reusable = isinstance(result, RelayResult) and result.whole
        if reusable or _has_complete_response(result):
            connector = self._context.connector
            await connector.async_release(run.grant.address, connected)
        else:
            await connected.client.async_close()

    async def _async_claim_and_send(
        self, report: PathReport, run: Run
    ) -> Verdict | RunSilent | RunResumed:
        grant = run.grant
        verdict = await self._claim_client.async_take(self._active, grant)
        if verdict is not None:
            return verdict
        await self._async_report_started(grant)
        # Connecting, claiming and reporting take time, and the process may have been
        # suspended meanwhile. Do not wait between this check and the first byte.
        verdict = self._check(grant)
        if verdict is not None:
            return verdict
        return await self._async_send(report, run)

    def _check(self, grant: GrantReceived) -> Ending | Retry | RunResumed | None:
        return (
            self._check_standby(grant)
            or self._check_time(grant)
            or self._check_config()
            or self._check_crashes()
            or self._check_upstream(grant)
        )

    def _check_standby(self, grant: GrantReceived) -> Retry | RunResumed | None:
        """Return what speaks against another run beside the one on standby."""
        standby = self._standby
        if standby is None:
            return None
        if standby.resumed:
            return RunResumed(standby.grant.upstream)
        same = grant.upstream == standby.grant.upstream
        return Retry(grant.upstream, SAME_UPSTREAM) if same else None

    def _check_upstream(self, grant: GrantReceived) -> Retry | None:
        context = self._context
        reason = check_notices(grant, context.notices, context.clock.now())
        if reason is None:
            reason = check_upstream(grant, context.upstreams, context.versions)
        if reason is None:
            required = self._active.required_version
            reason = check_version(grant, required, context.upstreams)
        return None if reason is None else Retry(grant.upstream, reason)

    def _check_crashes(self) -> Ending | None:
        """Refuse a request that was quarantined for crashes after it was granted."""
        crashes = self._context.crashes
        if crashes is None:
            return None
        now = self._context.clock.now()
        return quarantine_ending(crashes, self._active, now)

    def _check_config(self) -> Ending | None:
        identified = self._active.prepared.identified
        view = self._context.config
        if view.version == identified.config_version:
            return None
        return revalidate(identified, view.config)

    def _check_time(self, grant: GrantReceived) -> Ending | Retry | None:
        deadline = self._active.prepared.identified.deadline
        if not self._context.stop.passes_on(self._active):
            return _not_run(Reason.DRAINING)
        now = self._context.clock.now()
        reason = check_expiry(grant, deadline, self._context.lease, now)
        if reason is None:
            return None
        self._context.metrics.count(const.METRIC_EXPIRED_GRANTS)
        if reason == Reason.TOO_LATE:
            return _not_run(Reason.TOO_LATE)
        if reason == LEASE_EXPIRED:
            return _not_run(Reason.NO_LEASE)
        return Retry("", reason)

    async def _async_send(
        self, report: PathReport, run: Run
    ) -> Verdict | RunSilent | RunResumed:
        """Send the request; relay its response in a task of its own if it may move."""
        active = self._active
        client = report.connected.client
        active.mark_sending(run.grant)
        client.record_request(active.request_id)
        active.sent_at = self._context.clock.now()
        active.relay = report.connected.relay
        self._spend_quota()
        log_sending(active, run.grant, client, active.sent_at)
        try:
            await self._async_send_request(client, run.grant)
        except IncompleteResponseError as error:
            await report.async_lost()
            return await self._async_handle_lost_response(error)
        if self._standby is None and not active.movable:
            run.result = await self._async_respond(report, run.grant)
            return run.result
        self._run = run
        await run.async_start(lambda: self._async_respond(report, run.grant))
        result = await run.async_wait()
        if isinstance(result, RunSilent):
            await report.async_silent()
        return result

    async def _async_respond(self, report: PathReport, grant: GrantReceived) -> Verdict:
        """Relay the response of the upstream, and look whether it has crashed."""
        verdict = await self._async_receive_and_relay(report, grant)
        crashes = self._context.crashes
        if crashes is None or not _response_broke(verdict) or self._left(grant):
            return verdict
        active = self._active
        sent = SentRequest(
            request_id=active.request_id,
            fingerprint=active.fingerprint,
            upstream=grant.upstream,
            incarnation=grant.incarnation,
            address=grant.address,
            parts=() if active.parts_sound else active.part_fingerprints,
            workspace=active.prepared.identified.workspace.name,
            pool=grant.pool,
            sent_at=active.sent_at,
        )
        await crashes.async_check_crash(
            sent,
            retrying=isinstance(verdict, Retry),
            probes=self._context.connector,
        )
        return verdict

    def _left(self, grant: GrantReceived) -> bool:
        """Return whether an upstream said that it leaves; its end is no crash then."""
        upstreams = self._context.upstreams
        return upstreams is not None and upstreams.is_departing(grant.upstream)

    async def _async_receive_and_relay(
        self, report: PathReport, grant: GrantReceived
    ) -> Verdict:
        active = self._active
        client = report.connected.client
        try:
            head, response_class = await self._async_head(client)
        except IncompleteResponseError as error:
            await report.async_lost()
            return await self._async_handle_lost_response(error)
        from_upstream = self._context.dialect.is_from_upstream(active, head)
        await report.async_head(from_upstream)
        active.load = self._context.dialect.load(head)
        active.rate_limit = self._context.dialect.rate_limit(head)
        notice = self._context.dialect.notice(head)
        now = self._context.clock.now()
        named = self._context.dialect.names_request(active, head)
        log_response(active, client, head, response_class, named, notice, now)
        if response_class is not ResponseClass.FOREIGN:
            await async_report_rate_limit(self._context, active, grant, now)
            await async_record_notice(self._context, grant, notice, now)
        if (
            self._context.response_times is not None
            and response_class is ResponseClass.ANSWER
        ):
            self._context.response_times.record(active.pool, now - active.sent_at)
        if response_class is ResponseClass.NOT_RUN:
            await _async_drain_response(client)
            return Retry(grant.upstream, NOT_ADMITTED)
        if response_class is ResponseClass.FOREIGN:
            error = IncompleteResponseError("the answer names another request")
            return await self._async_handle_lost_response(error)
        failed = response_class is not ResponseClass.ANSWER
        if failed and (self._can_repeat() or self._standby is not None):
            await _async_drain_response(client)
            return Retry(grant.upstream, FAILED, ran=True)
        if response_class is ResponseClass.WITHHELD:
            return _unknown(Reason.UPSTREAM_FAILED, BAD_GATEWAY)
        active.phase = Phase.RELAYING
        relay = Relay(
            self._exchange, active, self._context, self._run, self._response_watch()
        )
        relayed = await relay.async_run(client, head)
        await report.async_end()
        return await self._async_finish_relay(relayed)

    def _spend_quota(self) -> None:
        """Charge the quota for this run.

        An attempt that proved not to have run was charged already; its charge covers
        this one.
        """
        active = self._active
        quota = self._context.quota
        if quota is None or active.runs <= active.charged_runs:
            return
        workspace = active.prepared.identified.workspace
        quota.spend(workspace, active.prepared.estimate.usage, active.hold)
        active.hold = None
        active.charged_runs = active.runs

    async def _async_send_request(
        self, client: ClientExchange, grant: GrantReceived
    ) -> None:
        active = self._active
        head = active.prepared.identified.received.head
        headers = self._context.dialect.request_headers(
            active, grant, self._context.clock.now()
        )
        await client.async_request(
            head.method,
            head.target,
            headers,
            active.prepared.body,
            self._timings.body,
            close=bool(active.relay) or not self._context.connections.keeps_connections,
        )

    async def _async_head(
        self, client: ClientExchange
    ) -> tuple[ResponseHead, ResponseClass]:
        """Return the head of the response and its class; raise IncompleteResponseError.

        On a reused connection, a late response to an earlier request may arrive first.
        It carries the id of that request and is skipped.
        """
        timeout = self._first_byte_timeout()
        head = await client.async_head(timeout, self._response_watch())
        response_class = self._classify(client, head)
        if response_class is ResponseClass.FOREIGN:
            self._context.metrics.count(const.METRIC_LATE_RESPONSES)
            if client.reused and await client.async_skip_response():
                timeout = self._first_byte_timeout()
                head = await client.async_head(timeout, self._response_watch())
                response_class = self._classify(client, head)
        return head, response_class

    def _classify(self, client: ClientExchange, head: ResponseHead) -> ResponseClass:
        """Classify the head of a response.

        On a reused connection, a refusal without an id proves nothing: it may be a late
        one of an earlier request.
        """
        dialect = self._context.dialect
        found = dialect.classify_response(self._active, head)
        if found is ResponseClass.NOT_RUN and client.reused:
            named = dialect.names_request(self._active, head)
            return found if named else ResponseClass.WITHHELD
        return found

    async def _async_finish_relay(self, verdict: RelayResult | Retry) -> Verdict:
        if isinstance(verdict, RelayResult):
            if not verdict.whole:
                await self._async_cancel_in_background()
            return verdict
        await self._async_cancel_in_background()
        late = self._is_late()
        if self._can_repeat() and not late:
            return verdict
        if self._exchange.started and self._active.standby not in (None, self._run):
            # The silent run has begun the response and may go on with it.
            return verdict
        if self._exchange.started:
            self._active.cut = Cut(CutBy.UPSTREAM, verdict.reason, verdict.detail)
            await self._exchange.async_cut()
            return RelayResult(False, BAD_GATEWAY)
        return _lost_ending(late, verdict.detail)

    def _is_late(self) -> bool:
        """Return whether the deadline of the request has passed."""
        identified = self._active.prepared.identified
        return identified.seconds_left(self._context.clock.now()) <= 0

    def _can_repeat(self) -> bool:
        """Return whether a further attempt can follow an attempt that has ended."""
        if self._run is not None and self._run.set_aside:
            return True
        return self._may_repeat and self._active.repeatable

    async def _async_cancel_in_background(self) -> None:
        """Cancel the request at the upstream in the background.

        Waiting for it would delay the reset of a truncated response, which reaches the
        caller only after the attempt has ended.
        """
        cancel = self._context.dialect.async_cancel_work
        connector = self._context.connector
        await curio.spawn(cancel, self._active, connector, daemon=True)

    async def _async_report_started(self, grant: GrantReceived) -> None:
        message = messages.Started(
            request_id=self._active.request_id,
            pool=grant.pool,
            upstream=grant.upstream,
        )
        if grant.sender:
            await self._context.links.async_send(grant.sender, message)

    def _first_byte_timeout(self) -> float:
        """Return the timeout for the head of a response."""
        identified = self._active.prepared.identified
        left = identified.seconds_left(self._context.clock.now())
        return max(const.MIN_TIMEOUT, min(left, self._timings.upstream_first_byte))

    def _response_watch(self) -> RunWatch | None:
        """Return what is told that the response doesn't begin, or isn't whole.

        Only streams go on beyond their head in parts that callers can use. None if
        another run of the request is on standby.
        """
        route = self._active.route
        if self._run is None or route is None or self._standby is not None:
            return None
        return RunWatch(self._run, self._response_silence(route))

    def _response_silence(self, route: Route) -> float:
        """Return the seconds without a response after which to look for another.

        Calls use the measured response times of their service. Streams use the
        objective of their route, since repeating one costs another prefill and its
        response time depends on the prompt. Past their objective, time must be left for
        the other upstream.
        """
        identified = self._active.prepared.identified
        left = identified.seconds_left(self._active.sent_at)
        longest = max(
            min(
                const.RESPONSE_SILENCE_OBJECTIVES * route.objective,
                const.RESPONSE_SILENCE_TIME_FRACTION * left,
            ),
            route.objective,
            const.MIN_RESPONSE_SILENCE,
        )
        times = self._context.response_times
        if route.streams or times is None:
            return longest
        timeout = times.attempt_timeout(self._active.pool, route.objective)
        return longest if timeout is None else min(timeout, longest)

    async def _async_handle_lost_response(
        self, error: IncompleteResponseError
    ) -> Verdict:
        """Return the result of an attempt without a response; it may have run.

        A reset or a timeout leaves open whether the upstream accepted the request, so
        only a repeatable request is sent again. A stream of the native dialect can be
        resumed from its start; any other request ends with the outcome unknown.
        """
        active = self._active
        late = self._is_late()
        if self._can_repeat() and not late:
            await self._async_cancel_in_background()
            return Retry(active.upstream, LOST_RESPONSE, ran=True, detail=error.text)
        native_stream = active.prepared.estimate.streamed and active.route is None
        if native_stream and not late:
            relayed = await self._async_resume_from_start()
            if relayed is not None:
                if not relayed.whole:
                    await self._async_cancel_in_background()
                return relayed
        # In the background, so that the caller gets the ending without delay.
        await self._async_cancel_in_background()
        return _lost_ending(late, error.text)

    async def _async_resume_from_start(self) -> RelayResult | None:
        relay = Relay(self._exchange, self._active, self._context)
        return await relay.async_resume_from_start()


def _response_broke(verdict: Verdict) -> bool:
    """Return whether a request was sent and its response was lost or truncated."""
    if isinstance(verdict, RelayResult):
        return not verdict.whole
    if isinstance(verdict, Retry):
        return verdict.reason == LOST_RESPONSE
    return isinstance(verdict, Ending) and verdict.reason in _BROKEN_ANSWERS


def _has_complete_response(verdict: object) -> bool:
    """Return whether an attempt ended with a complete response that wasn't relayed."""
    return isinstance(verdict, Retry) and verdict.reason in (NOT_ADMITTED, FAILED)


async def _async_drain_response(client: ClientExchange) -> None:
    """Read the body of a response that is not relayed, to reuse the connection."""
    with contextlib.suppress(IncompleteResponseError):
        await client.async_body(const.DRAIN_SECONDS, const.DRAIN_BYTES)


def _not_run(reason: Reason) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, 503, retry_after=const.DEFAULT_RETRY_AFTER)


def _lost_ending(late: bool, detail: str) -> Ending:
    """Return the ending of a request whose response was lost."""
    if late:
        return _unknown(Reason.UPSTREAM_TIMEOUT, GATEWAY_TIMEOUT, detail)
    return _unknown(Reason.UPSTREAM_RESET, BAD_GATEWAY, detail)


def _unknown(reason: Reason, status: int, detail: str = "") -> Ending:
    return Ending(Outcome.UNKNOWN, reason, status, detail=detail)
