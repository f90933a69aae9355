"""Conversion between messages of entry hosts and the scheduler's models."""

from bitterntiller.components.dispatch.models import (
    CacheChange,
    Completion,
    Granted,
    NoticeUpdate,
    RateLimitUpdate,
    Refused,
    UpstreamLoad,
    UpstreamState,
    WaitingRequest,
)
from bitterntiller.protocol import messages

STATE_LEAVING = "leaving"
STATE_SILENT = "silent"


def waiting_request(
    message: messages.Register,
    tier_rank: int,
    upstream_names: frozenset[str] | None,
    now: float,
) -> WaitingRequest:
    """Convert a registration to the owner's clock."""
    return WaitingRequest(
        request_id=message.request_id,
        workspace=message.workspace,
        tier=message.tier,
        tier_rank=tier_rank,
        prompt_tokens=message.prompt_tokens,
        output_tokens=message.output_tokens,
        arrived=now - message.waited_ms / 1000,
        deadline=now + message.deadline_in_ms / 1000,
        entry_host=message.entry_host,
        prefix_hashes=tuple(message.prefix_hashes),
        tried=tuple(message.tried),
        upstream_names=upstream_names,
        prefix_tokens=tuple(message.prefix_tokens or ()),
        first_by=_deadline(message.first_by_ms, now),
        start_by=_deadline(message.start_by_ms, now),
        fingerprint=message.fingerprint or 0,
        route=message.route or "",
        version=message.version,
        parts=tuple(message.parts or ()),
        target_interval=(message.interval_ms or 0) / 1000,
        output_before=max(0, message.output_before or 0),
    )


def placement_request(
    message: messages.QueryPlacement,
    tier_rank: int,
    upstream_names: frozenset[str] | None,
    now: float,
) -> WaitingRequest:
    """Convert the request that an operator asks about; it has just arrived."""
    return WaitingRequest(
        request_id="",
        workspace=message.workspace,
        tier=message.tier,
        tier_rank=tier_rank,
        prompt_tokens=message.prompt_tokens or 0,
        output_tokens=message.output_tokens or 0,
        arrived=now,
        deadline=now + (message.deadline_in_ms or 0) / 1000,
        entry_host=message.entry_host or "",
        upstream_names=upstream_names,
        first_by=_deadline(message.first_by_ms, now),
        start_by=_deadline(message.start_by_ms, now),
        target_interval=(message.interval_ms or 0) / 1000,
    )


def _deadline(left_ms: int | None, now: float) -> float | None:
    return None if left_ms is None else now + left_ms / 1000


def upstream_state(message: messages.Announce, now: float) -> UpstreamState:
    """Convert an announcement to the owner's clock."""
    return UpstreamState(
        name=message.name,
        address=message.address,
        incarnation=message.incarnation,
        sequence=message.sequence,
        leaving=message.state == STATE_LEAVING,
        labels=message.labels,
        slots=message.slots,
        kv_tokens=message.kv_tokens,
        silent=message.state == STATE_SILENT,
        load=_load(message.load, now),
        cache_changes=tuple(
            CacheChange(event.sequence, event.stored, event.prefix_hash)
            for event in message.cache_events
        ),
    )


def _load(message: messages.Load | None, now: float) -> UpstreamLoad | None:
    if message is None:
        return None
    return UpstreamLoad(
        running=message.running,
        waiting=message.waiting,
        kv_tokens=message.kv_tokens,
        measured_at=now - message.age_ms / 1000,
        work_percent=message.work_percent,
    )


def rate_limit_update(message: messages.UpstreamLimit, now: float) -> RateLimitUpdate:
    """Convert a reported rate limit to the owner's clock."""
    return RateLimitUpdate(
        upstream=message.upstream,
        incarnation=message.incarnation,
        limit=message.limit,
        at=now - message.age_ms / 1000,
    )


def notice_update(message: messages.UpstreamNotice, now: float) -> NoticeUpdate:
    """Convert the notices of an upstream to the owner's clock."""
    return NoticeUpdate(
        upstream=message.upstream,
        incarnation=message.incarnation,
        entry_host=message.entry_host,
        leaving=message.leaving,
        paused_until=now + message.pause_ms / 1000,
    )


def completion(message: messages.Finished, now: float) -> Completion:
    """Convert the end of a request; -1 in the message means unknown."""
    first = message.first_token_ms
    cached = message.cached_tokens
    return Completion(
        request_id=message.request_id,
        upstream=message.upstream,
        outcome=message.outcome,
        output_tokens=message.output_tokens,
        cached_tokens=None if cached < 0 else cached,
        first_token=None if first < 0 else first / 1000,
        total=message.total_ms / 1000,
        in_time=message.in_time,
        load=_load(message.load, now),
        relay=message.relay or "",
        fault=message.fault or "",
    )


def grant_message(
    decision: Granted, pool: str, epoch: int, valid: float, version: str
) -> messages.Grant:
    """Return the message of a grant that is valid for some seconds.

    version is the software version of the upstream.
    """
    return messages.Grant(
        request_id=decision.request_id,
        pool=pool,
        epoch=epoch,
        upstream=decision.upstream,
        address=decision.address,
        upstream_incarnation=str(decision.incarnation),
        valid_ms=int(valid * 1000),
        rate_limited=_is_limited(decision) or None,
        relays=list(decision.relays) or None,
        version=version,
    )


def _is_limited(decision: Granted) -> bool:
    return decision.basis is not None and decision.basis.rate_limit is not None


def refusal_message(decision: Refused, pool: str) -> messages.Refusal:
    """Return the message of a refusal."""
    return messages.Refusal(
        request_id=decision.request_id,
        pool=pool,
        reason=decision.reason,
        retry_after_ms=int(decision.retry_after * 1000),
    )
