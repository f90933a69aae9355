"""Entry hosts that the forms of a request are sent to."""

import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from tests.components.entry import deployment
from tests.components.entry.test_edges import TOKEN
from tests.components.http.builders import LIMITS
from tests.request_forms.forms import BODY_LIMIT

PATIENT = LIMITS._replace(head_timeout=5.0, keep_alive=5.0)
"""The table is about forms, not about times."""


class FormHost(NamedTuple):
    """An entry host under test and the requests that its upstream has received."""

    port: int
    path: str
    authorization: str
    received: list[bytes]


def echo_response(data: bytes, id_header: bytes, *lines: bytes) -> bytes:
    """Return a response to a request that echoes the value of its id header."""
    found = re.search(rb"(?i)\r\n%b: ([^\r]*)" % id_header, data)
    echoed = [id_header + b": " + found[1]] if found else []
    body = b"" if data.startswith(b"HEAD") else b"ok"
    head = [b"HTTP/1.1 200 OK", *echoed, *lines, b"Content-Length: 2", b"", b""]
    return b"\r\n".join(head) + body


@asynccontextmanager
async def native_host() -> AsyncIterator[FormHost]:
    """Run an entry host of the native dialect."""

    async def async_respond(sock: Any, data: bytes) -> None:
        await sock.sendall(echo_response(data, b"x-request-id"))

    async with deployment.entry_host(
        async_respond, PATIENT, body_bytes=BODY_LIMIT
    ) as entry:
        token = f"Authorization: Bearer {TOKEN}"
        yield FormHost(entry.port, "/v1/chat", token, entry.requests)
