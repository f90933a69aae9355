"""bitterntiller get: print the current configuration."""

import os
from dataclasses import dataclass

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import print_error, print_json
from bitterntiller.components.operator.const import PATH_CONFIG


def run(command: "Get") -> int:
    """Print the configuration and return the exit code."""
    client = make_client(command, dict(os.environ))
    value = curio.run(client.async_get, PATH_CONFIG)
    if command.json:
        print_json(value)
        return const.EXIT_OK
    print_error(f"version {value['version']}")
    print_json(value["config"])
    return const.EXIT_OK


@cappa.command(invoke=run)
@dataclass
class Get(OperatorOptions):
    """Print the newest accepted configuration.

    The document goes to standard output, in the form that apply reads, and its version
    to standard error; with --json both are in one object.
    """
