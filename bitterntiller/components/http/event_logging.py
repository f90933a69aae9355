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


def log_closing_end(
    serial: int, sent: int, unacknowledged: int, sending: bool, reset: bool
) -> None:
    """Log that the close of a connection has ended the response to a long request."""
    events.emit(
        "response-ended-by-close",
        connection=serial,
        request_bytes=sent,
        unacknowledged=unacknowledged,
        sending=sending,
        reset=reset,
    )
