"""Issues orders to the upstreams of the pools that this process owns."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
from absl import logging

from bitterntiller.components.config.models import Service
from bitterntiller.components.orders import const
from bitterntiller.components.orders.claims import OrderClaims
from bitterntiller.components.orders.desired_orders import order_seconds, wants_orders
from bitterntiller.components.orders.diagnostics import describe
from bitterntiller.components.orders.models import Order, OrderedUpstream, OrderOutcome
from bitterntiller.components.orders.pool import PoolOrders
from bitterntiller.core.interfaces import ConfigView, DirectoryView, Lease
from bitterntiller.core.runtime import Runtime

SendOrder = Callable[[Order, Callable[[], bool], float], Awaitable[OrderOutcome]]


class NodeViews(NamedTuple):
    """The state that this process receives from control."""

    lease: Lease
    config: ConfigView
    directory: DirectoryView


class OrdersCoordinator:
    """Issues orders, fenced by the epoch of each owned pool."""

    def __init__(
        self,
        runtime: Runtime,
        views: NodeViews,
        order_claims: OrderClaims,
        send: SendOrder,
    ) -> None:
        self._host = runtime.settings.host
        self._clock = runtime.clock
        self._metrics = runtime.metrics
        self._views = views
        self._claims = order_claims
        self._send = send
        self._upstreams_by_pool: dict[str, dict[str, OrderedUpstream]] = {}
        self._tasks: set[curio.Task] = set()
        self.orders_by_pool: dict[str, PoolOrders] = {}

    def record_announcement(self, announce: Any) -> None:
        """Record an accepted messages.Announce of an owned pool; never awaits."""
        upstreams = self._upstreams_by_pool.setdefault(announce.pool, {})
        upstreams[announce.name] = OrderedUpstream(
            name=announce.name,
            address=announce.address,
            incarnation=announce.incarnation,
            leaving=announce.state == "leaving",
            labels=dict(announce.labels),
            last_announced_at=self._clock.now(),
        )

    async def async_run(self) -> None:
        """Issue the orders that are due, until cancelled."""
        try:
            while True:
                await self.async_issue()
                await curio.sleep(const.TICK)
        finally:
            for task in list(self._tasks):
                await task.cancel()

    async def async_issue(self) -> None:
        """Start sending all orders that are due now."""
        config = self._views.config.config
        services = config.services_by_name if config is not None else {}
        for pool in self.orders_by_pool.keys() - services.keys():
            del self.orders_by_pool[pool]
            self._upstreams_by_pool.pop(pool, None)
        for service in services.values():
            orders = self._update_orders(service)
            if orders is None:
                continue
            upstreams = self._upstreams_by_pool.get(service.name, {})
            for order in orders.due(service, upstreams, self._clock.now()):
                await self._async_start(service, orders, order)

    def _update_orders(self, service: Service) -> PoolOrders | None:
        """Return the orders of an owned pool, fresh for each epoch, or None."""
        epoch = self._epoch(service.name)
        orders = self.orders_by_pool.get(service.name)
        if epoch is None:
            self.orders_by_pool.pop(service.name, None)
            return None
        if orders is None or orders.epoch != epoch:
            orders = PoolOrders(epoch, self._clock.now())
            self.orders_by_pool[service.name] = orders
        return orders if wants_orders(service) else None

    def _epoch(self, pool: str) -> int | None:
        """Return the epoch under which this process may act for a pool now."""
        if not self._views.lease.valid():
            return None
        owner = self._views.directory.owner(pool)
        if owner is None or owner.host != self._host:
            return None
        return owner.epoch

    async def _async_start(
        self, service: Service, orders: PoolOrders, order: Order
    ) -> None:
        task = await curio.spawn(
            self._async_execute, service, orders, order, daemon=True
        )
        self._tasks.add(task)

    async def _async_execute(
        self, service: Service, orders: PoolOrders, order: Order
    ) -> None:
        try:
            outcome = await self._async_send(service, order)
        except Exception:
            # Without an outcome the order would count as being sent, and block its
            # upstream and a slot for loads until the pool changes owners.
            logging.exception("order %s to %s failed", order.kind, order.upstream)
            outcome = OrderOutcome(const.STATE_UNKNOWN, "an error of this process")
        orders.record_outcome(order, outcome)
        self._metrics.count(f"orders.{order.kind}.{outcome.state}")
        logging.info(
            "order %s %s to %s: %s %s",
            order.kind,
            order.argument,
            order.upstream,
            outcome.state,
            outcome.text,
        )
        self._tasks.discard(await curio.current_task())

    async def _async_send(self, service: Service, order: Order) -> OrderOutcome:
        def may_send() -> bool:
            return self._epoch(service.name) == order.fence

        known = await self._claims.async_begin(order)
        if known is not None:
            return known
        outcome = await self._send(order, may_send, order_seconds(service))
        await self._claims.async_end(order, outcome)
        return outcome

    def describe(self) -> dict[str, Any]:
        """Return the section of orders in the state dump."""
        return describe(self.orders_by_pool)
