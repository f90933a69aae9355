"""A client of the counting host, which admits requests under workspace quotas."""

from typing import NamedTuple, Protocol

import curio

from bitterntiller.components.config.models import Workspace
from bitterntiller.components.entry import const
from bitterntiller.components.entry.quota import QuotaAccount, QuotaHold
from bitterntiller.components.links.errors import LinkError
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import Links, Ownership
from bitterntiller.protocol import messages
from bitterntiller.protocol.statuses import QUOTA_REFUSED, QUOTA_RESERVED

QUOTA_POOL = "quotas of workspaces"
"""Name of the pool whose owner is the counting host; no service has this name."""

MAX_QUEUE_SECONDS = 0.2
"""The longest time that a request waits for its workspace's quota. A longer wait would
only delay the requests behind it: a workspace over its quota always has more queued."""

QUEUE_FRACTION = 0.5
"""Fraction of the time until a request's objective that it may wait in the quota queue;
the rest is for the upstream."""

LATEST_RETRY_FRACTION = 1 / 3
"""Fraction of the time until its deadline for which a caller waits before it retries;
it gives up if Retry-After is later."""

REPLY_TIMEOUT = 0.3
"""Seconds to wait for a reply, beyond the wait in the queue, until the counting host is
called again: the same as until an owner counts as lost."""

FAILOVER_SECONDS = 1.0
FAILOVER_POLL = 0.05
"""How long to wait for the next counting host after the loss of one, and the poll
interval. The loss is detected within 0.5 s."""


class QuotaVerdict(NamedTuple):
    """The decision on a request and the values that it is based on.

    wait is the time in seconds after which to retry; it is None for an admitted
    request, which has a hold. counted is False if no counting host replied. left, paced
    and ahead (the amount queued before the request) are in the quota's unit.
    retry_reserved states whether quota is reserved for the retry.
    """

    wait: float | None
    hold: QuotaHold | None = None
    counted: bool = True
    left: int = 0
    paced: int = 0
    ahead: int = 0
    retry_reserved: bool = False


ADMITTED = QuotaVerdict(None)
"""The verdict for a request of a workspace without a quota."""


class QuotaRequest(NamedTuple):
    """The properties of a request that its workspace's quota depends on.

    first_by is the time of the objective, and deadline that at which the caller gives
    up; both are on this host's clock. retry_fingerprint is the same for a retry by the
    caller. A quota is shared between the kinds of requests.
    """

    request_id: str
    workspace: Workspace
    amount: int
    retry_fingerprint: int
    kind: str
    first_by: float | None
    deadline: float


class CountingHostView(Protocol):
    """A view of which host is the counting host."""

    def owner(self, pool: str) -> Ownership | None:
        """Return the owner of a pool, None if it has no owner."""
        ...

    def incarnation(self, host: str) -> str:
        """Return the incarnation of a host's last reply, empty if it never replied."""
        ...


class QuotaClient:
    """A QuotaGate that uses lent quota first and then calls the counting host."""

    def __init__(
        self,
        account: QuotaAccount,
        links: Links,
        counting_hosts: CountingHostView,
        clock: Clock,
        host: str,
    ) -> None:
        self._account = account
        self._links = links
        self._counting_hosts = counting_hosts
        self._clock = clock
        self._host = host
        self.pending_calls = 0

    async def async_hold(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold the amount of a request, or return when to retry."""
        if request.workspace.quota is None:
            return ADMITTED
        hold = self._account.hold_lent(request.workspace, request.amount)
        if hold is not None:
            return ADMITTED._replace(hold=hold)
        return await self._async_hold_at_counting_host(request, repeat=False)

    async def async_hold_repeat(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold the amount of a further run of a request, if the quota allows it."""
        if request.workspace.quota is None:
            return ADMITTED
        return await self._async_hold_at_counting_host(request, repeat=True)

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Return whether async_hold_repeat would probably succeed now."""
        return self._account.has_room_for_repeat(workspace, amount)

    def release(self, hold: QuotaHold) -> None:
        """Release the hold of a request that ends without having been sent."""
        self._account.release(hold)

    def spend(self, workspace: Workspace, amount: int, hold: QuotaHold | None) -> None:
        """Record the usage of a run and release its hold, if it has one."""
        self._account.spend(workspace, amount, hold)

    async def _async_hold_at_counting_host(
        self, request: QuotaRequest, repeat: bool
    ) -> QuotaVerdict:
        """Call the counting host until one has decided.

        Give up after FAILOVER_SECONDS or at the deadline, when the last call has ended.
        No request is admitted without a counting host: each entry host would admit as
        much as is left to all of them together.
        """
        until = min(self._clock.now() + FAILOVER_SECONDS, request.deadline)
        self.pending_calls += 1
        try:
            while True:
                verdict = await self._async_call_counting_host(request, repeat)
                if verdict is not None:
                    return verdict
                if self._clock.now() >= until:
                    return QuotaVerdict(const.DEFAULT_RETRY_AFTER, counted=False)
                await curio.sleep(FAILOVER_POLL)
        finally:
            self.pending_calls -= 1

    async def _async_call_counting_host(
        self, request: QuotaRequest, repeat: bool
    ) -> QuotaVerdict | None:
        """Return the counting host's verdict, None if it gave none."""
        counting_host = self._counting_hosts.owner(QUOTA_POOL)
        if counting_host is None:
            return None
        number = self._account.number()
        max_wait = 0.0 if repeat else self._max_queue_wait(request)
        message = self._message(request, number, max_wait, repeat)
        try:
            reply = await self._links.async_call(
                counting_host.address, message, max_wait + REPLY_TIMEOUT
            )
        except LinkError:
            known = self._counting_hosts.incarnation(counting_host.host)
            self._account.abandon_reservation(f"{counting_host.host}/{known}", number)
            return None
        except BaseException:
            # The caller has disconnected; the reservation, if made, won't be used.
            known = self._counting_hosts.incarnation(counting_host.host)
            self._account.abandon_reservation(f"{counting_host.host}/{known}", number)
            raise
        ledger = f"{counting_host.host}/{reply.incarnation}"
        return self._verdict(request, reply, ledger, number)

    def _verdict(
        self,
        request: QuotaRequest,
        reply: messages.QuotaAnswer,
        ledger: str,
        number: int,
    ) -> QuotaVerdict | None:
        if reply.status not in (QUOTA_RESERVED, QUOTA_REFUSED):
            return None
        workspace = request.workspace
        self._account.update_level(workspace.name, reply.left, reply.paced)
        verdict = QuotaVerdict(
            None,
            None,
            True,
            reply.left,
            reply.paced,
            reply.ahead,
            reply.retry_reserved,
        )
        if reply.status == QUOTA_REFUSED:
            return verdict._replace(wait=reply.retry_after_ms / 1000)
        hold = self._account.hold_reserved(workspace, request.amount, ledger, number)
        return verdict._replace(hold=hold)

    def _max_queue_wait(self, request: QuotaRequest) -> float:
        if request.first_by is None:
            return MAX_QUEUE_SECONDS
        left = QUEUE_FRACTION * (request.first_by - self._clock.now())
        return min(MAX_QUEUE_SECONDS, max(0.0, left))

    def _message(
        self, request: QuotaRequest, number: int, max_wait: float, repeat: bool
    ) -> messages.QuotaAsk:
        left = max(0.0, request.deadline - self._clock.now())
        return messages.QuotaAsk(
            request_id=request.request_id,
            workspace=request.workspace.name,
            amount=request.amount,
            entry_host=self._host,
            patience_ms=int(max_wait * 1000),
            latest_retry_ms=int(LATEST_RETRY_FRACTION * left * 1000),
            retry_fingerprint=request.retry_fingerprint,
            repeat=repeat,
            reservation=number,
            kind=request.kind,
        )
