"""Engines of a soak that send, while they have orders, bytes without end."""

import time
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler
from typing import Any

from tests.platform.endless_bytes import Response
from tests.platform.endless_engine import DEADLINE_HEADER, Held, Orders
from tests.platform.endless_sender import Job, Sender
from tests.platform.processes import Engine

SLOW_BY_SPEED = {"fast": False, "slow": True}
KINDS = (
    Response.INTERIM_103,
    Response.CHUNKS,
    Response.LENGTH,
    Response.UNFRAMED,
    Response.COMMENTS,
    Response.EVENTS,
)
ORDERS_BY_MODE: Mapping[str, Orders] = {
    f"{kind}, {speed}": Orders(kind, slow)
    for kind in KINDS
    for speed, slow in SLOW_BY_SPEED.items()
}


class OrderedEngine(Engine):
    """An engine that sends without end in place of answers while it has orders.

    sender is the process that does so. While the engine is paused, nothing is sent.
    """

    orders: Orders | None = None
    sender: Sender
    paused = False

    def __init__(self, *arguments: Any) -> None:
        self._held_by_start: dict[tuple[str, float], Held] = {}
        super().__init__(*arguments)

    @property
    def held(self) -> list[Held]:
        """The connections that got such bytes, each as it stands now."""
        return list(self._held_by_start.values())

    def send_on(self, handler: BaseHTTPRequestHandler, orders: Orders) -> None:
        """Send bytes until the host closes the connection."""
        at = time.monotonic()
        headers = handler.headers
        handler.rfile.read(int(headers.get("Content-Length", 0)))
        handler.close_connection = True
        request_id = headers["X-Attempt-Id"]
        self.record_request(request_id)
        after = int(headers.get("Last-Event-Id", 0))
        held = Held(request_id, at, at + int(headers[DEADLINE_HEADER]) / 1000)
        self._held_by_start[request_id, at] = held
        job = Job(orders.kind, orders.slow, request_id, after, self.version)
        closed = self.sender.send(job, handler.connection, self._is_paused)
        self._held_by_start[request_id, at] = held._replace(closed=closed)

    def _is_paused(self) -> bool:
        return self.paused and not self.ended
