"""Execution of orders by the stand-ins."""

import json
from typing import Any

from standins.server import Connection, Request, Server


class OrderExecutor:
    """Executes orders; labels enable deduplication by id and fence checks.

    orders=idempotent returns the first result for a repeated id; fencing=checked
    rejects a fence below the highest one received.
    """

    def __init__(self, server: Server) -> None:
        self._server = server
        self._highest_fence = 0
        self._results_by_id: dict[str, dict[str, Any]] = {}

    async def async_handle(self, connection: Connection, request: Request) -> None:
        """Execute an order and respond."""
        order = json.loads(request.body)
        labels = self._server.options.labels_by_key
        if labels.get("orders") == "idempotent":
            earlier = self._results_by_id.get(order["order_id"])
            if earlier is not None:
                await connection.async_respond(200, earlier)
                return
        checked = labels.get("fencing") == "checked"
        if checked and order["fence"] < self._highest_fence:
            await connection.async_respond(409, {"error": "old fence"})
            return
        self._highest_fence = max(self._highest_fence, order["fence"])
        self._server.recorder.add("order", **{"order": order})
        result = {"status": "done", "order_id": order["order_id"]}
        self._results_by_id[order["order_id"]] = result
        await connection.async_respond(200, result)
