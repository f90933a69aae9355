"""The share of the orders part in the dump of a process's state."""

from typing import Any

from bitterntiller.components.orders.models import OrderRecord
from bitterntiller.components.orders.pool import PoolOrders


def describe(orders_by_pool: dict[str, PoolOrders]) -> dict[str, Any]:
    """Return the orders given under the present epoch of each owned pool."""
    return {
        pool: {
            "epoch": orders.epoch,
            "stale": orders.stale,
            "orders": [_describe(record) for record in orders.records_by_id.values()],
        }
        for pool, orders in orders_by_pool.items()
    }


def _describe(record: OrderRecord) -> dict[str, Any]:
    order = record.order
    return {
        "order_id": order.order_id,
        "upstream": order.upstream,
        "kind": order.kind,
        "argument": order.argument,
        "state": record.state,
        "attempts": record.attempts,
        "text": record.text,
    }
