"""Data of HTTP requests and answers."""

from typing import NamedTuple, Protocol

Headers = list[tuple[bytes, bytes]]
"""Names in lower case, as h11 gives them."""


class RequestHead(NamedTuple):
    """The first line and the headers of a request; target includes the query."""

    method: str
    target: str
    headers: Headers
    http_version: bytes

    @property
    def path(self) -> str:
        """Return the target without the query."""
        return self.target.partition("?")[0]


class ResponseHead(NamedTuple):
    """The status and the headers of an answer."""

    status: int
    headers: Headers


class HttpRequest(NamedTuple):
    """A whole request with its body, for ports that serve small documents."""

    method: str
    path: str
    query: str
    headers: Headers
    body: bytes


class HttpResponse(NamedTuple):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class RequestHandler(Protocol):
    """Answers whole requests."""

    async def async_handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a request."""
        ...


def header(headers: Headers, name: bytes) -> str | None:
    """Return the first value of a header, None when it is not there."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None
