"""The headers of a relayed response."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import ActiveRequest
from bitterntiller.components.http.models import Headers, ResponseHead, header
from bitterntiller.core.outcomes import Outcome

EVENT_STREAM = "text/event-stream"
FIRST_FAILED_STATUS = 400


def outcome_of(status: int) -> Outcome:
    """Return the outcome of a complete response with this status."""
    return Outcome.FAILED if status >= FIRST_FAILED_STATUS else Outcome.DONE


def end_to_end_headers(head: ResponseHead) -> Headers:
    """Return the end-to-end headers of a response.

    A Content-Length is dropped if the body is chunked, where it has no meaning, and for
    event streams, where it may count bytes after the end marker. If it were forwarded,
    a complete response would be truncated.
    """
    dropped = const.HOP_HEADERS - {b"content-length"}
    dropped = dropped | _named_by_connection(head.headers)
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names or is_event_stream(head):
        dropped = dropped | {b"content-length"}
    return [item for item in head.headers if item[0] not in dropped]


def response_headers(active: ActiveRequest, head: ResponseHead) -> Headers:
    """Return the headers of a relayed response for the caller.

    The outcome header applies only to a complete response; a truncated one has none.
    """
    dropped = const.OWN_HEADERS | {const.HEADER_ADMITTED}
    kept = [item for item in end_to_end_headers(head) if item[0] not in dropped]
    kept.append((const.HEADER_REQUEST_ID, active.upstream_request_id.encode()))
    kept.append((const.HEADER_OUTCOME, outcome_of(head.status).encode()))
    return kept


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response is a stream of server-sent events."""
    content_type = header(head.headers, b"content-type") or ""
    return content_type.lower().startswith(EVENT_STREAM)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the hop-by-hop headers that the Connection header lists."""
    value = header(headers, b"connection")
    if value is None:
        return frozenset()
    names = value.lower().encode("latin-1").split(b",")
    return frozenset(name.strip() for name in names) - {b"content-length"}
