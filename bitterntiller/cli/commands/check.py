"""bitterntiller check: validate settings and configuration files."""

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.errors import UnreachableError
from bitterntiller.cli.file_checks import (
    CheckResult,
    check_file,
    read_upstreams,
    to_upstreams,
)
from bitterntiller.cli.operator_client import OperatorClient, check_response
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import print_error, print_json
from bitterntiller.components.config.selectors import LabelledUpstream
from bitterntiller.components.http.errors import HttpError
from bitterntiller.components.operator.const import PATH_STATE


def run(command: "Check") -> int:
    """Check the files and return the exit code."""
    upstreams = _find_upstreams(command)
    results = [check_file(path, command.kind, upstreams) for path in command.files]
    if command.json:
        print_json([_to_json(result) for result in results])
    else:
        _print(results)
    faulty = any(result.problems for result in results)
    return const.EXIT_PROBLEMS if faulty else const.EXIT_OK


@cappa.command(invoke=run)
@dataclass
class Check(OperatorOptions):
    """Check settings and configuration files.

    With --operator or --upstreams, selectors are also checked against the
    announced upstreams.
    """

    files: Annotated[list[Path], cappa.Arg(required=True)] = field(default_factory=list)
    kind: Annotated[
        Literal["settings", "configuration"] | None,
        cappa.Arg(
            long=True, help="Kind of the files; default: detected from their keys."
        ),
    ] = None
    upstreams: Annotated[
        Path | None,
        cappa.Arg(long=True, help="File with a state dump or a list of upstreams."),
    ] = None


def _find_upstreams(command: Check) -> list[LabelledUpstream] | None:
    if command.upstreams is not None:
        return read_upstreams(command.upstreams)
    if command.operator:
        client = make_client(command, dict(os.environ))
        return curio.run(_async_announced, client)
    return None


async def _async_announced(client: OperatorClient) -> list[LabelledUpstream]:
    """Return the upstreams of all given hosts.

    Each host reports the upstreams of the pools that it owns. Without one host its
    upstreams would seem not to exist, so the command fails if any host fails.
    """
    found = []
    for address in client.addresses:
        try:
            response = await client.async_call(address, "GET", PATH_STATE)
        except HttpError as error:
            raise UnreachableError(f"{address}: {error.text}") from error
        found += to_upstreams(check_response(response), address)
    return found


def _print(results: list[CheckResult]) -> None:
    for result in results:
        for note in result.notes:
            print_error(f"{result.file}: note: {note}")
        for problem in result.problems:
            print(problem)
        if not result.problems:
            print(f"{result.file}: {result.kind}, no problems")


def _to_json(result: CheckResult) -> dict[str, object]:
    problems = [problem._asdict() for problem in result.problems]
    return result._asdict() | {"problems": problems}
