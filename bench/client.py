"""An HTTP client for measurements that sends one request per connection."""

import json
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple

import curio
import h11

from standins import responses
from standins.request_framing import CHUNKED_SHARE, encode_request
from tests.scenarios.caller import response_text

READ_BYTES = 262144


class Request(NamedTuple):
    """A request; method, target and body identify its runs."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Result(NamedTuple):
    """The response to a request; times in seconds from before the connection is opened.

    status is 0 if no response arrived; sent is true if any byte of the request was
    sent. cut is true if the caller can see that the response is incomplete.
    """

    sent: bool
    status: int
    outcome: str
    reason: str
    first_s: float
    total_s: float
    cut: bool
    body: bytes


async def async_request(
    port: int, request: Request, timeout: float, chunked_share: float = CHUNKED_SHARE
) -> Result:
    """Send a request on its own connection and read the response."""
    started_at = time.perf_counter()
    received = _PartialResponse()
    try:
        async with curio.timeout_after(timeout):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await _async_exchange(sock, request, received, chunked_share)
    except (OSError, h11.ProtocolError, curio.TaskTimeout):
        received.cut = True
    now = time.perf_counter()
    body = b"".join(received.parts)
    reason = ""
    if received.outcome in ("not-run", "unknown") and body.startswith(b"{"):
        reason = json.loads(body).get("reason", "") if not received.cut else ""
    first = (received.first_at or now) - started_at
    return Result(
        received.sent,
        received.status,
        received.outcome,
        reason,
        first,
        now - started_at,
        received.cut,
        body,
    )


class _PartialResponse:
    """The part of the response that has arrived so far."""

    def __init__(self) -> None:
        self.sent = False
        self.status = 0
        self.outcome = ""
        self.first_at = 0.0
        self.cut = False
        self.parts: list[bytes] = []


async def _async_exchange(
    sock: Any, request: Request, received: _PartialResponse, chunked_share: float
) -> None:
    http = h11.Connection(h11.CLIENT)
    fields = {"Host": "127.0.0.1", "Connection": "close", **request.headers}
    data = encode_request(
        http, request.method, request.target, fields, request.body, chunked_share
    )
    received.sent = True
    await sock.sendall(data)
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await sock.recv(READ_BYTES))
        elif isinstance(event, h11.Response):
            received.status = event.status_code
            values = dict(event.headers)
            received.outcome = values.get(b"x-outcome", b"").decode()
        elif isinstance(event, h11.Data):
            received.first_at = received.first_at or time.perf_counter()
            received.parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return
        else:
            received.cut = True
            return


def is_correct(request: Request, result: Result) -> bool:
    """Return whether a body is the complete and correct response to a request."""
    body = result.body
    if not request.target.startswith("/v1/"):
        expected = responses.plain_response(
            request.method, request.target, request.body
        )
        return body == expected
    streamed = b"data: " in body[:100]
    if streamed and not body.endswith(b"data: [DONE]\n\n"):
        return False
    return response_text(body) == responses.engine_text(json.loads(request.body))


async def async_each(
    items: Iterable[Any], workers: int, work: Callable[[Any], Awaitable[None]]
) -> None:
    """Process items with a bounded number of concurrent workers."""
    iterator = iter(items)

    async def async_worker() -> None:
        for item in iterator:
            await work(item)

    async with curio.TaskGroup() as group:
        for _ in range(workers):
            await group.spawn(async_worker)
