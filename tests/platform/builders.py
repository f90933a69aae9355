"""Builders of the platform's documents and requests, and of an entry host."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, NamedTuple

import curio
from bitterntiller_platform.configuration import parse_configuration
from bitterntiller_platform.dialect import PlatformDialect

from bitterntiller.components.entry.claiming import ClaimClient
from bitterntiller.components.entry.context import Context, DepartingView, QuotaGate
from bitterntiller.components.entry.coordinator import EntryCoordinator
from bitterntiller.components.entry.notices import UpstreamNotices
from bitterntiller.components.entry.response_times import ResponseTimes
from bitterntiller.components.entry.retry_budget import RetryBudget
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.http.server import HttpServer, ServerLimits
from bitterntiller.components.node.models import Host
from bitterntiller.components.settings.models import Limits, Timings
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.core.interfaces import CrashWatch, Ownership, StreamVersions
from bitterntiller.protocol import messages
from tests.components.entry import fakes
from tests.components.http.builders import LIMITS, serving

KEY = "key-of-foresters"

BACKLOG = 1024
"""With fewer, connections that are opened at once time out at the kernel."""


def route(**fields: Any) -> dict[str, Any]:
    return {
        "name": "r-1",
        "hostname": "trees.example",
        "path_prefix": "/trees/",
        "route_kind": "streaming",
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "target_itl_ms": 300,
        "priority": 1,
        "service": "llm",
        "max_attempts": 2,
        "public": False,
        "stream_resume": True,
        **fields,
    }


def document(*routes: dict[str, Any], **fields: Any) -> dict[str, Any]:
    plain = route(
        name="r-2", path_prefix="/tiles/", route_kind="idempotent", service="map"
    )
    return {
        "version": 7,
        "route_table": list(routes) or [route(), plain],
        "services": [
            {"name": "llm", "max_connections": 9, "engine_id": {"kv_capacity": 900}},
            {"name": "map", "max_connections": 9},
        ],
        "limits": {"max_body_bytes": 1000},
        "tenants": [{"name": "foresters", "api_keys": [KEY], "priority": 2}],
        **fields,
    }


def request(path: str = "/trees/1", *lines: str) -> bytes:
    head = [
        f"POST {path} HTTP/1.1",
        "Host: trees.example",
        "X-Attempt-Id: a1",
        "X-Deadline-Ms: 3000",
        f"Authorization: Token {KEY}",
        "Content-Length: 2",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n{}"


def event(number: int, text: str = "leaf") -> bytes:
    return f"id: {number}\ndata: {text}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Engine-Signature: s1\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"


def response(body: bytes, status: bytes = b"200 OK", *lines: bytes) -> bytes:
    head = [
        b"HTTP/1.1 " + status,
        b"X-Attempt-Id: a1",
        b"X-Engine-Signature: s1",
        b"Content-Length: %d" % len(body),
        *lines,
    ]
    return b"\r\n".join(head) + b"\r\n\r\n" + body


Upstream = Callable[[Any, bytes, int], Awaitable[None]]
"""Responds to a request; gets the socket, the request and its index from 0."""


class _Directory:
    hosts_by_name = {"b": Host("b", "b:1", "bole", "i")}

    def owner(self, pool: str) -> Ownership:
        return Ownership("b", "b:1", 0)


class _GrantingLinks:
    """Fake links that grant each registration at once.

    Each grant names another upstream, unless names has the next ones; the last one of
    names is used for all later grants, and so with versions. With refused_as, requests
    that wait again are refused for that reason. started_seconds is how long it takes to
    report each sending after the first; grants are valid for valid_ms.
    Without grants, all requests wait; incarnation is that of all upstreams.
    """

    def __init__(self, address: str) -> None:
        self.sent: list[Any] = []
        self.names: list[str] = []
        self.versions: list[str] = [""]
        self.refused_as = ""
        self.started_seconds = 0.0
        self.valid_ms = 1000
        self.grants = True
        self.incarnation = "0"
        self.coordinator: Any = None
        self.address = address

    async def async_send(self, address: str, message: Any) -> bool:
        self.sent.append(message)
        if isinstance(message, messages.Started) and len(self.of(messages.Started)) > 1:
            await curio.sleep(self.started_seconds)
        again = isinstance(message, messages.Returned) and message.still_waiting
        if not self.grants:
            return True
        if again and self.refused_as:
            await self._async_refuse(message.request_id)
        elif isinstance(message, messages.Register) or again:
            await self._async_grant(message.request_id)
        return True

    async def _async_grant(self, request_id: str) -> None:
        grant = messages.Grant(
            request_id=request_id,
            pool="llm",
            epoch=0,
            upstream=self._next_name(),
            address=self.address,
            upstream_incarnation=self.incarnation,
            valid_ms=self.valid_ms,
            version=self.versions.pop(0) if self.versions[1:] else self.versions[0],
        )
        await self.coordinator.registry.async_on_grant("b", grant)

    async def _async_refuse(self, request_id: str) -> None:
        refusal = messages.Refusal(
            request_id=request_id,
            pool="llm",
            reason=self.refused_as,
            retry_after_ms=500,
        )
        await self.coordinator.registry.async_on_refusal("b", refusal)

    def _next_name(self) -> str:
        if len(self.names) > 1:
            return self.names.pop(0)
        return self.names[0] if self.names else f"i-{len(self.sent)}"

    def of(self, cls: type) -> list[Any]:
        return [message for message in self.sent if isinstance(message, cls)]


class _ConfigView:
    version = 1
    in_force_since = 0.0

    def __init__(self, config: Any) -> None:
        self.config = config


class EntryHost(NamedTuple):
    port: int
    links: _GrantingLinks
    requests: list[bytes]
    context: Context
    coordinator: EntryCoordinator
    server: HttpServer

    async def async_ask(self, data: bytes, seconds: float = 1.0) -> bytes:
        """Send a request; return data until the last chunk, a close or a timeout."""
        sock = await curio.open_connection("127.0.0.1", self.port)
        received = b""
        async with sock:
            await sock.sendall(data)
            async with curio.ignore_after(seconds):
                while part := await _async_receive(sock):
                    received += part
                    if received.endswith(LAST_CHUNK):
                        break
        return received


async def _async_receive(sock: Any) -> bytes:
    try:
        return await sock.recv(65536)
    except ConnectionResetError:
        return b""


async def _async_serve(listener: Any, upstream: Upstream, got: list[bytes]) -> None:
    async def async_one(sock: Any) -> None:
        async with sock:
            while data := await sock.recv(65536):
                got.append(data)
                await upstream(sock, data, len(got) - 1)
                if sock.fileno() < 0:
                    return

    while True:
        sock, _ = await listener.accept()
        await curio.spawn(async_one, sock, daemon=True)


@asynccontextmanager
async def entry_host(
    upstream: Upstream,
    configuration: dict[str, Any] | None = None,
    quota: QuotaGate | None = None,
    limits: Limits | None = None,
    body_seconds: float = 2.0,
    server_limits: ServerLimits = LIMITS,
    stream_versions: StreamVersions | None = None,
    crashes: CrashWatch | None = None,
    upstreams: DepartingView | None = None,
    idle_seconds: float = 0.5,
    retries: RetryBudget | None = None,
    shutdown: float = 5.0,
) -> AsyncIterator[EntryHost]:
    """Run an entry host of the platform with one upstream."""
    limits = limits or Limits()
    async with AsyncExitStack() as stack:
        listener = curio.tcp_server_socket("127.0.0.1", 0, backlog=BACKLOG)
        stack.push_async_callback(listener.close)
        got: list[bytes] = []
        task = await curio.spawn(_async_serve, listener, upstream, got)
        stack.push_async_callback(task.cancel)
        links = _GrantingLinks(f"127.0.0.1:{listener.getsockname()[1]}")
        clock = RuntimeClock()
        connections = ConnectionPool(clock, max_idle=2, allow_close_delimited=True)
        stack.push_async_callback(connections.async_close)
        config = parse_configuration(configuration or document(), 1)
        context = Context(
            host="a",
            timings=Timings(
                upstream_idle=idle_seconds, body=body_seconds, shutdown=shutdown
            ),
            clock=clock,
            metrics=fakes.FakeMetrics(),
            links=links,
            lease=fakes.FakeLease(),
            config=_ConfigView(config),
            directory=_Directory(),
            control=fakes.FakeControl(),
            dialect=PlatformDialect(),
            notices=UpstreamNotices(),
            connections=connections,
            quota=quota,
            response_times=ResponseTimes(),
            stream_versions=stream_versions,
            crashes=crashes,
            upstreams=upstreams,
        )
        claims = ClaimClient(context, "i1")
        coordinator = EntryCoordinator(context, limits, claims, retries)
        links.coordinator = coordinator
        server_limits = server_limits._replace(connections=limits.connections)
        served = serving(coordinator.pipeline.async_serve, server_limits)
        server, port = await stack.enter_async_context(served)
        yield EntryHost(port, links, got, context, coordinator, server)
