"""An HTTP/1.1 server: connections, keep-alive, bounds, answers to bad requests."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
import h11
from absl import logging

from bitterntiller.components.http import const
from bitterntiller.components.http.errors import BadRequestError, CallerGoneError
from bitterntiller.components.http.exchange import Exchange, ServerConnection
from bitterntiller.components.http.models import RequestHead
from bitterntiller.components.settings.models import Address
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.interfaces import Metrics
from bitterntiller.core.listener import Listener
from bitterntiller.core.runtime import Runtime

ExchangeHandler = Callable[[Exchange], Awaitable[None]]


class ServerLimits(NamedTuple):
    """Bounds of a server; bytes, counts and seconds."""

    head_bytes: int
    connections: int
    head_timeout: float
    keep_alive: float
    write_timeout: float


class HttpServer:
    """Serves one listening address."""

    def __init__(
        self,
        listen: Address,
        limits: ServerLimits,
        handler: ExchangeHandler,
        metrics: Metrics,
    ) -> None:
        self._listen = listen
        self._limits = limits
        self._handler = handler
        self._metrics = metrics
        self.connections = 0
        self.busy = 0
        self.draining = False

    async def async_serve(self, runtime: Runtime) -> None:
        """Accept connections until cancelled."""
        listener = Listener(self._listen.ip, self._listen.port, self._async_connection)
        await listener.async_serve(runtime)

    async def _async_connection(self, sock: Any) -> None:
        if self.connections >= self._limits.connections:
            self._metrics.count(const.METRIC_CONNECTIONS_REFUSED)
            return
        self.connections += 1
        limits = self._limits
        connection = ServerConnection(sock, limits.head_bytes, limits.write_timeout)
        try:
            await self._async_requests(connection)
        except CallerGoneError:
            return
        finally:
            self.connections -= 1

    async def _async_requests(self, connection: ServerConnection) -> None:
        timeout = self._limits.head_timeout
        while True:
            head = await self._async_head(connection, timeout)
            if head is None:
                return
            exchange = Exchange(connection, head)
            self.busy += 1
            try:
                await self._async_exchange(exchange)
            finally:
                self.busy -= 1
            if not self._reusable(connection, exchange):
                return
            connection.h11.start_next_cycle()
            timeout = self._limits.keep_alive

    def _reusable(self, connection: ServerConnection, exchange: Exchange) -> bool:
        if self.draining or connection.gone or not exchange.finished:
            return False
        return (
            connection.h11.our_state is h11.DONE
            and connection.h11.their_state is h11.DONE
        )

    async def _async_head(
        self, connection: ServerConnection, timeout: float
    ) -> RequestHead | None:
        try:
            event = await connection.async_next_event(timeout)
        except BadRequestError as error:
            await self._async_refuse(connection, error)
            return None
        if not isinstance(event, h11.Request):
            return None
        return RequestHead(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            list(event.headers),
            event.http_version,
        )

    async def _async_refuse(
        self, connection: ServerConnection, error: BadRequestError
    ) -> None:
        self._metrics.count(const.METRIC_BAD_REQUEST)
        if connection.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = RequestHead("GET", "/", [], b"1.1")
        headers = [(b"connection", b"close"), (b"x-outcome", b"not-run")]
        body = b'{"outcome": "not-run", "reason": "bad-request"}\n'
        await Exchange(connection, head).async_respond(error.status, headers, body)

    async def _async_exchange(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except BadRequestError as error:
            if exchange.started:
                await exchange.async_cut()
                return
            await self._async_refuse(exchange.connection, error)
        except (CallerGoneError, BrokenInvariantError, curio.CancelledError):
            raise
        except Exception:
            # A fault in the serving of one request must not end the others; the
            # caller sees a cut, never an answer that looks whole.
            self._metrics.count(const.METRIC_HANDLER_ERROR)
            logging.exception("serving %s failed", exchange.head.path)
            await exchange.async_cut()
