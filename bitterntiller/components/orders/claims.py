"""Claims that prevent sending an order twice."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from bitterntiller.components.orders import const
from bitterntiller.components.orders.models import Order, OrderOutcome
from bitterntiller.protocol import messages

CallLeader = Callable[[Any, float], Awaitable[Any]]


class OrderClaims:
    """Commits a claim before an order is sent to an upstream that would repeat it.

    The owner may die between sending an order and receiving the response. The next
    owner then issues the same order, and only an upstream that tracks order ids
    recognizes it as a duplicate. For all others, the claim records that it was sent.
    """

    def __init__(self, call_leader: CallLeader, host: str, incarnation: str) -> None:
        self._call_leader = call_leader
        self._host = host
        self._incarnation = incarnation
        self._void_count_by_id: Counter[str] = Counter()

    async def async_begin(self, order: Order) -> OrderOutcome | None:
        """Return None if the order may be sent, else its outcome as far as known."""
        if order.idempotent:
            return None
        reply = await self._async_claim("take", order)
        status = reply.status if reply is not None else "unknown"
        if status == "taken":
            return None
        if status == "finished":
            return OrderOutcome(reply.outcome, "given by an earlier owner")
        if status in ("running", "orphaned"):
            text = "sent by an earlier owner; its answer was lost"
            return OrderOutcome(const.STATE_UNKNOWN, text)
        if status == "voided":
            self._void_count_by_id[order.order_id] += 1
        return OrderOutcome(const.STATE_NOT_SENT, f"no claim: {status}")

    async def async_end(self, order: Order, outcome: OrderOutcome) -> None:
        """Record the outcome of sending an order, unless it is unknown."""
        if order.idempotent or outcome.state == const.STATE_UNKNOWN:
            return
        if outcome.state in (const.STATE_NOT_SENT, const.STATE_STALE):
            reply = await self._async_claim("void", order)
            if reply is not None and reply.status == "voided":
                self._void_count_by_id[order.order_id] += 1
            return
        await self._async_claim("finish", order, outcome.state)

    async def _async_claim(self, action: str, order: Order, outcome: str = "") -> Any:
        """Send a claim to control; its request id changes only after a void.

        If the reply to a take is lost, repeating the take with the same request id
        succeeds and is not mistaken for the claim of an earlier owner.
        """
        voids = self._void_count_by_id[order.order_id]
        claim = messages.Claim(
            action=action,
            workspace=const.CLAIM_WORKSPACE,
            key=order.order_id,
            digest="",
            host=self._host,
            incarnation=self._incarnation,
            upstream=order.upstream,
            request_id=f"{order.fence}/{voids}",
            outcome=outcome,
            http_status=0,
            address=order.address,
        )
        return await self._call_leader(claim, const.CLAIM_TIMEOUT)
