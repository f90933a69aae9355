"""bitterntiller rollouts: show the rollouts of services, and start one."""

import json
import os
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import format_table, print_value
from bitterntiller.components.operator.const import PATH_ROLLOUTS


def run(command: "Rollouts") -> int:
    """Print the rollouts and return the exit code."""
    client = make_client(command, dict(os.environ))
    value = curio.run(client.async_get, PATH_ROLLOUTS)
    print_value(value, command.json, describe)
    return const.EXIT_OK


def run_start(command: "Start") -> int:
    """Start a rollout and return the exit code."""
    client = make_client(command, dict(os.environ))
    order = {
        "service": command.service,
        "to": command.to,
        "seconds": command.seconds,
    }
    body = json.dumps(order).encode()
    value = curio.run(client.async_post, PATH_ROLLOUTS, body)
    print_value(value, command.json, describe_order)
    return const.EXIT_OK


@cappa.command(invoke=run_start)
@dataclass
class Start(OperatorOptions):
    """Move a service to upstreams of another version, if they perform as well.

    The command is idempotent: the same one starts no second rollout.
    """

    service: Annotated[str, cappa.Arg(help="The service whose requests move.")] = ""
    to: Annotated[str, cappa.Arg(help="The version, as upstreams announce it.")] = ""
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Time limit for evaluation and completion.")
    ] = 60.0


@cappa.command(invoke=run)
@dataclass
class Rollouts(OperatorOptions):
    """Show the last rollout of each service: exposure, evidence, verdict, reason."""

    subcommand: cappa.Subcommands[Start | None] = None


def describe(value: dict[str, Any]) -> str:
    """Return a table of the rollouts, and one of their evidence by route."""
    rollouts = value.get("rollouts_by_service", {})
    if not rollouts:
        return "no rollout was ordered"
    heads = ("service", "to", "phase", "answers", "failed", "exposed", "bound", "why")
    rows = [
        (
            service,
            item["to"],
            item["phase"],
            item["answers"],
            item["failed"],
            item["exposed"],
            item["bound"],
            item["why"] or item["worst"],
        )
        for service, item in rollouts.items()
    ]
    return "\n\n".join([format_table(heads, rows), *_routes(rollouts)])


def _routes(rollouts: dict[str, Any]) -> list[str]:
    heads = ("service", "route", "side", "answered", "failed", "slow", "of")
    rows = [
        (
            service,
            route or "-",
            side,
            counts["answered"],
            counts["failed"],
            counts["slow_totals"],
            counts["totals"],
        )
        for service, item in rollouts.items()
        for route, sides in item["counts_by_route"].items()
        for side, counts in sorted(sides.items())
    ]
    return [format_table(heads, rows)] if rows else []


def describe_order(value: dict[str, Any]) -> str:
    """Return one line about an accepted rollout."""
    return f"rollout {value['number']} to {value['to']}: {value['phase']}"
