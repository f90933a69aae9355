"""Stand-in for a plain service: `python -m standins.plain`."""

from dataclasses import dataclass
from typing import Annotated

import cappa
import curio

from standins import responses
from standins.engine import (
    echoed_request_id,
    not_admitted_headers,
    notice_headers,
)
from standins.faults import Faults
from standins.options import Options
from standins.orders import OrderExecutor
from standins.server import Connection, Request, Server


@dataclass(kw_only=True)
class PlainOptions(Options):
    """Options of a plain service."""

    work_ms: Annotated[float, cappa.Arg(long=True)] = 5.0


class PlainService:
    """Responds with JSON on every path and records each execution."""

    def __init__(self, options: PlainOptions) -> None:
        self.server = Server(options, self.async_handle)
        self._options = options
        self._orders = OrderExecutor(self.server)
        self._slots = curio.Semaphore(options.slots)

    async def async_handle(
        self, connection: Connection, request: Request, faults: Faults
    ) -> None:
        """Handle one request."""
        if request.target == "/v1/orders":
            await self._orders.async_handle(connection, request)
            return
        if request.target.startswith("/v1/requests/"):
            status = 204 if request.method == "DELETE" else 404
            headers = {"X-Incarnation": str(self._options.incarnation)}
            await connection.async_respond(status, {"error": "plain"}, headers)
            return
        await self._async_execute(connection, request, faults.consume())

    async def _async_execute(
        self, connection: Connection, request: Request, faults: Faults
    ) -> None:
        headers = {"X-Request-Id": echoed_request_id(request.request_id, faults)}
        headers |= notice_headers(faults)
        if faults.refuses() or self.server.is_full():
            self.server.recorder.add("turned-away", retry_after=faults.retry_after)
            await connection.async_respond(
                503, {"error": "full"}, headers | not_admitted_headers(faults)
            )
            return
        self.server.recorder.record_run(request)
        self.server.running += 1
        try:
            async with self._slots:
                await curio.sleep(self._options.work_ms / 1000 * faults.slow)
        finally:
            self.server.running -= 1
        self.server.recorder.add("done", request_id=request.request_id)
        await curio.sleep(faults.delay_s)
        if faults.stall_after >= 0:
            await connection.async_wait_closed()
        if faults.drop_answers or faults.reset_after >= 0 or faults.stall_after >= 0:
            connection.reset()
        body = responses.plain_response(request.method, request.target, request.body)
        await connection.async_respond(200, body, headers)


def main() -> None:
    """Run a plain service with the options of the command line."""
    options = cappa.parse(PlainOptions)
    curio.run(PlainService(options).server.async_run)


if __name__ == "__main__":
    main()
