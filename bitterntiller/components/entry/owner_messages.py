"""Build the messages of the entry role to the owner of a pool."""

from bitterntiller.components.entry.models import ActiveRequest, GrantReceived
from bitterntiller.components.entry.notices import KeptNotice
from bitterntiller.components.entry.rate_limits import ReportedLimit
from bitterntiller.core.interfaces import VersionsView
from bitterntiller.core.outcomes import ResponseFault
from bitterntiller.protocol import messages

UNKNOWN_COUNT = -1
MAX_MILLISECONDS = 2**31 - 1


def milliseconds(seconds: float) -> int:
    """Return a duration in whole milliseconds, limited to 0 up to MAX_MILLISECONDS."""
    return max(0, min(int(seconds * 1000), MAX_MILLISECONDS))


def register_message(
    active: ActiveRequest,
    entry_host: str,
    now: float,
    versions: VersionsView | None = None,
) -> messages.Register:
    """Return the registration of a request, with its times relative to now.

    Its route is included while a rollout of its service is being evaluated. A stream
    that has begun has no limits for its first output any more. One that a caller takes
    up has had its first output, but the caller leaves if the next one doesn't come.
    """
    identified = active.prepared.identified
    had_output = active.begun or active.output_before > 0
    first_by = None if had_output else identified.first_by
    start_by = None if active.begun else identified.start_by
    estimate = active.prepared.estimate
    return messages.Register(
        request_id=active.request_id,
        pool=active.pool,
        workspace=identified.workspace.name,
        tier=identified.tier.name,
        prompt_tokens=estimate.prompt_tokens,
        output_tokens=estimate.output_tokens,
        deadline_in_ms=milliseconds(identified.deadline - now),
        prefix_hashes=list(estimate.prefix_hashes),
        entry_host=entry_host,
        waited_ms=milliseconds(now - identified.received.arrived),
        tried=list(active.tried),
        prefix_tokens=list(estimate.prefix_tokens) or None,
        first_by_ms=_left_ms(first_by, now),
        start_by_ms=_left_ms(start_by, now),
        fingerprint=active.fingerprint or None,
        route=_judged_route(active, versions),
        version=active.required_version,
        parts=list(active.part_fingerprints) or None,
        interval_ms=_target_interval_ms(active),
        output_before=active.output_before or None,
    )


def _target_interval_ms(active: ActiveRequest) -> int | None:
    route = active.route
    if route is None or not route.streams or not route.target_output_interval:
        return None
    return milliseconds(route.target_output_interval)


def _judged_route(active: ActiveRequest, versions: VersionsView | None) -> str | None:
    if versions is None or active.route is None:
        return None
    return active.route.name if versions.rules(active.pool).candidate else None


def _left_ms(when: float | None, now: float) -> int | None:
    return None if when is None else int((when - now) * 1000)


def running_item(
    active: ActiveRequest, entry_host: str, now: float
) -> messages.RunningItem:
    """Return the item for a running request in the message to a new owner."""
    return messages.RunningItem(
        request=register_message(active, entry_host, now),
        upstream=active.upstream,
        output_tokens=active.output_tokens,
    )


def limit_message(reported: ReportedLimit, now: float) -> messages.UpstreamLimit:
    """Return the message for a reported rate limit, with its age."""
    return messages.UpstreamLimit(
        pool=reported.pool,
        upstream=reported.upstream,
        incarnation=reported.incarnation,
        limit=reported.limit,
        age_ms=milliseconds(now - reported.at),
    )


def notice_message(
    kept: KeptNotice, entry_host: str, now: float
) -> messages.UpstreamNotice:
    """Return the message for the notices of an upstream to this host."""
    return messages.UpstreamNotice(
        pool=kept.pool,
        upstream=kept.upstream,
        incarnation=kept.incarnation,
        entry_host=entry_host,
        leaving=kept.leaving,
        pause_ms=milliseconds(kept.paused_until - now),
    )


def returned_message(
    request_id: str,
    grant: GrantReceived,
    reason: str,
    waiting: bool,
    version: str | None = None,
    fault: ResponseFault | None = None,
) -> messages.Returned:
    """Return the message that returns a grant.

    With the reasons failed and lost-answer, the request may have run under it. version
    is set if the request has a stream that only upstreams of that version go on with,
    fault if the bytes of the response are why it was lost.
    """
    return messages.Returned(
        request_id=request_id,
        pool=grant.pool,
        upstream=grant.upstream,
        reason=reason,
        still_waiting=waiting,
        version=version,
        fault=fault,
    )


def progress_item(active: ActiveRequest) -> messages.ProgressItem:
    """Return the output of a request so far.

    The first report also has the time to the first output, and how long work takes as
    the response states it.
    """
    first_ms = _first_ms(active)
    load = None if first_ms is None else active.load
    return messages.ProgressItem(
        request_id=active.request_id,
        output_tokens=active.output_tokens,
        first_ms=first_ms,
        work_percent=None if load is None else load.work_percent,
    )


def _first_ms(active: ActiveRequest) -> int | None:
    """Return the time to first output in milliseconds, for the first report only.

    None also for a request that was resumed at another upstream, since its first output
    came from the previous one.
    """
    first = active.first_byte_at
    if active.reported_tokens or first is None or first < active.sent_at:
        return None
    return milliseconds(first - active.sent_at)


def finished_message(
    active: ActiveRequest, outcome: str, now: float
) -> messages.Finished:
    """Return the message for the end of a sent request."""
    first = UNKNOWN_COUNT
    if active.first_byte_at is not None:
        first = milliseconds(active.first_byte_at - active.sent_at)
    cached = active.cached_tokens
    return messages.Finished(
        request_id=active.request_id,
        pool=active.pool,
        upstream=active.upstream,
        outcome=outcome,
        output_tokens=active.output_tokens,
        cached_tokens=UNKNOWN_COUNT if cached is None else cached,
        first_token_ms=first,
        total_ms=milliseconds(now - active.sent_at),
        in_time=now <= active.prepared.identified.deadline,
        load=_load(active),
        relay=active.relay or None,
        fault=active.faults_by_upstream.get(active.upstream),
    )


def _load(active: ActiveRequest) -> messages.Load | None:
    load = active.load
    if load is None:
        return None
    return messages.Load(
        running=load.running,
        waiting=load.waiting,
        kv_tokens=0,
        age_ms=0,
        work_percent=load.work_percent,
    )
