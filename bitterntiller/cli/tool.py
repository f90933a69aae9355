"""Entry point of the command-line tool, bitterntiller."""

import os
import sys
from dataclasses import dataclass

import cappa

from bitterntiller.cli import const
from bitterntiller.cli.commands.apply import Apply
from bitterntiller.cli.commands.check import Check
from bitterntiller.cli.commands.control import Control
from bitterntiller.cli.commands.crashes import Crashes
from bitterntiller.cli.commands.explain import Explain
from bitterntiller.cli.commands.get import Get
from bitterntiller.cli.commands.rollouts import Rollouts
from bitterntiller.cli.commands.route import Route
from bitterntiller.cli.commands.state import State
from bitterntiller.cli.commands.summary import Summarize
from bitterntiller.cli.errors import ToolError
from bitterntiller.cli.output import print_error


@cappa.command(name="bitterntiller")
@dataclass
class Tool:
    """Check, change and inspect a bitterntiller deployment."""

    command: cappa.Subcommands[
        Check
        | Apply
        | Get
        | State
        | Route
        | Control
        | Rollouts
        | Crashes
        | Explain
        | Summarize
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the tool and exit with one of the codes of cli.const."""
    sys.exit(run(arguments))


def run(arguments: list[str] | None = None) -> int:
    """Run the tool and return its exit code; cappa exits on invalid arguments."""
    try:
        return cappa.invoke(Tool, argv=arguments)
    except BrokenPipeError:
        # The reader closed the pipe, as head does. Standard output is redirected
        # because Python would report the error again when it flushes it at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return const.EXIT_OK
    except ToolError as error:
        print_error(f"bitterntiller: {error}")
        return error.exit_code


if __name__ == "__main__":
    main()
