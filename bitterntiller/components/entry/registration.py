"""Register a request with the owner of its pool and wait for the decision."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.limit_reports import async_report_known_limits
from bitterntiller.components.entry.models import (
    ActiveRequest,
    GrantReceived,
    RefusalReceived,
    RunResumed,
)
from bitterntiller.components.entry.notice_reports import async_report_known_notices
from bitterntiller.components.entry.owner_messages import (
    register_message,
    running_item,
)
from bitterntiller.components.entry.registry import LeaseLost
from bitterntiller.core.outcomes import Ending, Outcome, Reason
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages

_STATUS_BY_REASON: dict[str, int] = {
    Reason.RATE_LIMIT: 429,
    Reason.CONCURRENCY_LIMIT: 429,
}
_REASONS = {reason.value: reason for reason in Reason}
UNAVAILABLE = 503


async def async_wait_for_grant(
    active: ActiveRequest, context: Context
) -> GrantReceived | Ending | RunResumed:
    """Return the owner's grant, or the ending if the request is refused or expires.

    Return RunResumed if the run on standby goes on meanwhile.
    """
    deadline = active.prepared.identified.deadline
    started_at = context.clock.now()
    while True:
        now = context.clock.now()
        if now >= deadline:
            await async_cancel_registration(active, context)
            return _refused_not_run(Reason.TOO_LATE, const.DEFAULT_RETRY_AFTER)
        if active.owner is None and now - started_at > const.OWNER_WAIT:
            return _refused_not_run(Reason.NO_OWNER, const.DEFAULT_RETRY_AFTER)
        if active.standby is not None and active.standby.resumed:
            return RunResumed(active.standby.grant.upstream)
        if not context.stop.passes_on(active):
            await async_cancel_registration(active, context)
            return _refused_not_run(Reason.DRAINING, const.DEFAULT_RETRY_AFTER)
        await _async_register(active, context, now)
        event = await _async_event(active, min(deadline - now, _event_timeout(active)))
        if isinstance(event, GrantReceived):
            return event
        if isinstance(event, RefusalReceived):
            return _refused(event)
        if isinstance(event, LeaseLost):
            await async_cancel_registration(active, context)
            return _refused_not_run(Reason.NO_LEASE, const.DEFAULT_RETRY_AFTER)


async def async_cancel_registration(active: ActiveRequest, context: Context) -> None:
    """Notify the owner that the request is no longer waiting."""
    if active.owner is None:
        return
    message = messages.Cancel(request_id=active.request_id, pool=active.pool)
    await context.links.async_send(active.owner.address, message)


async def async_report_resumed(active: ActiveRequest, context: Context) -> None:
    """Notify the owner that a waiting request runs on where it ran before."""
    await async_cancel_registration(active, context)
    owner = context.directory.owner(active.pool)
    if owner is None:
        return
    now = context.clock.now()
    message = messages.Started(
        request_id=active.request_id,
        pool=active.pool,
        upstream=active.upstream,
        running=running_item(active, context.host, now),
    )
    await context.links.async_send(owner.address, message)


def _event_timeout(active: ActiveRequest) -> float:
    if active.owner is None:
        return const.OWNER_POLL
    return const.REREGISTER_AFTER


async def _async_register(active: ActiveRequest, context: Context, now: float) -> None:
    """Register with the current owner, and again after REREGISTER_AFTER seconds.

    The registration or its grant is lost if a connection breaks or the owner dies.
    Without the repetition the request would wait until its deadline although upstreams
    are idle. Registering is idempotent, since owners identify requests by id.
    """
    owner = context.directory.owner(active.pool)
    recent = now - active.registered_at < const.REREGISTER_AFTER
    if owner is None or (owner == active.owner and recent):
        active.owner = owner
        return
    active.owner = owner
    active.registered_at = now
    await async_report_known_limits(context, active.pool, owner)
    await async_report_known_notices(context, active.pool, owner)
    message = register_message(active, context.host, now, context.versions)
    if not await context.links.async_send(owner.address, message):
        active.owner = None


async def _async_event(active: ActiveRequest, timeout: float) -> object | None:
    async with ignore_after(timeout):
        return await active.mailbox.get()
    return None


def _refused(event: RefusalReceived) -> Ending:
    reason = _REASONS.get(event.reason, Reason.SHED)
    return _refused_not_run(reason, event.retry_after)


def _refused_not_run(reason: Reason, retry_after: float) -> Ending:
    status = _STATUS_BY_REASON.get(reason, UNAVAILABLE)
    return Ending(Outcome.NOT_RUN, reason, status, retry_after=retry_after)
