"""HTTP servers of the entry role: callers' requests, announcements, health checks."""

from collections.abc import Callable

from bitterntiller.components.entry.coordinator import EntryCoordinator
from bitterntiller.components.http.buffered import BodyBudget, async_serve_buffered
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import RequestHandler
from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.node.coordinator import NodeCoordinator
from bitterntiller.components.settings.models import Address
from bitterntiller.components.upstreams.const import BODY_MEMORY_PARTS, MAX_BODY_BYTES
from bitterntiller.core.runtime import Runtime

PATH_HEALTH = "/healthz"
PATH_READY = "/readyz"
PATH_ANNOUNCE = "/v1/upstreams/announce"
TEXT = [(b"content-type", b"text/plain")]
READY_HEAD_BYTES = 8 * 1024
READY_CONNECTIONS = 64


class CallerPort:
    """Serves requests, announcements of upstreams and health checks on one port."""

    def __init__(
        self,
        runtime: Runtime,
        coordinator: EntryCoordinator,
        announcements: RequestHandler,
    ) -> None:
        timings = runtime.settings.timings
        limits = runtime.settings.limits
        self._runtime = runtime
        self._coordinator = coordinator
        self._announcements = announcements
        self._body_timeout = timings.body
        self._bodies = BodyBudget(limits.memory_bytes // BODY_MEMORY_PARTS)
        bodies = self._bodies
        runtime.memory.add(
            "entry.announcements", lambda: bodies.held_bytes, bodies.max_bytes
        )
        self._server = HttpServer(
            runtime.settings.listen.caller,
            ServerLimits(
                head_bytes=limits.head_bytes,
                connections=limits.connections,
                head_timeout=timings.head,
                keep_alive=timings.keep_alive,
                write_timeout=timings.caller_write,
            ),
            self._async_exchange,
            runtime.metrics,
        )

        coordinator.add_drain_listener(self._server.async_drain)

    async def async_serve(self) -> None:
        """Serve until cancelled."""
        await self._server.async_serve(self._runtime)

    async def _async_exchange(self, exchange: Exchange) -> None:
        path = exchange.head.path
        if path == PATH_HEALTH:
            await exchange.async_respond(200, TEXT, b"ok\n")
        elif path == PATH_READY:
            await self._async_ready(exchange)
        elif path == PATH_ANNOUNCE:
            await async_serve_buffered(
                exchange,
                self._announcements,
                MAX_BODY_BYTES,
                self._body_timeout,
                self._bodies,
            )
        else:
            await self._coordinator.pipeline.async_serve(exchange)

    async def _async_ready(self, exchange: Exchange) -> None:
        if self._coordinator.ready():
            await exchange.async_respond(200, TEXT, b"ready\n")
            return
        headers = [*TEXT, (b"retry-after", b"1")]
        await exchange.async_respond(503, headers, b"not ready\n")


class RequestPort:
    """Serves only callers' requests, within the limits of the configuration."""

    def __init__(
        self, runtime: Runtime, coordinator: EntryCoordinator, session: NodeCoordinator
    ) -> None:
        self._runtime = runtime
        self._config = session.config
        self._server = HttpServer(
            runtime.settings.listen.caller,
            self._limits(),
            coordinator.pipeline.async_serve,
            runtime.metrics,
        )
        remove = session.add_config_listener(self._follow_config)
        runtime.stack.callback(remove)

    def _limits(self) -> ServerLimits:
        limits = self._runtime.settings.limits
        timings = self._runtime.settings.timings
        configured = self._config.config.caller_limits
        return ServerLimits(
            head_bytes=configured.head_bytes if configured else limits.head_bytes,
            connections=limits.connections,
            head_timeout=configured.head_timeout if configured else timings.head,
            keep_alive=configured.idle_timeout if configured else timings.keep_alive,
            write_timeout=timings.caller_write,
        )

    def _follow_config(self) -> None:
        self._server.set_limits(self._limits())

    async def async_serve(self) -> None:
        """Serve until cancelled."""
        await self._server.async_serve(self._runtime)

    async def async_begin_drain(self) -> None:
        """Close each connection after its current request; accept new ones."""
        await self._server.async_drain()

    async def async_close(self) -> None:
        """Stop accepting connections."""
        await self._server.async_close()


class ReadyPort:
    """Serves a readiness check for load balancers on a separate address."""

    def __init__(
        self, runtime: Runtime, listen: Address, path: str, ready: Callable[[], bool]
    ) -> None:
        self._runtime = runtime
        self._path = path
        self._ready = ready
        limits = ServerLimits(
            head_bytes=READY_HEAD_BYTES,
            connections=READY_CONNECTIONS,
            head_timeout=runtime.settings.timings.head,
            keep_alive=runtime.settings.timings.keep_alive,
            write_timeout=runtime.settings.timings.caller_write,
        )
        self._server = HttpServer(listen, limits, self._async_exchange, runtime.metrics)

    async def async_serve(self) -> None:
        """Serve until cancelled."""
        await self._server.async_serve(self._runtime)

    async def _async_exchange(self, exchange: Exchange) -> None:
        if exchange.head.path != self._path:
            await exchange.async_respond(404, TEXT, b"no such path\n")
        elif self._ready():
            await exchange.async_respond(200, TEXT, b"ready\n")
        else:
            await exchange.async_respond(503, TEXT, b"not ready\n")
