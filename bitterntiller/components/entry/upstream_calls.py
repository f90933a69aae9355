"""Headers and calls of the native dialect to upstreams: request, resume, cancel."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import ActiveRequest
from bitterntiller.components.http.client import ClientExchange, async_fetch_on
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.http.models import Headers, ResponseHead, header
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connector

STATUS_OK = 200
PATH_REQUESTS = "/v1/requests/"


def stream_target(request_id: str) -> str:
    """Return the target of the stream of a request at its upstream."""
    return f"{PATH_REQUESTS}{request_id}/stream"


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
    active: ActiveRequest,
    last_id: int,
    connector: Connector,
    connect_timeout: float,
    timeout: float,
) -> ClientExchange | None:
    """Return an exchange with the stream after an event, None if it isn't available."""
    try:
        connected = await connector.async_acquire(active.destination, connect_timeout)
    except ConnectRefusedError:
        return None
    client = connected.client
    target = stream_target(active.upstream_request_id)
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


async def async_cancel_work(destination: Destination, connector: Connector) -> bool:
    """Cancel a request at its upstream; return whether the upstream confirmed it."""
    request_id = destination.request_id
    target = f"{PATH_REQUESTS}{request_id}"
    headers = [(const.HEADER_REQUEST_ID, request_id.encode())]
    timeout = const.CANCEL_TIMEOUT
    try:
        connected = await connector.async_acquire(destination, timeout)
        response = await async_fetch_on(
            connected.client,
            "DELETE",
            target,
            headers,
            b"",
            timeout,
            const.MAX_CANCEL_BYTES,
        )
    except (ConnectRefusedError, IncompleteResponseError):
        return False
    return response.status < 300
