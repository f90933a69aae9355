"""Sends a change of the configuration until its outcome is known."""

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
    """A change to send; the same id and base version at each sending."""

    change_id: str
    base_version: int
    config: dict[str, Any]


class ApplyResult(NamedTuple):
    """How a change ended; value is the last answer's object."""

    exit_code: int
    value: dict[str, Any]
    tries: int


async def async_apply(
    client: OperatorClient, change: ConfigChange, tries: int, first_pause: float
) -> ApplyResult:
    """Send a change, and again with the same id while its outcome is open.

    The ports are tried in turn. first_pause is in seconds; each pause is twice
    as long as the one before, up to a bound.
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
            # Also after a refusal by one port, an earlier copy may be committed.
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
    # The outcome of an id is kept with a digest of these bytes, so that they
    # must come out the same when the command is run again after a lost answer.
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
