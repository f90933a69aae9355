"""Log the requests that the HTTP server refuses by itself as events."""

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
