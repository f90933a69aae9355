"""bitterntiller route: show where a request would be placed now."""

import json
import os
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.errors import ToolError, UsageError
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import format_table, print_value
from bitterntiller.components.operator.const import (
    MAX_QUERY_TOKENS,
    PATH_PLACEMENT,
)

DEFAULT_PROMPT_TOKENS = 1000
DEFAULT_OUTPUT_TOKENS = 100


def run(command: "Route") -> int:
    """Print where a request would be placed and return the exit code."""
    _check(command)
    client = make_client(command, dict(os.environ))
    query = {
        "workspace": command.workspace,
        "path": command.path,
        "host": command.host,
        "prompt_tokens": command.prompt_tokens,
        "output_tokens": command.output_tokens,
    }
    body = json.dumps(query).encode()
    try:
        value = curio.run(client.async_post, PATH_PLACEMENT, body)
    except ToolError as error:
        if PATH_PLACEMENT not in error.text:
            raise
        text = "the host that was asked doesn't know this query: an earlier release"
        raise ToolError(text) from error
    print_value(value, command.json, describe)
    return const.EXIT_OK


def _check(command: "Route") -> None:
    if not command.path.startswith("/"):
        raise UsageError("--path begins with a slash")
    for name, tokens in (
        ("--prompt-tokens", command.prompt_tokens),
        ("--output-tokens", command.output_tokens),
    ):
        if not 0 <= tokens <= MAX_QUERY_TOKENS:
            raise UsageError(f"{name} is from 0 to {MAX_QUERY_TOKENS}")


@cappa.command(invoke=run)
@dataclass
class Route(OperatorOptions):
    """Show where a request would be placed now, and why not elsewhere.

    Nothing is sent to an upstream, queued or counted.
    """

    workspace: Annotated[
        str, cappa.Arg(long=True, help="Workspace; its highest tier is assumed.")
    ] = ""
    path: Annotated[str, cappa.Arg(long=True, help="Path of the request.")] = ""
    host: Annotated[
        str, cappa.Arg(long=True, help="Host name, where routes have several.")
    ] = ""
    prompt_tokens: Annotated[int, cappa.Arg(long=True, help="Size of the prompt.")] = (
        DEFAULT_PROMPT_TOKENS
    )
    output_tokens: Annotated[
        int, cappa.Arg(long=True, help="Output that the request states.")
    ] = DEFAULT_OUTPUT_TOKENS


def describe(value: dict[str, Any]) -> str:
    """Return the resolved request, and a table of the upstreams for each service."""
    lines = [
        f"route          {value['route'] or '-'}",
        f"workspace      {value['workspace'] or '-'}",
        f"tier           {value['tier']} (rank {value['rank']})",
        f"tokens         {value['prompt_tokens']} prompt, "
        f"{value['output_tokens']} output",
        f"configuration  {value['config_version']}",
    ]
    for placement in value["placements"]:
        lines += ["", *_describe_placement(placement, value["has_quota"])]
    return "\n".join(lines)


def _describe_placement(found: dict[str, Any], has_quota: bool) -> list[str]:
    outcome = found["outcome"]
    if found["upstream"]:
        outcome += f", at {found['upstream']}"
    ahead = found["waiting_ahead"]
    lines = [
        f"service        {found['service']} (weight {found['weight']:g})",
        f"owner          {found['owner']} ({found['owner_address']}), "
        f"epoch {found['epoch']}",
        f"quota left     {_describe_quota(found['quota'], has_quota)}",
        f"limits         {_describe_limits(found['limits'])}",
        f"waiting        {found['waiting']}, {ahead} of this tier or above",
        f"expected wait  {found['expected_wait']} s",
        f"outcome        {outcome}",
    ]
    if found["settles_in"]:
        lines.append(f"               the owner begins in {found['settles_in']} s")
    if found["drawn_at_random"]:
        lines.append("               one of some upstreams that are drawn at random")
    rows = [
        (
            item["upstream"],
            item["picked"],
            item["reason"],
            item["expected_seconds"],
            item["in_flight"],
            item["free_slots"],
            item["version"],
        )
        for item in found["candidates"]
    ]
    heads = (
        "upstream",
        "picked",
        "reason",
        "expected seconds",
        "in flight",
        "free slots",
        "version",
    )
    return [*lines, "", format_table(heads, rows)]


def _describe_quota(quota: dict[str, int] | None, has_quota: bool) -> str:
    if not has_quota:
        return "no quota"
    if quota is None:
        return "not counted by this owner"
    return f"{quota['left']} of {quota['of']}, {quota['usable_now']} usable now"


def _describe_limits(limits: dict[str, Any]) -> str:
    most = limits["concurrency"]
    text = f"{limits['in_flight']} in flight" + (f" of {most}" if most else "")
    if limits["rate_wait"]:
        text += f", the rate allows the next request in {limits['rate_wait']} s"
    return text
