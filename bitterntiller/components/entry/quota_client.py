"""Asks the host that counts quotas to let requests through."""

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
"""The name under which the host is chosen that counts quotas; not one of a service."""

MAX_QUEUE_SECONDS = 0.2
"""The longest that a request waits for its workspace's quota. What waits longer only
makes all behind it late: a workspace over its quota always has more in the line."""

QUEUE_FRACTION = 0.5
"""Part of what is left of a request's objective that it may spend in the line; the rest
is for the upstream."""

LATEST_RETRY_FRACTION = 1 / 3
"""Part of the time that a caller has left for which it waits before it returns; told of
a later time it gives up."""

REPLY_TIMEOUT = 0.3
"""Seconds without an answer, beyond the wait in the line, after which the counting host
is asked again: as long as an owner is waited for before it counts as lost."""

FAILOVER_SECONDS = 1.0
FAILOVER_POLL = 0.05
"""How long another counting host is waited for when one is lost, and how often it is
looked for. The loss shows within half a second."""


class QuotaVerdict(NamedTuple):
    """Whether a request is let through, and what that rests on.

    wait is the time to come back in seconds, None for one that is let through; hold is
    what is held for it then. counted is False when no host answered. left, paced and
    ahead are in the quota's unit.
    """

    wait: float | None
    hold: QuotaHold | None = None
    counted: bool = True
    left: int = 0
    paced: int = 0
    ahead: int = 0
    retry_reserved: bool = False


ADMITTED = QuotaVerdict(None)
"""The verdict on a request whose workspace has no quota."""


class QuotaRequest(NamedTuple):
    """A request as its workspace's quota sees it.

    first_by is the time of its objective and deadline the one at which its caller
    leaves, both on this host's clock; retry_fingerprint is equal for later copies of
    it. A quota is shared between the kinds of requests.
    """

    request_id: str
    workspace: Workspace
    amount: int
    retry_fingerprint: int
    kind: str
    first_by: float | None
    deadline: float


class CountingHostView(Protocol):
    """Tells who counts quotas now."""

    def owner(self, pool: str) -> Ownership | None:
        """Return the host that has a pool, None when nobody has it."""
        ...

    def incarnation(self, host: str) -> str:
        """Return the incarnation in which a host has answered last, or nothing."""
        ...


class QuotaClient:
    """A QuotaGate that has the counting host decide on what it was not lent."""

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
        """Hold what a request would use, or tell when to come back."""
        if request.workspace.quota is None:
            return ADMITTED
        hold = self._account.hold_lent(request.workspace, request.amount)
        if hold is not None:
            return ADMITTED._replace(hold=hold)
        return await self._async_hold_at_counting_host(request, repeat=False)

    async def async_hold_repeat(self, request: QuotaRequest) -> QuotaVerdict:
        """Hold an amount for a request that has run already, if there is room."""
        if request.workspace.quota is None:
            return ADMITTED
        return await self._async_hold_at_counting_host(request, repeat=True)

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Tell whether async_hold_repeat would probably hold an amount now."""
        return self._account.has_room_for_repeat(workspace, amount)

    def release(self, hold: QuotaHold) -> None:
        """Give back what was held for a request that ends without a sending."""
        self._account.release(hold)

    def spend(self, workspace: Workspace, amount: int, hold: QuotaHold | None) -> None:
        """Count a sending, for which its amount or nothing was held."""
        self._account.spend(workspace, amount, hold)

    async def _async_hold_at_counting_host(
        self, request: QuotaRequest, repeat: bool
    ) -> QuotaVerdict:
        """Ask until a host that counts has decided, for a bounded time.

        Nothing is let through uncounted while the counting host is lost: every host
        would let through for itself what is left to all of them.
        """
        until = min(self._clock.now() + FAILOVER_SECONDS, request.deadline)
        self.pending_calls += 1
        try:
            while True:
                verdict = await self._async_ask(request, repeat)
                if verdict is not None:
                    return verdict
                if self._clock.now() >= until:
                    return QuotaVerdict(const.DEFAULT_RETRY_AFTER, counted=False)
                await curio.sleep(FAILOVER_POLL)
        finally:
            self.pending_calls -= 1

    async def _async_ask(
        self, request: QuotaRequest, repeat: bool
    ) -> QuotaVerdict | None:
        """Return the counting host's verdict, None when there is none to be had."""
        counting_host = self._counting_hosts.owner(QUOTA_POOL)
        if counting_host is None:
            return None
        number = self._account.number()
        patience = 0.0 if repeat else self._max_queue_wait(request)
        message = self._message(request, number, patience, repeat)
        try:
            answer = await self._links.async_call(
                counting_host.address, message, patience + REPLY_TIMEOUT
            )
        except LinkError:
            known = self._counting_hosts.incarnation(counting_host.host)
            self._account.abandon_reservation(f"{counting_host.host}/{known}", number)
            return None
        except BaseException:
            # The caller has left: what the answer would have reserved is not used.
            known = self._counting_hosts.incarnation(counting_host.host)
            self._account.abandon_reservation(f"{counting_host.host}/{known}", number)
            raise
        ledger = f"{counting_host.host}/{answer.incarnation}"
        return self._verdict(request, answer, ledger, number)

    def _verdict(
        self,
        request: QuotaRequest,
        answer: messages.QuotaAnswer,
        ledger: str,
        number: int,
    ) -> QuotaVerdict | None:
        if answer.status not in (QUOTA_RESERVED, QUOTA_REFUSED):
            return None
        workspace = request.workspace
        self._account.update_level(workspace.name, answer.left, answer.paced)
        verdict = QuotaVerdict(
            None,
            None,
            True,
            answer.left,
            answer.paced,
            answer.ahead,
            answer.retry_reserved,
        )
        if answer.status == QUOTA_REFUSED:
            return verdict._replace(wait=answer.retry_after_ms / 1000)
        hold = self._account.hold_reserved(workspace, request.amount, ledger, number)
        return verdict._replace(hold=hold)

    def _max_queue_wait(self, request: QuotaRequest) -> float:
        if request.first_by is None:
            return MAX_QUEUE_SECONDS
        left = QUEUE_FRACTION * (request.first_by - self._clock.now())
        return min(MAX_QUEUE_SECONDS, max(0.0, left))

    def _message(
        self, request: QuotaRequest, number: int, patience: float, repeat: bool
    ) -> messages.QuotaAsk:
        left = max(0.0, request.deadline - self._clock.now())
        return messages.QuotaAsk(
            request_id=request.request_id,
            workspace=request.workspace.name,
            amount=request.amount,
            entry_host=self._host,
            patience_ms=int(patience * 1000),
            latest_retry_ms=int(LATEST_RETRY_FRACTION * left * 1000),
            retry_fingerprint=request.retry_fingerprint,
            repeat=repeat,
            reservation=number,
            kind=request.kind,
        )
