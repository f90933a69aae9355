"""Sends an order to an upstream."""

import json
from collections.abc import Callable

from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.orders import const
from bitterntiller.components.orders.errors import OrderMismatchError
from bitterntiller.components.orders.models import Order, OrderOutcome

_HEADERS = [(b"content-type", b"application/json")]


async def async_send_order(
    order: Order, may_send: Callable[[], bool], timeout: float
) -> OrderOutcome:
    """Send an order and return the outcome; timeout in seconds.

    may_send is called once the connection is established, just before the first byte:
    an owner that was frozen while connecting must then find its lease expired.
    """
    try:
        exchange = await ClientExchange.async_open(order.address, const.CONNECT_TIMEOUT)
    except ConnectRefusedError as error:
        return OrderOutcome(const.STATE_NOT_SENT, error.text)
    try:
        if not may_send():
            return OrderOutcome(const.STATE_NOT_SENT, "no lease of the pool")
        return await _async_exchange(exchange, order, timeout)
    except (IncompleteResponseError, OrderMismatchError) as error:
        return OrderOutcome(const.STATE_UNKNOWN, error.text)
    finally:
        await exchange.async_close()


async def _async_exchange(
    exchange: ClientExchange, order: Order, timeout: float
) -> OrderOutcome:
    body = {
        "order_id": order.order_id,
        "kind": order.kind,
        "argument": order.argument,
        "fence": order.fence,
    }
    data = json.dumps(body).encode()
    await exchange.async_request("POST", const.TARGET, _HEADERS, data, timeout)
    head = await exchange.async_head(timeout)
    response = await exchange.async_body(timeout, const.MAX_RESPONSE_BYTES)
    return parse_response(order, head.status, response)


def parse_response(order: Order, status: int, body: bytes) -> OrderOutcome:
    """Return the outcome in an upstream's response.

    Raise OrderMismatchError if the response names another order.
    """
    text = f"{status} {body[:200].decode('utf-8', 'replace')}"
    if status == 409:
        return OrderOutcome(const.STATE_STALE, text)
    if 400 <= status < 500:
        return OrderOutcome(const.STATE_REFUSED, text)
    if status != 200:
        return OrderOutcome(const.STATE_UNKNOWN, text)
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return OrderOutcome(const.STATE_UNKNOWN, text)
    if not isinstance(document, dict) or document.get("order_id") != order.order_id:
        raise OrderMismatchError(f"the answer is not to {order.order_id}: {text}")
    return OrderOutcome(const.STATE_DONE, text)
