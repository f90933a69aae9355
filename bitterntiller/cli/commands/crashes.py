"""bitterntiller crashes: show what crashes upstreams, clear or block it."""

import json
import os
from dataclasses import dataclass
from typing import Annotated, Any

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import format_table, print_value
from bitterntiller.components.operator.const import (
    PATH_CRASHES,
    PATH_CRASHES_BLOCK,
    PATH_CRASHES_CLEAR,
)

DEFAULT_BLOCK_SECONDS = 24 * 3600.0


def run(command: "Crashes") -> int:
    """Print the requests and their crashes and return the exit code."""
    client = make_client(command, dict(os.environ))
    value = curio.run(client.async_get, PATH_CRASHES)
    print_value(value, command.json, describe)
    return const.EXIT_OK


def run_clear(command: "Clear") -> int:
    """Clear the recorded crashes of a request and return the exit code."""
    client = make_client(command, dict(os.environ))
    body = json.dumps({"fingerprint": command.fingerprint}).encode()
    value = curio.run(client.async_post, PATH_CRASHES_CLEAR, body)
    print_value(value, command.json, lambda found: str(found["text"]))
    return const.EXIT_OK


def run_block(command: "Block") -> int:
    """Keep a request or a part of prompts from upstreams; return the exit code."""
    client = make_client(command, dict(os.environ))
    order = {"fingerprint": command.fingerprint, "seconds": command.seconds}
    body = json.dumps(order).encode()
    value = curio.run(client.async_post, PATH_CRASHES_BLOCK, body)
    print_value(value, command.json, lambda found: str(found["text"]))
    return const.EXIT_OK


@cappa.command(invoke=run_block)
@dataclass
class Block(OperatorOptions):
    """Keep a request, or all requests with a part, from upstreams on all hosts.

    `crashes clear` ends it before its time.
    """

    fingerprint: Annotated[
        str, cappa.Arg(help="Hexadecimal, as shown by `crashes` and in logs.")
    ] = ""
    seconds: Annotated[float, cappa.Arg(long=True, help="How long it is kept.")] = (
        DEFAULT_BLOCK_SECONDS
    )


@cappa.command(invoke=run_clear)
@dataclass
class Clear(OperatorOptions):
    """Clear the crashes and the block of a request or a part on all hosts."""

    fingerprint: Annotated[
        str, cappa.Arg(help="Hexadecimal, as shown by `crashes` and in logs.")
    ] = ""


@cappa.command(invoke=run)
@dataclass
class Crashes(OperatorOptions):
    """Show the requests and parts of prompts that crashed upstreams, with quarantines.

    Every process has the crashes of the whole deployment.
    """

    subcommand: cappa.Subcommands[Clear | Block | None] = None


def describe(value: dict[str, Any]) -> str:
    """Return a table of the requests and parts, longest block or quarantine first."""
    requests = value.get("requests_by_fingerprint", {})
    if not requests:
        return "no request has crashed an upstream"
    rows = [
        (
            fingerprint,
            item.get("kind", ""),
            len(item["crashes"]),
            item["quarantined_for"],
            item.get("blocked_for", 0.0),
            ", ".join(crash["upstream"] for crash in item["crashes"]),
        )
        for fingerprint, item in requests.items()
    ]
    rows.sort(key=lambda row: (-row[4], -row[3], -row[2]))
    heads = (
        "fingerprint",
        "of",
        "upstreams ended",
        "quarantined for seconds",
        "blocked for seconds",
        "upstreams",
    )
    return format_table(heads, rows)
