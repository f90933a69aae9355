"""Log events for the decisions of an owner and state changes of its upstreams."""

from typing import Any

from bitterntiller.components.dispatch.concurrency import LimitChange
from bitterntiller.components.dispatch.models import (
    Basis,
    Decision,
    Granted,
    RefusalBasis,
    Refused,
)
from bitterntiller.components.dispatch.quota_counter import QuotaDecision
from bitterntiller.components.dispatch.upstream_events import (
    PATH_CHANGES,
    UpstreamChange,
    UpstreamEvent,
)
from bitterntiller.core import events


def log_decision(pool: str, decision: Decision) -> None:
    """Log a grant or a refusal, with the basis of the decision."""
    if isinstance(decision, Granted):
        _log_grant(pool, decision)
    else:
        _log_refusal(pool, decision)


def log_upstream_event(pool: str, event: UpstreamEvent) -> None:
    """Log that an upstream is used from now on or no longer used, and why."""
    if event.change in PATH_CHANGES:
        _log_path(pool, event)
        return
    if event.concurrency is not None:
        _log_concurrency(pool, event.upstream, event.concurrency)
        return
    events.emit(
        "upstream-use",
        pool=pool,
        upstream=event.upstream,
        change=event.change,
        heard=round(event.announcement_age, 1),
        worked=round(event.activity_age, 1),
        in_flight=event.in_flight,
        probe_in=_rounded(event.probe_in),
        limit=event.limit,
        entry_host=event.entry_host,
        paused_for=event.paused_for,
        reason=event.reason,
        failure_rate=_rounded(event.failure_rate),
        pool_failure_rate=_rounded(event.pool_failure_rate),
        samples=event.samples,
    )


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)


def _log_path(pool: str, event: UpstreamEvent) -> None:
    events.emit(
        "upstream-path",
        pool=pool,
        upstream=event.upstream,
        entry_host=event.entry_host,
        reached=event.change is UpstreamChange.PATH_REGAINED,
        reason=event.reason,
        in_flight=event.in_flight,
    )


def _log_concurrency(pool: str, upstream: str, change: LimitChange) -> None:
    events.emit(
        "concurrency",
        pool=pool,
        upstream=upstream,
        old=change.old,
        new=change.new,
        samples=change.samples,
        age=round(change.age, 3),
    )


def log_missed_end(pool: str, request_id: str, host: str) -> None:
    """Log that the end of a request at its entry host was not received here."""
    events.emit("end-missed", request=request_id, pool=pool, entry_host=host)


def log_quota(decision: QuotaDecision) -> None:
    """Log a quota decision, with the state that it was based on."""
    request, refusal, state = decision.request, decision.refusal, decision.state
    events.emit(
        "quota",
        request=request.request_id,
        entry_host=request.host,
        workspace=request.workspace,
        amount=request.amount,
        reserved=refusal is None,
        left=round(state.remaining),
        level=round(state.level),
        of=round(state.limit),
        ahead=decision.ahead,
        waited=round(decision.waited, 4),
        retry_after=None if refusal is None else round(refusal.retry_after, 3),
        retry_reserved=refusal is not None and refusal.retry_reserved,
    )


def _log_grant(pool: str, granted: Granted) -> None:
    events.emit(
        "granted",
        request=granted.request_id,
        pool=pool,
        upstream=granted.upstream,
        **_fields(granted.basis),
    )


def _log_refusal(pool: str, refused: Refused) -> None:
    events.emit(
        "given-up",
        request=refused.request_id,
        pool=pool,
        reason=refused.reason,
        retry_after=round(refused.retry_after, 3),
        **_fields(refused.basis),
    )


def _fields(basis: Basis | RefusalBasis | None) -> dict[str, Any]:
    if basis is None:
        return {}
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in basis._asdict().items()
    }
