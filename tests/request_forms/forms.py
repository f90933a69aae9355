"""Forms of a request on the wire, with what RFC 9110 and RFC 9112 require for each."""

from typing import NamedTuple

BODY_LIMIT = 1000
HEAD_LIMIT = 8192

PATH = "{path}"
UNKNOWN_PATH = "/none/1"
HOST = "Host: trees.example"
CHUNKED = "Transfer-Encoding: chunked"
LENGTH = "Content-Length: 2"
BODY = b"{}"
CHUNKS = b"2\r\n{}\r\n0\r\n\r\n"


class Form(NamedTuple):
    """A request, and what the caller gets for it.

    statuses are those of the responses in order; runs counts the requests that reach
    the upstream; kept is whether the connection then carries another request.
    """

    name: str
    data: bytes
    statuses: tuple[int, ...] = (200,)
    runs: int = 1
    kept: bool = True


def head(
    *lines: str,
    method: str = "POST",
    target: str = PATH,
    version: str = "1.1",
    host: str = HOST,
) -> bytes:
    """Return a header section; {path} and {authorization} are left to be filled in."""
    fields = [line for line in (host, "{authorization}", *lines) if line]
    text = "\r\n".join([f"{method} {target} HTTP/{version}", *fields])
    return text.encode("latin-1") + b"\r\n\r\n"


def refused(name: str, data: bytes, status: int, kept: bool = False) -> Form:
    """Return a form that is refused without being sent to an upstream."""
    return Form(name, data, (status,), 0, kept)


def fill(data: bytes, path: str, authorization: str) -> bytes:
    """Return the bytes of a request for a path and a caller's credentials."""
    text = data.replace(b"{authorization}", authorization.encode("utf-8"))
    return text.replace(b"{path}", path.encode())


def _padded(size: int) -> bytes:
    """Return a request whose header section has a number of bytes."""
    empty = head(LENGTH, "X-Long: ")
    return head(LENGTH, "X-Long: " + "b" * (size - len(empty))) + BODY


SERVED = (
    Form("length", head(LENGTH) + BODY),
    Form("chunked", head(CHUNKED) + CHUNKS),
    Form("chunked in capitals", head("TRANSFER-ENCODING: CHUNKED") + CHUNKS),
    Form("several chunks", head(CHUNKED) + b"1\r\n{\r\n1\r\n}\r\n0\r\n\r\n"),
    Form("chunk extension", head(CHUNKED) + b'2;a=b;c="d"\r\n{}\r\n0;e\r\n\r\n'),
    Form("chunk size with zeros", head(CHUNKED) + b"0002\r\n{}\r\n000\r\n\r\n"),
    Form("trailers", head(CHUNKED, "Trailer: X-T") + CHUNKS[:-2] + b"X-T: 1\r\n\r\n"),
    Form("empty chunk list", head(CHUNKED) + b"0\r\n\r\n"),
    Form("expect", head(LENGTH, "Expect: 100-continue") + BODY, (100, 200)),
    Form("expect, chunked", head(CHUNKED, "Expect: 100-Continue") + CHUNKS, (100, 200)),
    Form("length at limit", head(f"Content-Length: {BODY_LIMIT}") + bytes(BODY_LIMIT)),
    Form(
        "chunk at limit",
        head(CHUNKED) + b"3e8\r\n" + bytes(BODY_LIMIT) + b"\r\n0\r\n\r\n",
    ),
    Form(
        "chunk below limit",
        head(CHUNKED) + b"3e7\r\n" + bytes(BODY_LIMIT - 1) + b"\r\n0\r\n\r\n",
    ),
    Form("equal lengths", head(LENGTH, LENGTH) + BODY),
    Form("list of equal lengths", head("Content-Length: 2, 2") + BODY),
    Form("empty line before", b"\r\n" + head(LENGTH) + BODY),
    Form("empty lines before", b"\r\n\r\n" + head(LENGTH) + BODY),
    Form(
        "empty line between", (head(LENGTH) + BODY + b"\r\n") * 2, (200, 200), 2, True
    ),
    Form("absolute form", head(LENGTH, target="http://trees.example{path}") + BODY),
    Form(
        "absolute form, other Host",
        head(LENGTH, target="http://trees.example{path}", host="Host: o.example")
        + BODY,
    ),
    Form(
        "absolute form, capitals and port",
        head(LENGTH, target="HTTP://Trees.Example:8221{path}") + BODY,
    ),
    Form("pipelined", (head(LENGTH) + BODY) * 2, (200, 200), 2),
    Form("pipelined, chunked", (head(CHUNKED) + CHUNKS) * 2, (200, 200), 2),
    Form("Host with port", head(LENGTH, host="Host: trees.example:8221") + BODY),
    Form("Host in capitals", head(LENGTH, host="HOST: TREES.EXAMPLE") + BODY),
    Form("header section at limit", _padded(HEAD_LIMIT - 200)),
    Form("sixty fields", head(LENGTH, *(f"X-F{n}: v" for n in range(60))) + BODY),
    Form("obs-text in a value", head(LENGTH, "X-O: \xe9\xff") + BODY),
    Form("empty value", head(LENGTH, "X-O:") + BODY),
    Form("tabs around a value", head(LENGTH, "X-O:\ta b\t") + BODY),
    Form("folded line", head(LENGTH, "X-O: a\r\n b") + BODY),
    Form("bare line feeds", head(LENGTH).replace(b"\r\n", b"\n") + BODY),
    Form("query", head(LENGTH, target="{path}?a=b&c=%20") + BODY),
    Form("GET", head(method="GET")),
    Form("GET with a body", head(LENGTH, method="GET") + BODY),
    Form("HEAD", head(method="HEAD")),
    Form("OPTIONS", head(method="OPTIONS")),
    Form("DELETE", head(method="DELETE")),
    Form("extension method", head(LENGTH, method="PURGE") + BODY),
    Form("minor version above", head(LENGTH, version="1.2") + BODY),
    Form("upgrade", head(LENGTH, "Connection: upgrade", "Upgrade: h2c") + BODY),
    Form("deadline of days", head(LENGTH, "X-Deadline-Ms: 999999999") + BODY),
    Form("close", head(LENGTH, "Connection: close") + BODY, kept=False),
    Form("HTTP/1.0", head(LENGTH, version="1.0") + BODY, kept=False),
    Form(
        "HTTP/1.0, keep-alive",
        head(LENGTH, "Connection: keep-alive", version="1.0") + BODY,
        kept=False,
    ),
)
"""Valid requests for a known path, all of which must be served."""

ANSWERED = (
    Form("OPTIONS *", head(method="OPTIONS", target="*"), (204,), 0),
    refused("unknown path", head(LENGTH, target=UNKNOWN_PATH) + BODY, 404, True),
    refused(
        "unknown path, chunked", head(CHUNKED, target=UNKNOWN_PATH) + CHUNKS, 404, True
    ),
    refused(
        "unknown path, no body", head(method="GET", target=UNKNOWN_PATH), 404, True
    ),
    refused(
        "unknown path, expect",
        head(LENGTH, "Expect: 100-continue", target=UNKNOWN_PATH),
        404,
    ),
    refused(
        "unknown path, expect, body sent at once",
        head(LENGTH, "Expect: 100-continue", target=UNKNOWN_PATH) + BODY,
        404,
    ),
    refused(
        "unknown path, incomplete body",
        head("Content-Length: 9", target=UNKNOWN_PATH) + BODY,
        404,
    ),
)
"""Requests that the host answers by itself."""

REFUSED = (
    refused(
        "length over limit",
        head(f"Content-Length: {BODY_LIMIT + 1}") + bytes(BODY_LIMIT),
        413,
    ),
    refused(
        "chunk over limit",
        head(CHUNKED) + b"3e9\r\n" + bytes(BODY_LIMIT + 1) + b"\r\n",
        413,
    ),
    refused(
        "chunk size of 65 bits",
        head(CHUNKED) + b"1" + b"0" * 16 + b"\r\n" + bytes(BODY_LIMIT + 1),
        413,
    ),
    refused("chunk size of 21 digits", head(CHUNKED) + b"0" * 20 + b"2\r\n{}\r\n", 400),
    refused("chunk size not a number", head(CHUNKED) + b"zz\r\n{}\r\n", 400),
    refused("chunk longer than its size", head(CHUNKED) + b"2\r\n{}xx0\r\n\r\n", 400),
    refused("both lengths", head(CHUNKED, LENGTH) + CHUNKS, 400),
    refused("two lengths", head(LENGTH, "Content-Length: 3") + BODY, 400),
    refused("negative length", head("Content-Length: -2") + BODY, 400),
    refused("length not a number", head("Content-Length: two") + BODY, 400),
    refused("no Host", head(LENGTH, host="") + BODY, 400),
    refused("two Hosts", head(LENGTH, HOST) + BODY, 400),
    refused("invalid Host", head(LENGTH, host="Host: a b") + BODY, 400),
    refused("space before colon", head(LENGTH, "X-A : b") + BODY, 400),
    refused("space in the target", head(LENGTH, target="{path} x") + BODY, 400),
    refused("HTTP/1.0, chunked", head(CHUNKED, version="1.0") + CHUNKS, 400),
    refused("unknown coding", head("Transfer-Encoding: gzip, chunked") + CHUNKS, 501),
    refused("identity", head("Transfer-Encoding: identity", LENGTH) + BODY, 501),
    refused("CONNECT", head(method="CONNECT", target="trees.example:80"), 501),
    refused("HTTP/2.0", head(LENGTH, version="2.0") + BODY, 505),
    refused("unknown expectation", head(LENGTH, "Expect: 200-ok") + BODY, 417),
    refused("long header section", head(LENGTH, "X-A: " + "b" * 9000) + BODY, 431),
    refused("long target", head(LENGTH, target="{path}" + "a" * 9000) + BODY, 414),
)
"""Requests that are invalid or over a limit."""

FORMS_BY_NAME = {form.name: form for form in (*SERVED, *ANSWERED, *REFUSED)}
