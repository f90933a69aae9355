"""Client of the operator ports of one deployment."""

import json
from typing import Any, NamedTuple

from bitterntiller.cli import const
from bitterntiller.cli.errors import ToolError, UnauthorizedError, UnreachableError
from bitterntiller.components.http.client import async_fetch
from bitterntiller.components.http.errors import HttpError
from bitterntiller.components.http.models import Headers

HTTP_UNAUTHORIZED = 401
HTTP_UNAVAILABLE = 503


class OperatorResponse(NamedTuple):
    """Response of an operator port: HTTP status and JSON object."""

    status: int
    value: dict[str, Any]


class OperatorClient:
    """Calls the operator ports with the operator key."""

    def __init__(self, addresses: list[str], key: bytes) -> None:
        self.addresses = addresses
        self._key = key

    async def async_call(
        self,
        address: str,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> OperatorResponse:
        """Send a request to one port.

        Raise ConnectRefusedError when nothing was sent, and IncompleteResponseError
        when the request may have been executed but no complete response arrived.
        """
        lines = [
            (b"host", address.encode()),
            (b"authorization", b"Bearer " + self._key),
            *(headers or []),
        ]
        response = await async_fetch(
            address, method, path, lines, body, const.CALL_TIMEOUT
        )
        return OperatorResponse(response.status, _json_object(response.body))

    async def async_get(self, path: str) -> dict[str, Any]:
        """Return the object from the first available port.

        Raise UnreachableError when no port is available, UnauthorizedError for a
        rejected key, and ToolError for any other refusal.
        """
        return await self._async_first("GET", path)

    async def async_post(self, path: str, body: bytes) -> dict[str, Any]:
        """Post to the first available port.

        A port that breaks off may have executed the request before the next port
        gets it, so the operation must be idempotent. Raise as async_get does.
        """
        return await self._async_first("POST", path, body)

    async def _async_first(
        self, method: str, path: str, body: bytes = b""
    ) -> dict[str, Any]:
        failures = []
        for address in self.addresses:
            try:
                response = await self.async_call(address, method, path, body=body)
            except HttpError as error:
                failures.append(error.text)
                continue
            if response.status < HTTP_UNAVAILABLE:
                return check_response(response)
            failures.append(f"{address}: {response.value.get('text', response.status)}")
        raise UnreachableError("; ".join(failures))


def check_response(response: OperatorResponse) -> dict[str, Any]:
    """Return the object of a successful response; raise a ToolError otherwise."""
    text = str(response.value.get("text", f"HTTP status {response.status}"))
    if response.status == HTTP_UNAUTHORIZED:
        raise UnauthorizedError(text)
    if response.status >= HTTP_UNAVAILABLE:
        raise UnreachableError(text)
    if response.status >= 300:
        raise ToolError(text)
    return response.value


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return value if isinstance(value, dict) else {}
