"""Serve the metrics and the state dump of a process on their own address."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.metrics import const
from bitterntiller.components.metrics.client import StatsdMetrics
from bitterntiller.components.metrics.exposition import render
from bitterntiller.components.settings.models import Address
from bitterntiller.core.runtime import Runtime

Dump = Callable[[], Mapping[str, Any]]

LIMITS = ServerLimits(
    head_bytes=8 * 1024,
    connections=16,
    head_timeout=5.0,
    keep_alive=15.0,
    write_timeout=5.0,
)
_TEXT = [(b"content-type", b"text/plain; version=0.0.4")]
_JSON = [(b"content-type", b"application/json")]


class MetricsPort:
    """Serves the metrics and the state dump; neither contains secrets."""

    def __init__(
        self, runtime: Runtime, listen: Address, metrics: StatsdMetrics, dump: Dump
    ) -> None:
        self._runtime = runtime
        self._metrics = metrics
        self._dump = dump
        self._server = HttpServer(listen, LIMITS, self._async_exchange, metrics)

    async def async_serve(self) -> None:
        """Serve until cancelled."""
        await self._server.async_serve(self._runtime)

    async def _async_exchange(self, exchange: Exchange) -> None:
        if exchange.head.path == const.PATH_METRICS:
            body = render(self._metrics, const.DEFAULT_PREFIX)
            await exchange.async_respond(200, _TEXT, body)
        elif exchange.head.path == const.PATH_STATE:
            body = json.dumps(self._dump(), default=str).encode()
            await exchange.async_respond(200, _JSON, body)
        else:
            await exchange.async_respond(404, _TEXT, b"no such path\n")
