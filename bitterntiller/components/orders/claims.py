"""Records of orders that must not be given twice."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from bitterntiller.components.orders import const
from bitterntiller.components.orders.models import Order, OrderOutcome
from bitterntiller.protocol import messages

CallLeader = Callable[[Any, float], Awaitable[Any]]


class OrderClaims:
    """Commits a claim before an order goes to an upstream that repeats it.

    The owner may die between the sending and the answer. The next owner gives
    the same order again, which only an upstream that knows order ids takes as
    the same. For all others the claim tells the next owner that it was sent.
    """

    def __init__(self, call_leader: CallLeader, host: str, incarnation: str) -> None:
        self._call_leader = call_leader
        self._host = host
        self._incarnation = incarnation
        self._void_count_by_id: Counter[str] = Counter()

    async def async_begin(self, order: Order) -> OrderOutcome | None:
        """Return None when the order may be sent, else what is known of it."""
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
        """Record how the sending ended, where that is known."""
        if order.idempotent or outcome.state == const.STATE_UNKNOWN:
            return
        if outcome.state in (const.STATE_NOT_SENT, const.STATE_STALE):
            reply = await self._async_claim("void", order)
            if reply is not None and reply.status == "voided":
                self._void_count_by_id[order.order_id] += 1
            return
        await self._async_claim("finish", order, outcome.state)

    async def _async_claim(self, action: str, order: Order, outcome: str = "") -> Any:
        """Call control; the request id stays the same until the claim is voided.

        A take whose answer was lost is then taken, or found, by the next one,
        and is not mistaken for that of an earlier owner.
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
