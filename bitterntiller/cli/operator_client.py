"""Calls to the operator ports of one deployment."""

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
    """An answer of an operator port: its HTTP status and JSON object."""

    status: int
    value: dict[str, Any]


class OperatorClient:
    """Knows the addresses of operator ports, and the key to them."""

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
        """Call one port.

        Raise ConnectRefusedError when nothing can have been sent, and
        BrokenAnswerError when the request may have been carried out though no
        whole answer came.
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
        """Return what the first port that can answer gives.

        Raise UnreachableError, UnauthorizedError, or ToolError for an answer
        that refuses.
        """
        return await self._async_first("GET", path)

    async def async_post(self, path: str, body: bytes) -> dict[str, Any]:
        """Have the first port that can answer carry out what may be repeated.

        Raise what async_get raises.
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
    """Return the object of a good answer; raise a ToolError for another."""
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
