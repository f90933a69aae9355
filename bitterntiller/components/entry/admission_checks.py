"""Checks before the body of a request is read and before the request is queued."""

import random

import curio
import xxhash

from bitterntiller.components.config.models import RouteKind
from bitterntiller.components.crashes.const import REPEAT_LIMIT
from bitterntiller.components.entry import const
from bitterntiller.components.entry.budget import BodyReservation, HostBudget
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import (
    ActiveRequest,
    BoundRequest,
    IdentifiedRequest,
)
from bitterntiller.components.entry.quota_client import QuotaRequest
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.interfaces import CrashView, UnknownOrigin
from bitterntiller.core.outcomes import Ending, Outcome, Reason


class AdmissionChecks:
    """Refuses requests that this host can't serve or that their workspace may not run.

    Checks the lease, the configuration, memory for the body, quarantine and quota.
    """

    def __init__(self, context: Context, limits: Limits, budget: HostBudget) -> None:
        self._context = context
        self._limits = limits
        self._budget = budget
        self._lease_seen_at = context.clock.now()

    def body_bytes(self) -> int:
        """Return the maximum size of a body in bytes."""
        limits = self._context.config.config.caller_limits
        if limits is None:
            return self._limits.body_bytes
        return min(limits.body_bytes, self._limits.body_bytes)

    async def async_wait_for_lease(self) -> None:
        """Wait until this host has a lease, as long as one is expected soon.

        After a power loss all callers retry at once, and hosts are up before control
        is. If they were refused immediately, their retry would miss the objective.
        """
        clock, lease = self._context.clock, self._context.lease
        now = clock.now()
        if lease.valid():
            self._lease_seen_at = now
            return
        due = now - self._lease_seen_at <= const.LEASE_WAIT_WINDOW
        until = now + const.LEASE_WAIT if due else now
        while clock.now() < until and not lease.valid():
            await curio.sleep(const.LEASE_POLL)

    def check_ready(self, draining: bool) -> Ending | None:
        """Return the refusal of a host that can't serve any request now, or None."""
        if draining:
            return retry_later(Reason.DRAINING)
        # Without a lease, a newer configuration may be in force on other hosts.
        if not self._context.lease.valid():
            spread = random.uniform(*const.NO_LEASE_JITTER)
            return retry_later(Reason.NO_LEASE, spread * const.NO_LEASE_RETRY_AFTER)
        # A new deployment has no workspaces yet. Callers would take a 401 for a wrong
        # token and not retry.
        if not self._context.config.version:
            return retry_later(Reason.NO_CONFIGURATION)
        return None

    def reserve_body(
        self, identified: IdentifiedRequest, exchange: Exchange
    ) -> BodyReservation | Ending:
        """Reserve memory for the length that a body states.

        Return a refusal if there is too little, or if the length is over the limit.
        """
        size = exchange.head.declared_bytes
        if size > self.body_bytes():
            detail = f"a body over {self.body_bytes()} bytes"
            return Ending(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, 413, detail=detail)
        tiers = self._context.config.config.tiers_by_name.values()
        ranks = sorted(tier.rank for tier in tiers)
        index = ranks.index(identified.tier.rank)
        return self._budget.reserve(identified, size, index, len(ranks))

    def check_quarantine(self, active: ActiveRequest) -> Ending | None:
        """Refuse a request that is quarantined, or a part of its prompt is."""
        crashes = self._context.crashes
        if crashes is None:
            return None
        identified = active.prepared.identified
        head = identified.received.head
        part_ids = active.prepared.estimate.part_ids
        active.fingerprint = crashes.fingerprint(
            identified.workspace.name,
            head.method,
            head.target,
            active.prepared.body,
            part_ids,
        )
        active.part_fingerprints = crashes.part_fingerprints(active.pool, part_ids)
        return quarantine_ending(crashes, active, self._context.clock.now())

    def crashed_again(self, active: ActiveRequest) -> bool:
        """Return whether several upstreams have crashed under a request or its parts.

        It isn't repeated by this host then: that could crash another one, and would
        take from the retry budget of other requests.
        """
        crashes = self._context.crashes
        if crashes is None or not crashes.any:
            return False
        now = self._context.clock.now()
        counts = (crashes.count(item, now) for item in active.fingerprints)
        return max(counts) >= REPEAT_LIMIT

    async def async_bind_stream(
        self, identified: IdentifiedRequest
    ) -> BoundRequest | Ending:
        """Bind a request that continues a stream to what began it.

        Return a refusal if no host can say what that was, or if its route no longer
        leads there.
        """
        streams = self._context.stream_versions
        route = identified.route
        continued = identified.received.continued
        if streams is None or continued is None:
            return BoundRequest(identified, None)
        if route is None or route.kind is not RouteKind.RESUMABLE:
            return BoundRequest(identified, None)
        found = await streams.async_find(route, continued.first_id)
        if isinstance(found, UnknownOrigin):
            retry_after = None if found.final else const.DEFAULT_RETRY_AFTER
            return _not_continued(Reason.UNKNOWN_ORIGIN, retry_after, found.detail)
        service = self._context.config.config.services_by_name.get(found.pool)
        if service is None or found.pool not in {s.service for s in route.shares}:
            detail = f"the route doesn't lead to {found.pool}, which began the stream"
            return _not_continued(Reason.SERVICE_CHANGED, None, detail)
        return BoundRequest(identified._replace(service=service), found)

    async def async_hold_quota(self, active: ActiveRequest) -> Ending | None:
        """Hold the quota that a request needs; return a refusal if it is too low."""
        quota = self._context.quota
        if quota is None:
            return None
        verdict = await quota.async_hold(quota_request(active))
        if verdict.wait is None:
            active.hold = verdict.hold
            return None
        if not verdict.counted:
            return retry_later(Reason.NO_OWNER, verdict.wait)
        usage = active.prepared.estimate.usage
        kept = "room is kept then" if verdict.retry_reserved else "no room is kept"
        detail = (
            f"{verdict.paced} may be used, {usage} asked for, {verdict.ahead} waits "
            f"before it; {kept}"
        )
        return Ending(
            Outcome.NOT_RUN, Reason.QUOTA, 429, retry_after=verdict.wait, detail=detail
        )

    def has_quota_for_repeat(self, active: ActiveRequest) -> bool:
        """Return whether the quota of the workspace allows another run of a request."""
        quota = self._context.quota
        workspace = active.prepared.identified.workspace
        usage = active.prepared.estimate.usage
        return quota is None or quota.has_room_for_repeat(workspace, usage)

    async def async_hold_repeat(self, active: ActiveRequest) -> bool:
        """Hold the quota for another attempt; return False if there is too little.

        After an attempt that did not run, the quota it used covers the next one.
        """
        quota = self._context.quota
        held = active.hold is not None
        if quota is None or held or active.runs < active.charged_runs:
            return True
        verdict = await quota.async_hold_repeat(quota_request(active))
        active.hold = verdict.hold
        return verdict.wait is None

    def release_quota(self, active: ActiveRequest) -> None:
        """Release the quota that a request still holds at its end."""
        if self._context.quota is not None and active.hold is not None:
            self._context.quota.release(active.hold)
            active.hold = None


def _not_continued(reason: Reason, retry_after: float | None, detail: str) -> Ending:
    return Ending(Outcome.NOT_RUN, reason, 503, retry_after, detail)


def quota_request(active: ActiveRequest) -> QuotaRequest:
    """Return the properties of a request that its quota depends on.

    A caller's retry has another id, so it is recognized by a hash of its content.
    """
    identified = active.prepared.identified
    head = identified.received.head
    asked = f"{identified.workspace.name}\0{head.method}\0{head.target}\0"
    digest = xxhash.xxh3_64(asked.encode("utf-8", "surrogatepass"))
    digest.update(active.prepared.body)
    estimate = active.prepared.estimate
    digest.update(repr((estimate.usage, estimate.prefix_hashes)).encode())
    return QuotaRequest(
        request_id=active.request_id,
        workspace=identified.workspace,
        amount=estimate.usage,
        retry_fingerprint=digest.intdigest() >> 1,
        kind=active.pool if active.route is None else active.route.name,
        first_by=identified.first_by,
        deadline=identified.deadline,
    )


def quarantine_ending(
    crashes: CrashView, active: ActiveRequest, now: float
) -> Ending | None:
    """Return the refusal of a quarantined request, None if it isn't quarantined."""
    conviction = crashes.conviction(active.fingerprints, now)
    if conviction is None:
        return None
    culprit = "it"
    if conviction.fingerprint in active.part_fingerprints:
        number = active.part_fingerprints.index(conviction.fingerprint) + 1
        culprit = f"requests with part {number} of its prompt"
    reason = f"{conviction.crashes} upstreams have ended while they ran {culprit}"
    if conviction.blocked:
        reason = f"an operator keeps {culprit} from upstreams"
    detail = (
        f"{reason} (fingerprint {conviction.fingerprint:016x}); "
        "it is not sent to another now"
    )
    return Ending(
        Outcome.NOT_RUN,
        Reason.CRASHES_UPSTREAMS,
        503,
        retry_after=conviction.seconds,
        detail=detail,
    )


def retry_later(reason: Reason, after: float = const.DEFAULT_RETRY_AFTER) -> Ending:
    """Return a not-run ending that asks the caller to retry after some seconds."""
    return Ending(Outcome.NOT_RUN, reason, 503, retry_after=after)
