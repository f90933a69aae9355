"""bitterntiller control: show and replace the replicas of control."""

import os
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.errors import UsageError
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import format_table, format_tree, print_json, print_value
from bitterntiller.cli.repair_sender import async_repair
from bitterntiller.components.operator.const import PATH_CONTROL


def run(command: "Control") -> int:
    """Print the state of control and return the exit code."""
    client = make_client(command, dict(os.environ))
    value = curio.run(client.async_get, PATH_CONTROL)
    print_value(value, command.json, describe)
    return const.EXIT_OK


def run_repair(command: "Repair") -> int:
    """Send a repair command until it is done and return the exit code."""
    client = make_client(command, dict(os.environ))
    if not command.remove and not command.add:
        raise UsageError("give --remove, --add, or both")
    repair = {"remove": command.remove, "add": command.add, "address": command.address}
    tries = max(1, command.tries)
    result = curio.run(async_repair, client, repair, tries, const.REPAIR_PAUSE)
    if command.json:
        print_json(result.value)
    else:
        print(f"{result.value.get('status')}: {result.value.get('text', '')}")
    return result.exit_code


@cappa.command(invoke=run_repair)
@dataclass
class Repair(OperatorOptions):
    """Remove a replica of control, add one, or replace one by another.

    The command is repeated until full redundancy is restored.
    """

    remove: Annotated[
        str, cappa.Arg(long=True, help="Identity of the replica to remove.")
    ] = ""
    add: Annotated[
        str, cappa.Arg(long=True, help="Name of the host that gets the new replica.")
    ] = ""
    address: Annotated[
        str, cappa.Arg(long=True, help="Internal IP:port of that host.")
    ] = ""
    tries: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of attempts, one per second.")
    ] = const.REPAIR_TRIES


@cappa.command(invoke=run)
@dataclass
class Control(OperatorOptions):
    """Show term, leader, members, their lags and the failure tolerance."""

    subcommand: cappa.Subcommands[Repair | None] = None


def describe(value: dict[str, Any]) -> str:
    """Return the state of control as text: the main figures first, then all others."""
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
    """Return a table of members given as names, as objects, or as objects by name."""
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
