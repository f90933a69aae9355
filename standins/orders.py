"""The orders that an engine's stand-in takes."""

import json
from typing import Any

from standins.server import Connection, Request, Server


class OrderExecutor:
    """Carries out orders, checking fences and repeated ids where labels say so."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._highest_fence = 0
        self._results_by_id: dict[str, dict[str, Any]] = {}

    async def async_handle(self, connection: Connection, request: Request) -> None:
        """Answer an order."""
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
