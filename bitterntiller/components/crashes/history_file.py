"""The file of the crash history, which preserves it over a restart of all hosts.

The file is JSON: lists of crashes, clearings and blocks, with Unix times in seconds.
"""

import json
import os
from pathlib import Path

import voluptuous as vol

from bitterntiller.components.crashes.errors import DamagedHistoryError
from bitterntiller.components.crashes.models import (
    Block,
    Clearing,
    Crash,
    CrashUpdate,
)

FILE_NAME = "crashes.json"

_FIELDS = [int, str, str, vol.Any(int, float)]
_RAN = vol.Any(None, int, float)
_CRASH = vol.Any(
    vol.ExactSequence(_FIELDS),
    vol.ExactSequence([*_FIELDS, int]),
    vol.ExactSequence([*_FIELDS, int, _RAN]),
)
"""Earlier releases don't store the workspace, or how long the request ran."""

_CLEARING = vol.ExactSequence([int, vol.Any(int, float)])
_BLOCK = vol.ExactSequence([int, vol.Any(int, float), vol.Any(int, float)])
_SCHEMA = vol.Schema(
    {
        vol.Required("crashes"): [_CRASH],
        vol.Required("clearings"): [_CLEARING],
        vol.Optional("blocks", default=list): [_BLOCK],
    }
)


def save(path: Path, known: CrashUpdate, offset: float) -> None:
    """Replace the file atomically and wait until it is on disk.

    offset is the Unix time minus the time of the process's clock, in seconds. Raise
    OSError; the file then has the previous or the new content.
    """
    document = {
        "crashes": [item._replace(at=item.at + offset) for item in known.crashes],
        "clearings": [(item.fingerprint, item.at + offset) for item in known.clearings],
        "blocks": [item._replace(at=item.at + offset) for item in known.blocks],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    draft = path.with_suffix(".new")
    with draft.open("w", encoding="utf-8") as file:
        json.dump(document, file)
        file.flush()
        os.fsync(file.fileno())
    draft.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: Path, offset: float) -> CrashUpdate:
    """Return the history in a file, an empty one if the file does not exist.

    Raise DamagedHistoryError for a file that can't be read.
    """
    try:
        document = _SCHEMA(json.loads(path.read_text(encoding="utf-8")))
    except FileNotFoundError:
        return CrashUpdate()
    except (OSError, ValueError, RecursionError, vol.Invalid) as error:
        raise DamagedHistoryError(f"{path}: {error}") from error
    return CrashUpdate(
        tuple(
            Crash(fingerprint, upstream, incarnation, at - offset, *others)
            for fingerprint, upstream, incarnation, at, *others in document["crashes"]
        ),
        tuple(
            Clearing(fingerprint, at - offset)
            for fingerprint, at in document["clearings"]
        ),
        tuple(
            Block(fingerprint, at - offset, seconds)
            for fingerprint, at, seconds in document["blocks"]
        ),
    )
