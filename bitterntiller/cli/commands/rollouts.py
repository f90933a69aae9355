"""bitterntiller rollouts: shows the rollouts of services, and starts one."""

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
    """Order a rollout and return the exit code."""
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
    """Move a service to upstreams of another version, if they prove as good.

    The same order may be sent again; it starts no second rollout.
    """

    service: Annotated[str, cappa.Arg(help="Whose requests are to move.")] = ""
    to: Annotated[str, cappa.Arg(help="The version, as upstreams announce it.")] = ""
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Within which it is judged and completed.")
    ] = 60.0


@cappa.command(invoke=run)
@dataclass
class Rollouts(OperatorOptions):
    """Show the last rollout of each service: exposure, evidence, verdict and why."""

    subcommand: cappa.Subcommands[Start | None] = None


def describe(value: dict[str, Any]) -> str:
    """Return a table with a line for each rollout, and one for each of its routes."""
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
    """Return a line on an order that was accepted."""
    return f"rollout {value['number']} to {value['to']}: {value['phase']}"
