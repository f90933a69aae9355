"""Errors of the HTTP server and client."""

from bitterntiller.core.errors import CodedError

MAX_TEXT = 500
"""Characters of the text of an error; h11 quotes a whole line of the peer in it."""


class HttpError(CodedError):
    """Base class of errors on an HTTP connection."""

    code = "http"

    def __init__(self, text: str) -> None:
        super().__init__(text[:MAX_TEXT])


class CallerGoneError(HttpError):
    """Raised when the caller closed the connection or stopped reading."""

    code = "caller-gone"


class BadRequestError(HttpError):
    """Raised for a request that can't be served; status is the HTTP status."""

    code = "bad-request"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class ConnectRefusedError(HttpError):
    """Raised when no connection was opened, so that nothing was sent."""

    code = "connect-refused"


class IncompleteResponseError(HttpError):
    """Raised when the connection fails before the response is complete."""

    code = "broken-answer"
