"""Log requests that the server refuses by itself, and ends of responses, as events."""

from bitterntiller.components.http.errors import BadRequestError
from bitterntiller.components.http.exchange import ServerConnection
from bitterntiller.components.http.models import RequestHead
from bitterntiller.core import events

MAX_PATH_LENGTH = 100


def log_rejection(
    connection: ServerConnection, error: BadRequestError, head: RequestHead | None
) -> None:
    """Log a request that no handler has answered; head is None if it wasn't parsed."""
    events.emit(
        "request-rejected",
        status=error.status,
        detail=error.text,
        peer=connection.peer,
        requests_before=connection.requests,
        method=head.method if head else "",
        path=head.path[:MAX_PATH_LENGTH] if head else "",
    )


def log_end_during_request(serial: int, size: int, undelivered: int) -> None:
    """Log that a close ended a response before the upstream had the whole request."""
    events.emit(
        "response-ended-during-request",
        connection=serial,
        request_bytes=size,
        undelivered=undelivered,
    )
