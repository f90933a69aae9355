"""bitterntiller control: shows the replicas of control, and repairs them."""

import json
import os
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.errors import UnreachableError
from bitterntiller.cli.operator_client import Answer, OperatorClient, check_answer
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import format_table, format_tree, print_json
from bitterntiller.components.http.errors import ConnectRefusedError, HttpError
from bitterntiller.components.operator.const import (
    PATH_CONTROL,
    PATH_REPAIR,
    STATUS_UNKNOWN,
)


def run(command: "Control") -> int:
    """Print the state of control and return the exit code."""
    client = make_client(command, dict(os.environ))
    value = curio.run(client.async_get, PATH_CONTROL)
    if command.json:
        print_json(value)
    else:
        print(describe(value))
    return const.EXIT_OK


def run_repair(command: "Repair") -> int:
    """Ask for the exchange of a replica and return the exit code."""
    client = make_client(command, dict(os.environ))
    body = {"remove": command.remove, "add": command.add, "address": command.address}
    answer = curio.run(_async_repair, client, json.dumps(body).encode())
    if command.json:
        print_json(answer.value)
    else:
        print(f"{answer.value.get('status')}: {answer.value.get('text', '')}")
    if answer.value.get("status") == STATUS_UNKNOWN:
        return const.EXIT_UNKNOWN
    check_answer(answer)
    return const.EXIT_OK


@cappa.command(invoke=run_repair)
@dataclass
class Repair(OperatorOptions):
    """Remove a replica of control, add one, or exchange one for another."""

    remove: Annotated[
        str, cappa.Arg(long=True, help="Identity of the replica to remove.")
    ] = ""
    add: Annotated[
        str, cappa.Arg(long=True, help="Name of the host to get a replica.")
    ] = ""
    address: Annotated[
        str, cappa.Arg(long=True, help="Internal IP:port of that host.")
    ] = ""


@cappa.command(invoke=run)
@dataclass
class Control(OperatorOptions):
    """Show term, leader, members, further losses survived and lags."""

    subcommand: cappa.Subcommands[Repair | None] = None


async def _async_repair(client: OperatorClient, body: bytes) -> Answer:
    """Send the order once; only a port that refuses the connection is passed over.

    An order is not idempotent: after a lost answer, the members tell whether it
    was carried out.
    """
    failures = []
    for address in client.addresses:
        try:
            return await client.async_call(address, "POST", PATH_REPAIR, body=body)
        except ConnectRefusedError as error:
            failures.append(error.text)
        except HttpError as error:
            return Answer(503, {"status": STATUS_UNKNOWN, "text": error.text})
    raise UnreachableError("; ".join(failures))


def describe(value: dict[str, Any]) -> str:
    """Return the state of control for people: the figures first, then the rest."""
    control = dict(value["control"])
    log = dict(control.pop("log", {}))
    losses = log.pop("survives_losses", None)
    rows = [
        ("leader", value.get("leader")),
        ("term", log.pop("term", None)),
        ("further losses survived", losses),
        ("configuration version", control.get("state", {}).get("config_version")),
    ]
    parts = [format_table(("control", ""), rows)]
    members = log.pop("members", [])
    if members:
        parts.append(_members(members))
    parts.append(format_tree({"log": log, **control}))
    return "\n\n".join(parts)


def _members(members: list[Any] | dict[str, Any]) -> str:
    """Return a table of members, whether names, or objects by name or in a list."""
    if isinstance(members, dict):
        members = [_named(name, item) for name, item in members.items()]
    if not all(isinstance(item, dict) for item in members):
        return format_table(("member",), [(item,) for item in members])
    heads = list(dict.fromkeys(key for item in members for key in item))
    rows = [[item.get(head) for head in heads] for item in members]
    return format_table(heads, rows)


def _named(name: str, item: Any) -> dict[str, Any]:
    rest = item if isinstance(item, dict) else {"state": item}
    return {"member": name, **rest}
