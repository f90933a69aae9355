"""Orders to upstreams: loads, unloads and changes of role, by labels."""

from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.orders.claims import OrderClaims
from bitterntiller.components.orders.coordinator import NodeViews, OrdersCoordinator
from bitterntiller.components.orders.sender import async_send_order
from bitterntiller.core.runtime import Runtime


async def async_setup(runtime: Runtime, node: NodeCoordinator) -> OrdersCoordinator:
    """Give orders for the pools owned here, until the process unloads.

    The caller has each accepted announcement passed to note_announcement.
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
