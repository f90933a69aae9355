"""Errors of HTTP towards callers and upstreams."""

from bitterntiller.core.errors import CodedError


class HttpError(CodedError):
    """Base of what goes wrong on an HTTP connection."""

    code = "http"


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
    """Raised when no connection was made: nothing can have been sent."""

    code = "connect-refused"


class IncompleteResponseError(HttpError):
    """Raised when an upstream's answer ended before its end marker."""

    code = "broken-answer"
