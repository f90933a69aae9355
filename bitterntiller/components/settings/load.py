"""Loads a settings file into Settings."""

from pathlib import Path
from typing import Any

from bitterntiller.components.settings import const
from bitterntiller.components.settings.errors import SettingsError
from bitterntiller.components.settings.models import (
    Control,
    Dispatch,
    Keys,
    Limits,
    Listen,
    Settings,
    Timings,
)
from bitterntiller.components.settings.schema import SCHEMA, find_cross_problems
from bitterntiller.core.document import Document, read_document
from bitterntiller.core.problems import DocumentError, Problem
from bitterntiller.core.schema import find_problems


def load_settings(path: Path) -> Settings:
    """Load and validate a settings file.

    Relative paths in it are relative to its own folder. Raise SettingsError with all
    problems found, each with file, line and key.
    """
    try:
        document = read_document(path)
    except DocumentError as error:
        raise SettingsError(error.problems) from error
    return build_settings(document, path.parent)


def build_settings(document: Document, folder: Path) -> Settings:
    """Validate a document and build the Settings; raise SettingsError."""
    checked, problems = find_problems(SCHEMA, document.value)
    if not problems:
        problems = find_cross_problems(checked)
        keys, key_problems = _read_keys(checked[const.CONF_KEYS], folder)
        problems += key_problems
    if problems:
        raise SettingsError([document.locate(problem) for problem in problems])
    return _build(checked, keys, folder)


def _read_keys(
    files_by_key: dict[str, str], folder: Path
) -> tuple[dict[str, bytes], list[Problem]]:
    keys = {}
    problems = []
    for key, file in files_by_key.items():
        path = (const.CONF_KEYS, key)
        try:
            content = (folder / file).read_bytes().strip()
        except OSError as error:
            problems.append(Problem(path, f"{file}: {error.strerror}"))
            continue
        if not content:
            problems.append(Problem(path, f"{file}: the key file is empty"))
        # Keys are sent in an Authorization header, which allows nothing else.
        elif not all(0x21 <= byte <= 0x7E for byte in content):
            text = f"{file}: a key is one line of visible ASCII without spaces"
            problems.append(Problem(path, text))
        keys[key] = content
    return keys, problems


def _build(checked: dict[str, Any], keys: dict[str, bytes], folder: Path) -> Settings:
    control = checked[const.CONF_CONTROL]
    data_folder = checked.get(const.CONF_DATA_FOLDER)
    return Settings(
        host=checked[const.CONF_HOST],
        zone=checked[const.CONF_ZONE],
        region=checked[const.CONF_REGION],
        roles=checked[const.CONF_ROLES],
        listen=Listen(**checked[const.CONF_LISTEN]),
        keys=Keys(**keys),
        control=Control(
            addresses=tuple(control[const.CONF_ADDRESSES]),
            bootstrap=tuple(control[const.CONF_BOOTSTRAP]),
            snapshot_entries=control[const.CONF_SNAPSHOT_ENTRIES],
        ),
        data_folder=None if data_folder is None else folder / data_folder,
        statsd=checked.get(const.CONF_STATSD),
        limits=Limits(**checked[const.CONF_LIMITS]),
        timings=Timings(**checked[const.CONF_TIMINGS]),
        log_level=checked[const.CONF_LOG_LEVEL],
        dispatch=Dispatch(**checked[const.CONF_DISPATCH]),
    )
