"""Record the end of a request in metrics and report it to the owner of its pool."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import ActiveRequest, IdentifiedRequest
from bitterntiller.components.entry.owner_messages import finished_message
from bitterntiller.core.outcomes import Ending, Outcome

UNIDENTIFIED = "none"
REJECTED = "rejected"
MIN_SERVER_ERROR = 500


def count_refusal(
    context: Context, ending: Ending, identified: IdentifiedRequest | None
) -> None:
    """Count a request that this host refused, by tier and reason."""
    tier = identified.tier.name if identified else UNIDENTIFIED
    service = identified.service.name if identified else UNIDENTIFIED
    context.metrics.count(f"{const.METRIC_REFUSED}.{tier}.{ending.reason}")
    context.metrics.count(f"{const.METRIC_REQUESTS}.{service}.{tier}.{ending.outcome}")


def count_response(context: Context, active: ActiveRequest, outcome: Outcome) -> None:
    """Record the metrics of a sent request: outcome, times, tokens, goodput, waste."""
    identified = active.prepared.identified
    metrics = context.metrics
    tier = identified.tier.name
    service = identified.service.name
    arrived = identified.received.arrived
    now = context.clock.now()
    metrics.count(f"{const.METRIC_REQUESTS}.{service}.{tier}.{outcome}")
    metrics.timing(f"{const.METRIC_QUEUE_WAIT}.{tier}", active.sent_at - arrived)
    metrics.count(f"{const.METRIC_TOKENS}.{tier}", active.output_tokens)
    if active.first_byte_at is not None:
        to_first = active.first_byte_at - arrived
        metrics.timing(f"{const.METRIC_TIME_TO_FIRST}.{tier}", to_first)
    if outcome is Outcome.DONE and now <= identified.deadline:
        metrics.count(f"{const.METRIC_GOODPUT}.{tier}")
    else:
        wasted = active.prepared.estimate.prompt_tokens - (active.cached_tokens or 0)
        metrics.count(f"{const.METRIC_WASTED_PREFILL}.{tier}", max(0, wasted))


def outcome_for_owner(outcome: Outcome, status: int) -> str:
    """Return the outcome to report to an owner.

    A failure with a status below 500 is reported as rejected, since the upstream is not
    at fault.
    """
    if outcome is Outcome.FAILED and status < MIN_SERVER_ERROR:
        return REJECTED
    return outcome


async def async_report_end(
    context: Context, active: ActiveRequest, outcome: str
) -> None:
    """Report the end of a sent request to the current owner of its pool."""
    owner = context.directory.owner(active.pool)
    if owner is None:
        return
    message = finished_message(active, outcome, context.clock.now())
    await context.links.async_send(owner.address, message)
