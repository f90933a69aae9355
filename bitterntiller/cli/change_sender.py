"""Send a configuration change and retry it until its outcome is known."""

import json
from typing import Any, NamedTuple

import curio

from bitterntiller.cli import const
from bitterntiller.cli.operator_client import OperatorClient, OperatorResponse
from bitterntiller.components.http.errors import ConnectRefusedError, HttpError
from bitterntiller.components.operator.const import (
    PATH_CONFIG,
    STATUS_EXPIRED_ID,
    STATUS_UNAVAILABLE,
    STATUS_UNKNOWN,
)

HTTP_OK = 200
HTTP_UNAUTHORIZED = 401
HTTP_CONFLICT = 409
HTTP_INVALID = 422
_FINAL_STATUSES = (HTTP_OK, HTTP_CONFLICT, HTTP_INVALID)


class ConfigChange(NamedTuple):
    """A change to send; each attempt has the same id and base version."""

    change_id: str
    base_version: int
    config: dict[str, Any]


class ApplyResult(NamedTuple):
    """How a change ended; value is the JSON object of the last response."""

    exit_code: int
    value: dict[str, Any]
    tries: int


async def async_apply(
    client: OperatorClient, change: ConfigChange, tries: int, first_pause: float
) -> ApplyResult:
    """Send a change and retry it with the same id until its outcome is known.

    Attempts go to the ports in turn. The first pause between attempts is
    first_pause seconds; each one doubles, up to const.MAX_PAUSE.
    """
    maybe_applied = False
    pause = first_pause
    problems = "no operator port was reached"
    for count in range(1, tries + 1):
        address = client.addresses[(count - 1) % len(client.addresses)]
        try:
            response = await _async_send(client, address, change)
        except ConnectRefusedError as error:
            problems = problems if maybe_applied else error.text
        except HttpError as error:
            maybe_applied = True
            problems = error.text
        else:
            if response.status in _FINAL_STATUSES or (
                response.status < 500 and not maybe_applied
            ):
                return ApplyResult(_exit_code(response), response.value, count)
            # An earlier attempt may still be committed, even if this port refuses it.
            maybe_applied = True
            problems = str(response.value.get("text", f"HTTP status {response.status}"))
        if count < tries:
            await curio.sleep(pause)
            pause = min(2 * pause, const.MAX_PAUSE)
    status = STATUS_UNKNOWN if maybe_applied else STATUS_UNAVAILABLE
    exit_code = const.EXIT_UNKNOWN if maybe_applied else const.EXIT_UNREACHABLE
    return ApplyResult(exit_code, {"status": status, "text": problems}, tries)


async def _async_send(
    client: OperatorClient, address: str, change: ConfigChange
) -> OperatorResponse:
    headers = [
        (b"if-match", f'"{change.base_version}"'.encode()),
        (b"idempotency-key", change.change_id.encode()),
        (b"content-type", b"application/json"),
    ]
    # Control stores the outcome of an id together with a digest of these bytes. They
    # must be identical when the command is run again after a lost response.
    body = json.dumps(change.config, separators=(",", ":")).encode()
    return await client.async_call(address, "PUT", PATH_CONFIG, headers, body)


def _exit_code(response: OperatorResponse) -> int:
    if response.status == HTTP_OK:
        return const.EXIT_OK
    if response.status == HTTP_INVALID:
        return const.EXIT_PROBLEMS
    if response.status == HTTP_UNAUTHORIZED:
        return const.EXIT_UNAUTHORIZED
    if response.value.get("status") == STATUS_EXPIRED_ID:
        return const.EXIT_REFUSED
    if response.status == HTTP_CONFLICT:
        return const.EXIT_CONFLICT
    return const.EXIT_REFUSED
