"""Log the decisions on a request as events."""

from bitterntiller.components.crashes.fingerprint import format_fingerprint
from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.dialect import ResponseClass
from bitterntiller.components.entry.models import (
    ActiveRequest,
    Cut,
    CutBy,
    GrantReceived,
    IdentifiedRequest,
    Retry,
)
from bitterntiller.components.entry.notices import Notice
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.event_logging import MAX_PATH_LENGTH
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import ResponseHead
from bitterntiller.core import events
from bitterntiller.core.outcomes import Ending

NO_RESPONSE = "no-response"
MAX_REASON = 60


def log_refusal(
    context: Context,
    ending: Ending,
    identified: IdentifiedRequest | None,
    request_id: str,
    exchange: Exchange,
) -> None:
    """Log a request that this host refused, and the state the decision is based on.

    body_bytes counts the bytes of the body that had arrived; config_age is in seconds,
    None before the first configuration. left is the time to the deadline in seconds;
    begun_by and caller_after are those of log_sending.
    """
    waited, left, continued = 0.0, None, None
    if identified is not None:
        now = context.clock.now()
        waited = now - identified.received.arrived
        left = identified.deadline - now
        continued = identified.received.continued
    events.emit(
        "refused",
        request=request_id,
        status=ending.status,
        reason=ending.reason,
        detail=ending.detail,
        retry_after=ending.retry_after,
        waited=round(waited, 4),
        left=_rounded(left),
        workspace=identified.workspace.name if identified else "",
        service=identified.service.name if identified else "",
        tier=identified.tier.name if identified else "",
        route=_route(identified),
        tokens=_declared_tokens(identified),
        method=exchange.head.method,
        path=exchange.head.path[:MAX_PATH_LENGTH],
        framing=exchange.head.framing,
        body_bytes=exchange.body_bytes,
        begun_by=_begun_by(identified),
        caller_after=continued.after if continued else 0,
        config_version=context.config.version,
        config_age=_config_age(context),
        lease_valid=context.lease.valid(),
    )


def log_sending(
    active: ActiveRequest, grant: GrantReceived, client: ClientExchange, now: float
) -> None:
    """Log that a request is sent.

    connection is the number of the connection, exchange that of the request on it, and
    unread_bytes states whether bytes had arrived on it before. version is the
    upstream's. parts has the fingerprints of the parts of the prompt, in order. For a
    request that continues a stream, begun_by is the caller's attempt that began it,
    caller_after the last event that the caller has of earlier attempts, and after the
    last one including this request. origin says from where it is known which version
    began the stream, and origin_age is the age of its last event in seconds.
    """
    identified = active.prepared.identified
    continued = identified.received.continued
    origin = active.origin
    events.emit(
        "sent",
        request=active.request_id,
        upstream=grant.upstream,
        version=grant.version,
        address=grant.address,
        relay=active.relay,
        owner=grant.sender,
        run=active.runs,
        workspace=identified.workspace.name,
        route=_route(identified),
        usage=active.prepared.estimate.usage,
        waited=round(now - identified.received.arrived, 4),
        left=round(identified.deadline - now, 3),
        grant_left=round(grant.valid_until - now, 3),
        kept_connection=client.reused,
        connection=client.serial,
        exchange=client.exchanges + 1,
        unread_bytes=not client.is_quiet(),
        fingerprint=format_fingerprint(active.fingerprint),
        parts=[format_fingerprint(part) for part in active.part_fingerprints],
        begun_by=_begun_by(identified),
        after=active.last_event_id,
        caller_after=continued.after if continued else 0,
        origin=origin.source if origin else "",
        origin_age=_rounded(origin.age) if origin else None,
        config_version=identified.config_version,
    )


def log_response(
    active: ActiveRequest,
    client: ClientExchange,
    head: ResponseHead,
    finding: ResponseClass,
    named: bool,
    notice: Notice,
    now: float,
) -> None:
    """Log the head of a response and its class.

    named states whether it has the id of its request; reason is the text of its status
    line, and connection the number of the connection that it came on.
    """
    events.emit(
        "answer",
        request=active.request_id,
        upstream=active.upstream,
        connection=client.serial,
        status=head.status,
        reason=head.reason[:MAX_REASON],
        finding=finding,
        named=named,
        after=round(now - active.sent_at, 4),
        rate_limit=active.rate_limit,
        leaving=notice.leaving,
        pause=notice.pause,
    )


def log_attempt(active: ActiveRequest, verdict: Retry, seconds: float) -> None:
    """Log an attempt after which the request waits for another grant.

    seconds is the time from the grant to the end of the attempt.
    """
    events.emit(
        "attempt-ended",
        request=active.request_id,
        upstream=verdict.upstream,
        reason=verdict.reason,
        may_have_run=verdict.ran,
        runs=active.runs,
        detail=verdict.detail,
        seconds=round(seconds, 4),
    )


def log_silence(active: ActiveRequest, output: int, missing: str, now: float) -> None:
    """Log that the upstream of a request has sent nothing for some time.

    missing says what keeps the request from being sent to another, empty if another
    one is sought. after is in seconds since the sending.
    """
    events.emit(
        "run-silent",
        request=active.request_id,
        upstream=active.upstream,
        run=active.runs,
        output=output,
        after=round(now - active.sent_at, 4),
        missing=missing,
    )


def log_kept(active: ActiveRequest, resumed: bool, reason: str) -> None:
    """Log that a request stays at an upstream that was silent.

    resumed states whether the upstream goes on; else reason is why no other took over.
    """
    events.emit(
        "run-kept",
        request=active.request_id,
        upstream=active.upstream,
        resumed=resumed,
        reason=reason,
    )


def log_move(active: ActiveRequest, silent: str) -> None:
    """Log that the upstream of a request takes over from one that is silent."""
    events.emit(
        "run-moved",
        request=active.request_id,
        upstream=active.upstream,
        silent=silent,
        after=active.last_event_id,
    )


def log_cut(context: Context, active: ActiveRequest, started: bool) -> None:
    """Log and count a response that its caller does not get whole.

    by says who ended it and started whether the caller has its head. left is the time
    to the deadline in seconds. config_version is that by which the request was
    identified, config_now the one in force.
    """
    cut = active.cut or Cut(CutBy.HOST, NO_RESPONSE)
    active.cut_logged = True
    identified = active.prepared.identified
    now = context.clock.now()
    if cut.by in (CutBy.HOST, CutBy.UPSTREAM) and now >= identified.deadline:
        cut = cut._replace(by=CutBy.DEADLINE)
    context.metrics.count(f"{const.METRIC_CUT}.{cut.by}")
    events.emit(
        "response-cut",
        request=active.request_id,
        by=cut.by,
        reason=cut.reason,
        detail=cut.detail,
        started=started,
        output=active.output_tokens,
        upstream=active.upstream,
        tried=active.tried,
        runs=active.runs,
        service=identified.service.name,
        route=_route(identified),
        total=round(now - identified.received.arrived, 4),
        left=round(identified.deadline - now, 3),
        config_version=identified.config_version,
        config_now=context.config.version,
        config_age=_config_age(context),
    )


def log_end(active: ActiveRequest, outcome: str, status: int, now: float) -> None:
    """Log the end of a request that was sent or whose caller disconnected."""
    identified = active.prepared.identified
    arrived = identified.received.arrived
    first = active.first_byte_at
    events.emit(
        "ended",
        request=active.request_id,
        outcome=outcome,
        status=status,
        service=identified.service.name,
        tier=identified.tier.name,
        route=_route(identified),
        tokens=_declared_tokens(identified),
        upstream=active.upstream,
        runs=active.runs,
        tried=active.tried,
        output=active.output_tokens,
        first=None if first is None else round(first - arrived, 4),
        total=round(now - arrived, 4),
    )


def _begun_by(identified: IdentifiedRequest | None) -> str:
    """Return the attempt that began the stream which a request continues, if stated."""
    if identified is None or identified.received.continued is None:
        return ""
    return identified.received.continued.first_id


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _config_age(context: Context) -> float | None:
    since = context.config.in_force_since
    return None if since is None else round(context.clock.now() - since, 3)


def _route(identified: IdentifiedRequest | None) -> str:
    """Return the name of the matching route, empty without one."""
    if identified is None or identified.route is None:
        return ""
    return identified.route.name


def _declared_tokens(identified: IdentifiedRequest | None) -> int | None:
    """Return the declared tokens of prompt and output, None without a declaration."""
    if identified is None or identified.received.work is None:
        return None
    work = identified.received.work
    return work.prompt_tokens + work.output_tokens
