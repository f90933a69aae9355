"""Headers and calls of the native dialect to upstreams: request, resume, cancel."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import ActiveRequest
from bitterntiller.components.http.client import ClientExchange, async_fetch
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.http.models import Headers, ResponseHead, header

STATUS_OK = 200


def request_headers(active: ActiveRequest) -> Headers:
    """Return the headers to forward, with the request id.

    Hop-by-hop headers and those meant for this host are removed.
    """
    received = active.prepared.identified.received
    dropped = const.HOP_HEADERS | const.OWN_HEADERS
    kept = [item for item in received.head.headers if item[0] not in dropped]
    kept.append((const.HEADER_REQUEST_ID, active.request_id.encode()))
    return kept


def matches_request(active: ActiveRequest, head: ResponseHead) -> bool:
    """Return whether a response carries the id of this request.

    Otherwise a caller could get the response to another caller's request, if an
    upstream mixes up responses or one arrives late.
    """
    return header(head.headers, const.HEADER_REQUEST_ID) == active.upstream_request_id


async def async_open_resume(
    active: ActiveRequest, last_id: int, connect_timeout: float, timeout: float
) -> ClientExchange | None:
    """Return an exchange with the stream after an event, None if it isn't available."""
    try:
        client = await ClientExchange.async_open(active.address, connect_timeout)
    except ConnectRefusedError:
        return None
    target = f"/v1/requests/{active.upstream_request_id}/stream"
    headers = [
        (const.HEADER_REQUEST_ID, active.upstream_request_id.encode()),
        (const.HEADER_LAST_EVENT_ID, str(last_id).encode()),
    ]
    try:
        await client.async_request("GET", target, headers, b"", timeout)
        head = await client.async_head(timeout)
        if head.status == STATUS_OK and matches_request(active, head):
            return client
    except IncompleteResponseError:
        pass
    await client.async_close()
    return None


async def async_cancel_work(request_id: str, address: str) -> bool:
    """Cancel a request at its upstream; return whether the upstream confirmed it."""
    target = f"/v1/requests/{request_id}"
    headers = [(const.HEADER_REQUEST_ID, request_id.encode())]
    try:
        response = await async_fetch(
            address, "DELETE", target, headers, b"", const.CANCEL_TIMEOUT
        )
    except (ConnectRefusedError, IncompleteResponseError):
        return False
    return response.status < 300
