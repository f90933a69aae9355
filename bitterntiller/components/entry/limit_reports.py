"""Report the rate limits in responses of upstreams to the owners of pools."""

import curio

from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import ActiveRequest, GrantReceived
from bitterntiller.components.entry.owner_messages import limit_message
from bitterntiller.components.entry.rate_limits import ReportedLimit
from bitterntiller.core.interfaces import Ownership


async def async_report_rate_limit(
    context: Context, active: ActiveRequest, grant: GrantReceived, now: float
) -> None:
    """Report the rate limit of a response that has just started to the owners.

    These are the owner that issued the grant and its successor, if there is one. The
    end of a limit is reported only if the grant states that the owner applies one.
    """
    limit = active.rate_limit
    if limit is None and not grant.rate_limited:
        return
    reported = ReportedLimit(grant.pool, grant.upstream, grant.incarnation, limit, now)
    context.rate_limits.store(reported)
    owner = context.directory.owner(grant.pool)
    addresses = {grant.sender, owner.address if owner is not None else ""}
    message = limit_message(reported, context.clock.now())
    # In the background: connecting to a dead owner must not delay the response.
    for address in addresses - {""}:
        await curio.spawn(context.links.async_send, address, message, daemon=True)


async def async_report_known_limits(
    context: Context, pool: str, owner: Ownership
) -> None:
    """Send an owner that is new to this host the known rate limits, before it grants.

    Otherwise the owner would use all slots of a limited upstream until a response
    states the limit again.
    """
    now = context.clock.now()
    for reported in context.rate_limits.for_new_owner(pool, owner, now):
        await context.links.async_send(owner.address, limit_message(reported, now))
