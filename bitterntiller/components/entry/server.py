"""The caller port: health, announcements of upstreams, and the callers' requests."""

from bitterntiller.components.entry.coordinator import EntryCoordinator
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import RequestHandler
from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.http.whole import async_serve_whole
from bitterntiller.components.upstreams.const import MAX_BODY_BYTES
from bitterntiller.core.runtime import Runtime

PATH_HEALTH = "/healthz"
PATH_READY = "/readyz"
PATH_ANNOUNCE = "/v1/upstreams/announce"
TEXT = [(b"content-type", b"text/plain")]


class CallerPort:
    """Serves the caller port of one process."""

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
            await async_serve_whole(
                exchange, self._announcements, MAX_BODY_BYTES, self._body_timeout
            )
        else:
            await self._coordinator.pipeline.async_serve(exchange)

    async def _async_ready(self, exchange: Exchange) -> None:
        if self._coordinator.ready():
            await exchange.async_respond(200, TEXT, b"ready\n")
            return
        headers = [*TEXT, (b"retry-after", b"1")]
        await exchange.async_respond(503, headers, b"not ready\n")
