"""bitterntiller state: print the state dump of a process."""

import os
from dataclasses import dataclass

import cappa
import curio

from bitterntiller.cli import const
from bitterntiller.cli.options import OperatorOptions, make_client
from bitterntiller.cli.output import format_tree, print_value
from bitterntiller.components.operator.const import PATH_STATE


def run(command: "State") -> int:
    """Print the state dump and return the exit code."""
    client = make_client(command, dict(os.environ))
    value = curio.run(client.async_get, PATH_STATE)
    print_value(value, command.json, format_tree)
    return const.EXIT_OK


@cappa.command(invoke=run)
@dataclass
class State(OperatorOptions):
    """Print the state dump of the first process that responds."""
