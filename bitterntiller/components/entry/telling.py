"""The decisions on a request as events of the log."""

from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import ActiveRequest, Identified, Retry
from bitterntiller.core import events
from bitterntiller.core.outcomes import Ending


def tell_refusal(
    context: Context, ending: Ending, identified: Identified | None, request_id: str
) -> None:
    """Tell a request that was answered here, and what that rests on."""
    waited = 0.0
    if identified is not None:
        waited = context.clock.now() - identified.received.arrived
    events.emit(
        "refused",
        request=request_id,
        status=ending.status,
        reason=ending.reason,
        detail=ending.detail,
        retry_after=ending.retry_after,
        waited=round(waited, 4),
        workspace=identified.workspace.name if identified else "",
        service=identified.service.name if identified else "",
        tier=identified.tier.name if identified else "",
        config_version=context.config.version,
        lease_valid=context.lease.valid(),
    )


def tell_attempt(active: ActiveRequest, verdict: Retry) -> None:
    """Tell an attempt after which the request waits again."""
    events.emit(
        "attempt-ended",
        request=active.request_id,
        upstream=verdict.upstream,
        reason=verdict.reason,
        may_have_run=verdict.ran,
        runs=active.runs,
    )


def tell_end(active: ActiveRequest, outcome: str, status: int, now: float) -> None:
    """Tell how a request ended that was sent, or whose caller left."""
    arrived = active.prepared.identified.received.arrived
    first = active.first_byte_at
    events.emit(
        "ended",
        request=active.request_id,
        outcome=outcome,
        status=status,
        upstream=active.upstream,
        runs=active.runs,
        tried=active.tried,
        output=active.output_tokens,
        first=None if first is None else round(first - arrived, 4),
        total=round(now - arrived, 4),
    )
