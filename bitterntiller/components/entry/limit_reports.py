"""Tells owners which limits the answers of upstreams name."""

import curio

from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import ActiveRequest, GrantReceived
from bitterntiller.components.entry.owner_messages import limit_message
from bitterntiller.components.entry.rate_limits import ReportedLimit
from bitterntiller.core.interfaces import Ownership


async def async_report_rate_limit(
    context: Context, active: ActiveRequest, grant: GrantReceived, now: float
) -> None:
    """Tell the owners at once what an answer that began now names as a limit.

    These are the owner whose grant was used and its successor, if there is one. The end
    of a limit is told where the grant says that the owner believes in one.
    """
    limit = active.rate_limit
    if limit is None and not grant.rate_limited:
        return
    reported = ReportedLimit(grant.pool, grant.upstream, grant.incarnation, limit, now)
    context.rate_limits.note(reported)
    owner = context.directory.owner(grant.pool)
    addresses = {grant.sender, owner.address if owner is not None else ""}
    message = limit_message(reported, context.clock.now())
    # A dial to an owner that has just died must not hold up the answer.
    for address in addresses - {""}:
        await curio.spawn(context.links.async_send, address, message, daemon=True)


async def async_report_known_limits(
    context: Context, pool: str, owner: Ownership
) -> None:
    """Tell an owner that is new to this host the limits known here, before it grants.

    Without it the owner would send an upstream with a limit all that its slots hold,
    until an answer names the limit again.
    """
    now = context.clock.now()
    for reported in context.rate_limits.for_new_owner(pool, owner, now):
        await context.links.async_send(owner.address, limit_message(reported, now))
