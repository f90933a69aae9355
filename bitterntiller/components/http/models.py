"""Data of HTTP requests and responses."""

from enum import StrEnum
from typing import NamedTuple, Protocol

Headers = list[tuple[bytes, bytes]]
"""Header names are in lower case, as h11 returns them."""


class Framing(StrEnum):
    """How the end of a request's body is determined."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"


class RequestHead(NamedTuple):
    """The request line and headers of a request; target includes the query."""

    method: str
    target: str
    headers: Headers
    http_version: bytes

    @property
    def path(self) -> str:
        """Return the target without the query."""
        return self.target.partition("?")[0]

    @property
    def declared_bytes(self) -> int:
        """Return the length that the request states for its body, 0 without one."""
        if self.framing is not Framing.LENGTH:
            return 0
        return int(header(self.headers, b"content-length") or 0)

    @property
    def framing(self) -> Framing:
        """Return how the end of the body is determined."""
        if header(self.headers, b"transfer-encoding") is not None:
            return Framing.CHUNKED
        if header(self.headers, b"content-length") is not None:
            return Framing.LENGTH
        return Framing.NONE


class ResponseHead(NamedTuple):
    """The status and the headers of a response, and the text of its status line."""

    status: int
    headers: Headers
    reason: str = ""


class HttpRequest(NamedTuple):
    """A request with its complete body, for ports that serve small documents."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


class HttpResponse(NamedTuple):
    """A response with its complete body."""

    status: int
    headers: Headers
    body: bytes


class RequestHandler(Protocol):
    """Handles requests with their complete bodies."""

    async def async_handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        ...


def header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, None if it is missing."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None
