"""An entry host of the platform that the forms of a request are sent to."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from tests.platform.builders import KEY, document, entry_host
from tests.request_forms.forms import BODY_LIMIT
from tests.request_forms.hosts import PATIENT, FormHost, echo_response

SIGNATURE = b"X-Engine-Signature: s1"


@asynccontextmanager
async def platform_host() -> AsyncIterator[FormHost]:
    """Run an entry host of the platform's dialect."""

    async def async_respond(sock: Any, data: bytes, index: int) -> None:
        await sock.sendall(echo_response(data, b"x-attempt-id", SIGNATURE))

    configuration = document(limits={"max_body_bytes": BODY_LIMIT})
    async with entry_host(async_respond, configuration, server_limits=PATIENT) as entry:
        key = f"Authorization: Token {KEY}"
        yield FormHost(entry.port, "/tiles/1", key, entry.requests)
