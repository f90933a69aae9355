"""Serve requests with buffered bodies and responses."""

from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import HttpRequest, RequestHandler


async def async_serve_buffered(
    exchange: Exchange, handler: RequestHandler, body_limit: int, timeout: float
) -> None:
    """Read the complete request and send the handler's response.

    Raise BadRequestError if the body exceeds body_limit bytes or timeout seconds.
    """
    body = await exchange.async_body(body_limit, timeout)
    head = exchange.head
    path, _, query = head.target.partition("?")
    request = HttpRequest(head.method, path, query, head.headers, body)
    response = await handler.async_handle(request)
    await exchange.async_respond(response.status, response.headers, response.body)
