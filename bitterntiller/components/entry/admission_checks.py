"""What a request must pass before its body is read, and before it waits."""

import random

import curio
import xxhash

from bitterntiller.components.entry import const
from bitterntiller.components.entry.budget import HostBudget
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import ActiveRequest, IdentifiedRequest
from bitterntiller.components.entry.quota_client import QuotaRequest
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import header
from bitterntiller.components.settings.models import Limits
from bitterntiller.core.interfaces import CrashView
from bitterntiller.core.outcomes import Ending, Outcome, Reason


class AdmissionChecks:
    """Refuses what this host has no room, no right or no configuration for."""

    def __init__(self, context: Context, limits: Limits, budget: HostBudget) -> None:
        self._context = context
        self._limits = limits
        self._budget = budget
        self._lease_seen_at = context.clock.now()

    def body_bytes(self) -> int:
        """Return the bytes that a body may have at most."""
        limits = self._context.config.config.caller_limits
        if limits is None:
            return self._limits.body_bytes
        return min(limits.body_bytes, self._limits.body_bytes)

    async def async_wait_for_lease(self) -> None:
        """Return once there is a lease, or none is to be expected soon.

        After a loss of power all callers come back at once, and hosts are up before
        control is. Refused at once, they come back too late for their objective.
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
        """Refuse all requests of a host that can't serve any now."""
        if draining:
            return retry_later(Reason.DRAINING)
        # Without a lease a newer configuration may be in force elsewhere.
        if not self._context.lease.valid():
            spread = random.uniform(*const.NO_LEASE_JITTER)
            return retry_later(Reason.NO_LEASE, spread * const.NO_LEASE_RETRY_AFTER)
        # A new deployment knows no workspace yet; 401 would tell callers that
        # their tokens are wrong, and they would not come back.
        if not self._context.config.version:
            return retry_later(Reason.NO_CONFIGURATION)
        return None

    def expected_body_bytes(self, exchange: Exchange) -> int:
        """Return the bytes to set aside for a body that has not come yet."""
        text = header(exchange.head.headers, b"content-length")
        if text is not None and text.isdigit():
            return int(text)
        if header(exchange.head.headers, b"transfer-encoding") is not None:
            return self._limits.body_bytes
        return 0

    def reserve_body(self, identified: IdentifiedRequest, size: int) -> Ending | None:
        """Set bytes of the host aside for a body, or refuse it."""
        if size > self.body_bytes():
            detail = f"a body over {self.body_bytes()} bytes"
            return Ending(Outcome.NOT_RUN, Reason.BODY_TOO_LARGE, 413, detail=detail)
        tiers = self._context.config.config.tiers_by_name.values()
        ranks = sorted(tier.rank for tier in tiers)
        index = ranks.index(identified.tier.rank)
        return self._budget.reserve(identified, size, index, len(ranks))

    def check_quarantine(self, active: ActiveRequest) -> Ending | None:
        """Refuse a copy of a request that has crashed too many upstreams."""
        crashes = self._context.crashes
        if crashes is None:
            return None
        identified = active.prepared.identified
        head = identified.received.head
        active.fingerprint = crashes.fingerprint(
            identified.workspace.name, head.method, head.target, active.prepared.body
        )
        return quarantine_ending(crashes, active.fingerprint, self._context.clock.now())

    async def async_hold_quota(self, active: ActiveRequest) -> Ending | None:
        """Hold a request against its workspace's quota, or refuse it."""
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
        """Tell whether a workspace's quota has room for another run of a request."""
        quota = self._context.quota
        workspace = active.prepared.identified.workspace
        usage = active.prepared.estimate.usage
        return quota is None or quota.has_room_for_repeat(workspace, usage)

    async def async_hold_repeat(self, active: ActiveRequest) -> bool:
        """Hold a request that is to run once more against its workspace's quota.

        One that proved not to have run has what it took the first time.
        """
        quota = self._context.quota
        held = active.hold is not None
        if quota is None or held or active.runs < active.charged_runs:
            return True
        verdict = await quota.async_hold_repeat(quota_request(active))
        active.hold = verdict.hold
        return verdict.wait is None

    def release_quota(self, active: ActiveRequest) -> None:
        """Give back what is still held for a request that has ended."""
        if self._context.quota is not None and active.hold is not None:
            self._context.quota.release(active.hold)
            active.hold = None


def quota_request(active: ActiveRequest) -> QuotaRequest:
    """Return a request as its workspace's quota sees it.

    A copy that its caller sends later has another id; what it asks for is the same.
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
    crashes: CrashView, fingerprint: int, now: float
) -> Ending | None:
    """Return the ending of a request that is held for its crashes, None if it isn't."""
    quarantined_for = crashes.quarantined_for(fingerprint, now)
    if not quarantined_for:
        return None
    count = crashes.count(fingerprint, now)
    detail = (
        f"{count} upstreams have ended while they ran this request "
        f"(fingerprint {fingerprint:016x}); it is not sent to another one now"
    )
    return Ending(
        Outcome.NOT_RUN,
        Reason.CRASHES_UPSTREAMS,
        503,
        retry_after=quarantined_for,
        detail=detail,
    )


def retry_later(reason: Reason, after: float = const.DEFAULT_RETRY_AFTER) -> Ending:
    """Return the ending of a request that may be sent again after some seconds."""
    return Ending(Outcome.NOT_RUN, reason, 503, retry_after=after)
