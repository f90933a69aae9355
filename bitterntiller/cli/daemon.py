"""Entry point of the daemon: bitterntillerd --settings FILE."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import curio

from bitterntiller.components.settings.errors import SettingsError
from bitterntiller.components.settings.load import load_settings
from bitterntiller.core.logs import set_up_logs
from bitterntiller.daemon.process import async_run

EXIT_SETTINGS = 2


@cappa.command(name="bitterntillerd")
@dataclass
class Arguments:
    """Schedule requests between callers and upstreams, as one process of a host."""

    settings: Annotated[Path, cappa.Arg(long=True, help="the settings file")]


def main() -> None:
    """Load the settings and run the daemon until it stops; exit with its code."""
    arguments = cappa.parse(Arguments)
    try:
        settings = load_settings(arguments.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    set_up_logs(settings.log_level)
    sys.exit(curio.run(async_run, settings))


if __name__ == "__main__":
    main()
