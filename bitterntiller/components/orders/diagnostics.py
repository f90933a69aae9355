"""The section of the orders component in the state dump of a process."""

from typing import Any

from bitterntiller.components.orders.models import OrderRecord
from bitterntiller.components.orders.pool import PoolOrders


def describe(orders_by_pool: dict[str, PoolOrders]) -> dict[str, Any]:
    """Return the orders sent under the current epoch of each owned pool."""
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
