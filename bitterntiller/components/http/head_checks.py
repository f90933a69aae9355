"""Checks of the heads of requests, as RFC 9110 and RFC 9112 ask, and of responses."""

import re

import h11

from bitterntiller.components.http.errors import BadRequestError
from bitterntiller.components.http.models import Headers

HTTP_MAJOR = b"1."
HTTP_1_0 = b"1.0"
METHOD_CONNECT = b"CONNECT"
EXPECT_CONTINUE = b"100-continue"

_HOST = re.compile(rb"(?:\[[0-9A-Fa-fv.:]+\]|[-._~%!$&'()*+,;=0-9A-Za-z]*)(?::[0-9]*)?")

_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")


def check_head(event: h11.Request, max_bytes: int) -> None:
    """Raise BadRequestError for a head that is invalid or over max_bytes."""
    _check_size(event, max_bytes)
    _check_version(event)
    _check_framing(event)
    _check_host(event)
    _check_expectation(event)


def has_second_status_line(event: h11.Response) -> bool:
    """Return whether a status line is within the head of a response.

    A response that broke off in its head is completed by the next one on its connection
    then, and has the status of one and the fields of the other.
    """
    texts = (event.reason, *(value for _, value in event.headers))
    return any(_STATUS_LINE.search(text) for text in texts)


def _check_size(event: h11.Request, max_bytes: int) -> None:
    """Reject a head over the limit that arrived in one piece.

    h11 checks the limit only while a head is incomplete.
    """
    if len(event.target) > max_bytes:
        raise BadRequestError(414, f"a target over {max_bytes} bytes")
    size = len(event.target) + sum(len(a) + len(b) for a, b in event.headers)
    if size > max_bytes:
        raise BadRequestError(431, f"a head over {max_bytes} bytes")


def _check_version(event: h11.Request) -> None:
    if not event.http_version.startswith(HTTP_MAJOR):
        version = event.http_version.decode("ascii")
        raise BadRequestError(505, f"HTTP/{version} is not supported")
    if event.method == METHOD_CONNECT:
        raise BadRequestError(501, "CONNECT is not supported")


def _check_framing(event: h11.Request) -> None:
    """Reject a request whose end other servers on the way may see elsewhere."""
    names = {name for name, _ in event.headers}
    if b"transfer-encoding" not in names:
        return
    if b"content-length" in names:
        raise BadRequestError(400, "both Content-Length and Transfer-Encoding")
    if event.http_version == HTTP_1_0:
        raise BadRequestError(400, "Transfer-Encoding in HTTP/1.0")


def _check_host(event: h11.Request) -> None:
    for value in _values(event.headers, b"host"):
        if not _HOST.fullmatch(value):
            raise BadRequestError(400, "Host is not a host with an optional port")


def _check_expectation(event: h11.Request) -> None:
    """Reject an unknown expectation; HTTP/1.0 has none, so there it is ignored."""
    if event.http_version == HTTP_1_0:
        return
    for value in _values(event.headers, b"expect"):
        if any(item.strip().lower() != EXPECT_CONTINUE for item in value.split(b",")):
            raise BadRequestError(417, "only the expectation 100-continue is supported")


def _values(headers: Headers, name: bytes) -> list[bytes]:
    return [value for key, value in headers if key == name]
