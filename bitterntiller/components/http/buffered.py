"""Serve requests with buffered bodies and responses."""

from types import TracebackType
from typing import Self

from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import HttpRequest, RequestHandler

SMALL_BODY_BYTES = 4096
"""A body or response of up to this size is held whatever the others take."""

BUSY_STATUS = 503
BUSY_TEXT = b"too many long bodies at the same time; send this one again\n"
_BUSY_HEADERS = [(b"content-type", b"text/plain"), (b"retry-after", b"1")]


class BodyBudget:
    """Bytes of the bodies that a port holds: those of requests and of responses."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def hold(self) -> "_HeldBody":
        """Return the share of one exchange, a context that gives it back."""
        return _HeldBody(self)


class _HeldBody:
    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self._size = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._budget.held_bytes -= self._size

    def grow_to(self, size: int) -> bool:
        """Hold size bytes in all; return False if there is no room for them."""
        more = size - self._size
        if size <= SMALL_BODY_BYTES or more <= 0:
            return True
        if self._budget.held_bytes + more > self._budget.max_bytes:
            return False
        self._budget.held_bytes += more
        self._size = size
        return True


async def async_serve_buffered(
    exchange: Exchange,
    handler: RequestHandler,
    body_limit: int,
    timeout: float,
    budget: BodyBudget,
) -> None:
    """Read the complete request and send the handler's response.

    Answer 503 if the body or the response doesn't fit into the budget. Raise
    BadRequestError if the body exceeds body_limit bytes or timeout seconds.
    """
    with budget.hold() as held:
        body = await exchange.async_reserved_body(body_limit, timeout, held.grow_to)
        if body is None:
            await _async_respond_busy(exchange)
            return
        head = exchange.head
        path, _, query = head.target.partition("?")
        request = HttpRequest(head.method, path, query, head.headers, body)
        response = await handler.async_handle(request)
        if not held.grow_to(len(body) + len(response.body)):
            await _async_respond_busy(exchange)
            return
        await exchange.async_respond(response.status, response.headers, response.body)


async def _async_respond_busy(exchange: Exchange) -> None:
    await exchange.async_respond(BUSY_STATUS, _BUSY_HEADERS, BUSY_TEXT)
