"""Send the command to replace a replica and repeat it until the repair is done."""

import json
from typing import Any, NamedTuple

import curio

from bitterntiller.cli import const
from bitterntiller.cli.operator_client import (
    OperatorClient,
    OperatorResponse,
    check_response,
)
from bitterntiller.components.http.errors import ConnectRefusedError, HttpError
from bitterntiller.components.operator.const import (
    PATH_REPAIR,
    STATUS_DONE,
    STATUS_RUNNING,
    STATUS_UNAVAILABLE,
    STATUS_UNKNOWN,
)

HTTP_SERVER_ERROR = 500


class RepairResult(NamedTuple):
    """Status of a repair; value is the JSON object of the last informative response."""

    exit_code: int
    value: dict[str, Any]


async def async_repair(
    client: OperatorClient, repair: dict[str, str], tries: int, pause: float
) -> RepairResult:
    """Send a repair command until it is done, at most tries times, pause seconds apart.

    The leader keeps the command in memory only, so a new leader does not have it until
    it is sent again. Repeating it is safe because it names the replica. Raise a
    ToolError when the command is refused.
    """
    body = json.dumps(repair).encode()
    result = RepairResult(const.EXIT_UNREACHABLE, {"status": STATUS_UNAVAILABLE})
    for count in range(tries):
        if count:
            await curio.sleep(pause)
        address = client.addresses[count % len(client.addresses)]
        try:
            response = await client.async_call(address, "POST", PATH_REPAIR, body=body)
        except ConnectRefusedError as error:
            value = {"status": STATUS_UNAVAILABLE, "text": error.text}
            result = _without_response(result, const.EXIT_UNREACHABLE, value)
        except HttpError as error:
            value = {"status": STATUS_UNKNOWN, "text": error.text}
            result = _without_response(result, const.EXIT_UNKNOWN, value)
        else:
            result = _evaluate_response(result, response)
            if result.exit_code == const.EXIT_OK:
                return result
    return result


def _evaluate_response(
    previous: RepairResult, response: OperatorResponse
) -> RepairResult:
    if response.status >= HTTP_SERVER_ERROR:
        return _without_response(previous, const.EXIT_UNKNOWN, response.value)
    status = check_response(response).get("status")
    if status == STATUS_DONE:
        return RepairResult(const.EXIT_OK, response.value)
    if status == STATUS_RUNNING:
        return RepairResult(const.EXIT_RUNNING, response.value)
    return _without_response(previous, const.EXIT_UNKNOWN, response.value)


def _without_response(
    previous: RepairResult, code: int, value: dict[str, Any]
) -> RepairResult:
    """Return the result after an attempt without a status of the repair.

    An earlier attempt that reached a port says more than this one and is kept.
    """
    if previous.exit_code == const.EXIT_UNREACHABLE:
        return RepairResult(code, value)
    return previous
