"""Report the notices of upstreams to the owners of pools."""

import curio

from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import GrantReceived
from bitterntiller.components.entry.notices import Notice
from bitterntiller.components.entry.owner_messages import notice_message
from bitterntiller.core.interfaces import Ownership


async def async_record_notice(
    context: Context, grant: GrantReceived, notice: Notice, now: float
) -> None:
    """Keep the notice of a response that has just started, and report it.

    The owner that issued the grant and its successor, if there is one, send requests
    of this host elsewhere from then on.
    """
    if not notice.leaving and not notice.pause:
        return
    kept = context.notices.record(
        grant.pool, grant.upstream, grant.incarnation, notice, now
    )
    owner = context.directory.owner(grant.pool)
    addresses = {grant.sender, owner.address if owner is not None else ""}
    message = notice_message(kept, context.host, now)
    # In the background: connecting to a dead owner must not delay the response.
    for address in addresses - {""}:
        await curio.spawn(context.links.async_send, address, message, daemon=True)


async def async_report_known_notices(
    context: Context, pool: str, owner: Ownership
) -> None:
    """Send an owner that is new to this host the notices in force, before it grants."""
    now = context.clock.now()
    for kept in context.notices.for_new_owner(pool, owner, now):
        message = notice_message(kept, context.host, now)
        await context.links.async_send(owner.address, message)
