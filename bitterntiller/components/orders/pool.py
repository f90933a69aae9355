"""Decides which orders to send for one owned pool, without I/O."""

from bitterntiller.components.config.models import Service
from bitterntiller.components.orders import const
from bitterntiller.components.orders.desired_orders import (
    desired_orders_of,
    loads_at_once,
    make_order,
    order_seconds,
)
from bitterntiller.components.orders.models import (
    Order,
    OrderedUpstream,
    OrderOutcome,
    OrderRecord,
)


class PoolOrders:
    """The orders sent under one epoch of a pool; times in seconds."""

    def __init__(self, epoch: int, owned_since: float) -> None:
        self.epoch = epoch
        self.owned_since = owned_since
        self.stale = False
        self.records_by_id: dict[str, OrderRecord] = {}

    def due(
        self,
        service: Service,
        upstreams_by_name: dict[str, OrderedUpstream],
        now: float,
    ) -> list[Order]:
        """Return the orders to send now and mark them as being sent."""
        if self.stale:
            return []
        due = []
        for _, upstream in sorted(upstreams_by_name.items()):
            order = self._next(service, upstream, now)
            if order is None:
                continue
            attempts = self._attempts(order) + 1
            self.records_by_id[order.order_id] = OrderRecord(
                order, const.STATE_SENDING, now, attempts
            )
            due.append(order)
        return due

    def _next(
        self, service: Service, upstream: OrderedUpstream, now: float
    ) -> Order | None:
        if (
            upstream.leaving
            or now - upstream.last_announced_at > const.ANNOUNCEMENT_TIMEOUT
        ):
            return None
        if self._is_busy(upstream.name):
            return None
        for desired in desired_orders_of(service, upstream):
            order = make_order(service, upstream, desired, self.epoch)
            if not self._may_send(order, now):
                continue
            if self._must_wait(order, upstream, service, now):
                continue
            return order
        return None

    def _is_busy(self, upstream: str) -> bool:
        return any(
            record.state == const.STATE_SENDING and record.order.upstream == upstream
            for record in self.records_by_id.values()
        )

    def _may_send(self, order: Order, now: float) -> bool:
        """Return whether an order was not sent yet or may be repeated.

        After a lost response, only an upstream that tracks order ids gets it again; any
        other one would execute it twice.
        """
        record = self.records_by_id.get(order.order_id)
        if record is None:
            return True
        again = record.state == const.STATE_NOT_SENT
        again = again or (record.state == const.STATE_UNKNOWN and order.idempotent)
        return again and now - record.sent_at >= const.RETRY_PAUSE

    def _must_wait(
        self, order: Order, upstream: OrderedUpstream, service: Service, now: float
    ) -> bool:
        """Return whether an order must wait for the previous owner or a load slot.

        The previous owner had lost its lease or released the pool when this epoch
        began, so what it had sent has ended one maximum order duration later. Until
        then, an upstream that ignores fences could execute old and new orders together,
        and the previous owner's loads may still use the weight store, whether or not
        the upstream checks fences.
        """
        seconds = order_seconds(service)
        checked = (
            upstream.labels.get(const.UPSTREAM_LABEL_FENCING) == const.FENCING_CHECKED
        )
        is_load = order.kind == const.KIND_LOAD
        if (is_load or not checked) and now - self.owned_since < seconds:
            return True
        return is_load and self._active_loads(seconds, now) >= loads_at_once(service)

    def _active_loads(self, seconds: float, now: float) -> int:
        """Return how many loads may be in progress.

        A load whose response was lost may continue for the maximum order duration.
        """
        return sum(
            record.order.kind == const.KIND_LOAD
            and (
                record.state == const.STATE_SENDING
                or (
                    record.state == const.STATE_UNKNOWN
                    and now - record.sent_at < seconds
                )
            )
            for record in self.records_by_id.values()
        )

    def _attempts(self, order: Order) -> int:
        record = self.records_by_id.get(order.order_id)
        return record.attempts if record else 0

    def record_outcome(self, order: Order, outcome: OrderOutcome) -> None:
        """Record the outcome of sending an order."""
        record = self.records_by_id[order.order_id]
        self.records_by_id[order.order_id] = record._replace(
            state=outcome.state, text=outcome.text
        )
        self._forget_oldest()
        # The upstream has received an order of a later epoch: this owner was replaced.
        if outcome.state == const.STATE_STALE:
            self.stale = True

    def _forget_oldest(self) -> None:
        if len(self.records_by_id) <= const.MAX_RECORDS:
            return
        for order_id, record in list(self.records_by_id.items()):
            if record.state != const.STATE_SENDING:
                del self.records_by_id[order_id]
                return
