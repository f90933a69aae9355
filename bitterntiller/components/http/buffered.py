"""Serves whole requests: reads the body, answers with a whole document."""

from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import HttpRequest, RequestHandler


async def async_serve_buffered(
    exchange: Exchange, handler: RequestHandler, body_limit: int, timeout: float
) -> None:
    """Read the whole request and send the handler's answer.

    body_limit is in bytes, timeout in seconds; raise BadRequestError beyond.
    """
    body = await exchange.async_body(body_limit, timeout)
    head = exchange.head
    path, _, query = head.target.partition("?")
    request = HttpRequest(head.method, path, query, head.headers, body)
    response = await handler.async_handle(request)
    await exchange.async_respond(response.status, response.headers, response.body)
