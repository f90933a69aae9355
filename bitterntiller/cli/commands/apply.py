"""bitterntiller apply: apply a configuration file."""

import os
import re
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.change_sender import ApplyResult, ConfigChange, async_apply
from bitterntiller.cli.errors import UsageError
from bitterntiller.cli.file_checks import KIND_CONFIGURATION, check_file
from bitterntiller.cli.operator_client import OperatorClient
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import print_error, print_json
from bitterntiller.components.operator.const import (
    PATH_CONFIG,
    STATUS_ACCEPTED,
    STATUS_INVALID,
)
from bitterntiller.core.document import Document, read_document
from bitterntiller.core.problems import LocatedProblem, join_path

_CHANGE_ID = re.compile(r"[\x21-\x7e]{1,128}")


def run(command: "Apply") -> int:
    """Validate the file, send it, and return the exit code."""
    client = make_client(command, dict(os.environ))
    change_id = command.change_id or str(uuid.uuid4())
    if not _CHANGE_ID.fullmatch(change_id):
        raise UsageError("--change-id must be 1 to 128 visible ASCII characters")
    checked = check_file(command.file, KIND_CONFIGURATION, None)
    if checked.problems:
        value = {"status": STATUS_INVALID, "sent": False}
        _show(command, _with_problems(value, checked.problems))
        return const.EXIT_PROBLEMS
    document = read_document(command.file)
    return curio.run(_async_run, command, client, document, change_id)


@cappa.command(invoke=run)
@dataclass
class Apply(OperatorOptions):
    """Apply a configuration file.

    The change is retried with its id until its outcome is known. When the command
    ends without an outcome, run it again with the same --change-id and --base.
    """

    file: Annotated[Path, cappa.Arg(required=True)] = Path()
    base: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Version that the change is based on; default: the current one.",
        ),
    ] = None
    change_id: Annotated[
        str | None, cappa.Arg(long=True, help="Id of the change; default: a new one.")
    ] = None
    tries: Annotated[int, cappa.Arg(long=True, help="Maximum number of attempts.")] = (
        const.APPLY_TRIES
    )


async def _async_run(
    command: Apply, client: OperatorClient, document: Document, change_id: str
) -> int:
    base = command.base
    if base is None:
        base = int((await client.async_get(PATH_CONFIG))["version"])
    change = ConfigChange(change_id, base, document.value)
    result = await async_apply(client, change, max(1, command.tries), const.FIRST_PAUSE)
    _show(command, _describe(change, result, document))
    return result.exit_code


def _describe(
    change: ConfigChange, result: ApplyResult, document: Document
) -> dict[str, Any]:
    value = result.value | {
        "change_id": change.change_id,
        "base_version": change.base_version,
        "tries": result.tries,
        "sent": True,
    }
    problems = result.value.get("problems")
    if not problems:
        return value
    lines_by_key = {
        join_path(path): line for path, line in document.lines_by_path.items()
    }
    located = [
        LocatedProblem(
            document.file, lines_by_key.get(item["key"], 1), item["key"], item["text"]
        )
        for item in problems
    ]
    return _with_problems(value, located)


def _with_problems(
    value: dict[str, Any], problems: list[LocatedProblem]
) -> dict[str, Any]:
    return value | {"problems": [problem._asdict() for problem in problems]}


def _show(command: Apply, value: dict[str, Any]) -> None:
    if command.json:
        print_json(value)
        return
    for problem in value.get("problems", []):
        print_error(str(LocatedProblem(**problem)))
    if value["status"] == STATUS_ACCEPTED:
        print(f"accepted: version {value['version']}")
        return
    detail = value.get("text") or value.get("version") or ""
    print_error(f"{value['status']}: {detail}".rstrip(": "))
    if value["sent"]:
        again = f"--base {value['base_version']} --change-id {value['change_id']}"
        print_error(f"sent with {again}")
