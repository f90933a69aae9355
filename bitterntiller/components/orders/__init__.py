"""Orders to upstreams, requested by labels: load, unload and role changes."""

from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.orders.claims import OrderClaims
from bitterntiller.components.orders.coordinator import NodeViews, OrdersCoordinator
from bitterntiller.components.orders.sender import async_send_order
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, node: NodeCoordinator) -> OrdersCoordinator:
    """Issue orders for the pools owned by this process, until it unloads.

    The caller must pass each accepted announcement to record_announcement.
    """
    order_claims = OrderClaims(
        node.control_client.async_call_leader,
        runtime.settings.host,
        runtime.incarnation,
    )
    views = NodeViews(node.lease, node.config, node.directory)
    coordinator = OrdersCoordinator(runtime, views, order_claims, async_send_order)
    runtime.add_diagnostics("orders", coordinator.describe)
    await runtime.async_spawn(coordinator.async_run())
    return coordinator
