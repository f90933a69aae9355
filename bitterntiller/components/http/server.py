"""HTTP/1.1 server: connections, keep-alive, limits and responses to bad requests."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
import h11
from absl import logging
from curio import socket

from bitterntiller.components.http import const
from bitterntiller.components.http.errors import BadRequestError, CallerGoneError
from bitterntiller.components.http.event_logging import log_rejection
from bitterntiller.components.http.exchange import Exchange, ServerConnection
from bitterntiller.components.http.head_checks import check_head
from bitterntiller.components.http.models import RequestHead
from bitterntiller.components.http.targets import replace_host, split_target
from bitterntiller.components.settings.models import Address
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.interfaces import Metrics
from bitterntiller.core.listener import Listener
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.tcp import enable_keepalive, is_quiet
from bitterntiller.core.timeouts import ignore_after

ExchangeHandler = Callable[[Exchange], Awaitable[None]]


class ServerLimits(NamedTuple):
    """Limits of a server, in bytes, connections and seconds."""

    head_bytes: int
    connections: int
    head_timeout: float
    keep_alive: float
    write_timeout: float


class HttpServer:
    """Serves HTTP on one address."""

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
        self._listener: Listener | None = None
        self._idle_by_task: dict[curio.Task, ServerConnection] = {}
        self._open: set[ServerConnection] = set()

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits, for open connections too.

        An idle connection is kept for the longest limit since it became idle: callers
        may count on each of them.
        """
        self._limits = limits
        for connection in self._idle_by_task.values():
            connection.idle_limit = max(connection.idle_limit, limits.keep_alive)

    async def async_serve(self, runtime: Runtime) -> None:
        """Accept connections until cancelled."""
        ip, port = self._listen
        self._listener = Listener(ip, port, self._async_connection)
        await self._listener.async_serve(runtime)

    async def async_close(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._listener is not None:
            await self._listener.async_close()

    async def async_drain(self) -> None:
        """Close each connection after its current request and idle ones now.

        Responses that begin later announce the close.
        One that has received bytes isn't idle, though its task hasn't run yet: it would
        be cancelled within the request.
        """
        self.draining = True
        for connection in self._open:
            connection.closing = True
        for task, connection in list(self._idle_by_task.items()):
            if is_quiet(connection.sock):
                await task.cancel(blocking=False)

    async def _async_connection(self, sock: Any) -> None:
        if self.connections >= self._limits.connections:
            self._metrics.count(const.METRIC_CONNECTIONS_REFUSED)
            await _async_reject(sock)
            return
        limits = self._limits
        # A caller may stop reading for as long as a write may wait, and somewhat longer
        # while the kernel's buffers hold all unread bytes.
        try:
            enable_keepalive(sock, max(1, int(limits.write_timeout)) * 2)
        except OSError:
            return
        self.connections += 1
        connection = ServerConnection(
            sock, lambda: self._limits.head_bytes, limits.write_timeout
        )
        connection.closing = self.draining
        self._open.add(connection)
        try:
            await self._async_requests(connection)
        except CallerGoneError:
            return
        finally:
            self.connections -= 1
            self._open.discard(connection)

    async def _async_requests(self, connection: ServerConnection) -> None:
        while True:
            head = await self._async_head(connection, self._limits.head_timeout)
            if head is None:
                return
            exchange = Exchange(connection, head)
            self.busy += 1
            try:
                await self._async_exchange(exchange)
            finally:
                self.busy -= 1
            if not self._reusable(connection, exchange):
                if not connection.disconnected:
                    await connection.async_linger()
                return
            connection.begin_next_request()
            if not await self._async_has_more(connection):
                return

    async def _async_has_more(self, connection: ServerConnection) -> bool:
        """Wait for the next request; return False to close without a response.

        The caller could take a 408 on an idle connection for the response to a request
        that it sends at that moment. Idle connections are closed at once when the
        process stops.
        """
        if connection.request_begun:
            # Requests that are answered without a wait would keep other tasks from
            # running until the last pipelined one.
            await curio.sleep(0)
            return True
        task = await curio.current_task()
        connection.idle_limit = self._limits.keep_alive
        self._idle_by_task[task] = connection
        began = await curio.clock()
        left = connection.idle_limit
        try:
            while left > 0:
                async with ignore_after(left):
                    return await connection.async_wait_bytes()
                left = began + connection.idle_limit - await curio.clock()
        finally:
            self._idle_by_task.pop(task, None)
        return False

    def _reusable(self, connection: ServerConnection, exchange: Exchange) -> bool:
        if self.draining or connection.disconnected or not exchange.finished:
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
            if isinstance(event, h11.Request):
                check_head(event, self._limits.head_bytes)
        except BadRequestError as error:
            await self._async_refuse(connection, error)
            await connection.async_linger()
            return None
        if not isinstance(event, h11.Request):
            return None
        target, host = split_target(event.target.decode("latin-1"))
        headers = list(event.headers)
        if host is not None:
            headers = replace_host(headers, host)
        method = event.method.decode("ascii")
        return RequestHead(method, target, headers, event.http_version)

    async def _async_refuse(
        self,
        connection: ServerConnection,
        error: BadRequestError,
        head: RequestHead | None = None,
    ) -> None:
        self._metrics.count(const.METRIC_BAD_REQUEST)
        log_rejection(connection, error, head)
        if connection.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = head or RequestHead("GET", "/", [], b"1.1")
        connection.closing = True
        headers = [(b"x-outcome", b"not-run")]
        body = b'{"outcome": "not-run", "reason": "bad-request"}\n'
        await Exchange(connection, head).async_respond(error.status, headers, body)

    async def _async_exchange(self, exchange: Exchange) -> None:
        if exchange.head.method == "OPTIONS" and exchange.head.target == "*":
            await exchange.async_respond(204, [], b"")
            return
        try:
            await self._handler(exchange)
        except BadRequestError as error:
            if exchange.started:
                await exchange.async_cut()
                return
            await self._async_refuse(exchange.connection, error, exchange.head)
        except (CallerGoneError, BrokenInvariantError, curio.CancelledError):
            raise
        except Exception:
            # An error in one request must not affect others. The caller sees a reset
            # connection, never a response that looks complete.
            self._metrics.count(const.METRIC_HANDLER_ERROR)
            logging.exception("handler for %s failed", exchange.head.path)
            await exchange.async_cut()


async def _async_reject(sock: Any) -> None:
    """Refuse a connection over the limit without reading its request."""
    try:
        await sock.sendall(const.REJECT_RESPONSE)
        await sock.shutdown(socket.SHUT_WR)
        async with ignore_after(const.REJECT_LINGER_SECONDS):
            await sock.recv(const.READ_BYTES)
    except OSError:
        return
