"""Idempotency keys: a claim is committed before a request with a key is sent.

The claim of a request with an Idempotency-Key is committed to the control log before
its first byte is sent. A further request with the key, at any host, finds the claim. It
follows the running request or returns its known outcome, and never runs itself.
"""

import hashlib

import curio

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import (
    ActiveRequest,
    ClaimFound,
    GrantReceived,
)
from bitterntiller.core.outcomes import Ending, Outcome, Reason
from bitterntiller.protocol import messages

ACTION_FIND = "find"
ACTION_TAKE = "take"
ACTION_FINISH = "finish"
ACTION_VOID = "void"

STATUS_ABSENT = "absent"
STATUS_FULL = "full"
STATUS_FINISHED = "finished"
STATUS_MISMATCH = "mismatch"
STATUS_ORPHANED = "orphaned"
STATUS_RUNNING = "running"
STATUS_TAKEN = "taken"
STATUS_UNKNOWN = "unknown"
STATUS_VOIDED = "voided"

CLAIM_TIMEOUT = 1.0
SETTLE_TIMEOUT = 5.0
SETTLE_ATTEMPTS = 200
FREE_STATUSES = frozenset({STATUS_ABSENT, STATUS_VOIDED})
FOUND_STATUSES = frozenset({STATUS_RUNNING, STATUS_FINISHED, STATUS_ORPHANED})


def body_digest(active: ActiveRequest) -> str:
    """Return the SHA-256 of method, target and body, which a key is bound to."""
    head = active.prepared.identified.received.head
    digest = hashlib.sha256(f"{head.method} {head.target}\n".encode())
    digest.update(active.prepared.body)
    return digest.hexdigest()


class ClaimClient:
    """Finds, takes and settles claims for the requests of this host."""

    def __init__(self, context: Context, incarnation: str) -> None:
        self._context = context
        self._incarnation = incarnation
        self.settling = 0

    async def async_find(self, active: ActiveRequest) -> ClaimFound | Ending | None:
        """Return the claim of an earlier request with the key, None if it is free."""
        if not active.key:
            return None
        reply = await self._async_call(ACTION_FIND, active, CLAIM_TIMEOUT)
        if reply is None or reply.status == STATUS_UNKNOWN:
            return _unavailable()
        return _existing_claim(reply)

    async def async_take(
        self, active: ActiveRequest, grant: GrantReceived
    ) -> ClaimFound | Ending | None:
        """Commit the claim of a granted request; return None if it may be sent.

        A claim may be committed although its reply was lost. Nothing was sent under it,
        so the outcome is not-run. It is voided once control replies, or other requests
        with the key would wait for one that never started.
        """
        if not active.key:
            return None
        active.claim_upstream = grant.upstream
        active.claim_address = grant.address
        try:
            reply = await self._async_call(ACTION_TAKE, active, CLAIM_TIMEOUT)
        except curio.CancelledError:
            # The caller disconnected during the commit. If the claim took effect, other
            # requests with the key would wait for one that never starts.
            await self.async_settle(active, ACTION_VOID, "", 0)
            raise
        if reply is None or reply.status == STATUS_UNKNOWN:
            await self.async_settle(active, ACTION_VOID, "", 0)
            return _unavailable()
        if reply.status == STATUS_TAKEN:
            active.claimed = True
            return None
        return _existing_claim(reply) or _unavailable()

    async def async_settle(
        self, active: ActiveRequest, action: str, outcome: str, status: int
    ) -> None:
        """Finish or void a claim in the background, until control acknowledges it."""
        await curio.spawn(
            self._async_settle, active, action, outcome, status, daemon=True
        )

    async def _async_settle(
        self, active: ActiveRequest, action: str, outcome: str, status: int
    ) -> None:
        self.settling += 1
        try:
            await self._async_settle_until_acknowledged(active, action, outcome, status)
        finally:
            self.settling -= 1

    async def _async_settle_until_acknowledged(
        self, active: ActiveRequest, action: str, outcome: str, status: int
    ) -> None:
        for _ in range(SETTLE_ATTEMPTS):
            reply = await self._async_call(
                action, active, SETTLE_TIMEOUT, outcome, status
            )
            if reply is not None and reply.status != STATUS_UNKNOWN:
                return
            await curio.sleep(SETTLE_TIMEOUT)
        self._context.metrics.count(const.METRIC_CLAIMS_UNSETTLED)

    async def _async_call(
        self,
        action: str,
        active: ActiveRequest,
        timeout: float,
        outcome: str = "",
        status: int = 0,
    ) -> messages.ClaimReply | None:
        message = messages.Claim(
            action=action,
            workspace=active.prepared.identified.workspace.name,
            key=active.key,
            digest=body_digest(active),
            host=self._context.host,
            incarnation=self._incarnation,
            upstream=active.claim_upstream,
            request_id=active.request_id,
            outcome=outcome,
            http_status=status,
            address=active.claim_address,
        )
        return await self._context.control.async_call_leader(message, timeout)


def _existing_claim(reply: messages.ClaimReply) -> ClaimFound | Ending | None:
    """Convert the reply on a claim; return None if the key is free."""
    if reply.status in FREE_STATUSES:
        return None
    if reply.status == STATUS_MISMATCH:
        detail = "the Idempotency-Key was used for another request"
        return Ending(Outcome.NOT_RUN, Reason.CLAIM_MISMATCH, 422, detail=detail)
    if reply.status == STATUS_FULL:
        return _unavailable()
    if reply.status not in FOUND_STATUSES:
        return _unavailable()
    return ClaimFound(
        status=reply.status,
        request_id=reply.request_id,
        upstream=reply.upstream,
        address=reply.address,
        outcome=reply.outcome,
        http_status=reply.http_status,
    )


def _unavailable() -> Ending:
    return Ending(
        Outcome.NOT_RUN,
        Reason.CLAIM_UNAVAILABLE,
        503,
        retry_after=const.DEFAULT_RETRY_AFTER,
    )


def claim_ending(found: ClaimFound) -> Ending:
    """Return the ending of a request whose earlier copy can't be followed.

    The outcome is never not-run: the earlier request is running or may have run.
    """
    if found.status == STATUS_FINISHED:
        detail = f"request {found.request_id} ended with status {found.http_status}"
        outcome = Outcome(found.outcome or Outcome.UNKNOWN)
        return Ending(outcome, Reason.CLAIM_FINISHED, 409, detail=detail)
    if found.status == STATUS_ORPHANED:
        detail = f"request {found.request_id} lost its host"
        return Ending(Outcome.UNKNOWN, Reason.CLAIM_ORPHANED, 409, detail=detail)
    detail = f"request {found.request_id} with this key is running"
    return Ending(
        Outcome.UNKNOWN,
        Reason.CLAIM_RUNNING,
        409,
        retry_after=const.DEFAULT_RETRY_AFTER,
        detail=detail,
    )
