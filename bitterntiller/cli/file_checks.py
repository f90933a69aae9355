"""Validate settings and configuration files."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import voluptuous as vol

from bitterntiller.cli.errors import UsageError
from bitterntiller.components.config import const as config_const
from bitterntiller.components.config.errors import ConfigError
from bitterntiller.components.config.models import Config
from bitterntiller.components.config.parse import parse_config
from bitterntiller.components.config.selectors import (
    LabelledUpstream,
    find_upstream_problems,
    find_vocabulary_problems,
)
from bitterntiller.components.settings import const as settings_const
from bitterntiller.components.settings.errors import SettingsError
from bitterntiller.components.settings.load import build_settings
from bitterntiller.core.document import Document, read_document
from bitterntiller.core.problems import DocumentError, LocatedProblem, Problem
from bitterntiller.core.schema import find_problems

KIND_SETTINGS = "settings"
KIND_CONFIGURATION = "configuration"
KIND_UNKNOWN = "unknown"

NOTE_LABELS_NOT_CHECKED = (
    "selectors were not checked against labels: the configuration has no labels "
    "at its top level, and no upstreams were given"
)

_CONFIGURATION_KEYS = {
    config_const.CONF_SERVICES,
    config_const.CONF_TIERS,
    config_const.CONF_WORKSPACES,
}
_SETTINGS_KEYS = {
    settings_const.CONF_HOST,
    settings_const.CONF_LISTEN,
    settings_const.CONF_ROLES,
    settings_const.CONF_KEYS,
}

_UPSTREAMS_SCHEMA = vol.Schema(
    [
        vol.Schema(
            {
                vol.Required("name"): str,
                vol.Required("service"): str,
                vol.Required("labels"): {vol.Extra: str},
            },
            extra=vol.ALLOW_EXTRA,
        )
    ]
)


class CheckResult(NamedTuple):
    """The problems and notes of one file."""

    file: str
    kind: str
    problems: list[LocatedProblem]
    notes: list[str]


def check_file(
    path: Path, kind: str | None, upstreams: list[LabelledUpstream] | None
) -> CheckResult:
    """Validate a file; when kind is None, detect it from the content."""
    try:
        document = read_document(path)
    except DocumentError as error:
        return CheckResult(str(path), kind or KIND_UNKNOWN, error.problems, [])
    kind = kind or detect_kind(document.value)
    if kind == KIND_SETTINGS:
        problems = _check_settings(document, path.parent)
        return CheckResult(str(path), kind, problems, [])
    if kind == KIND_CONFIGURATION:
        return _check_configuration(document, upstreams)
    problem = Problem(
        (), "the keys are neither those of settings nor of a configuration"
    )
    return CheckResult(str(path), KIND_UNKNOWN, [document.locate(problem)], [])


def detect_kind(value: Any) -> str:
    """Return whether the top-level keys are those of a configuration or of settings."""
    keys = value.keys() if isinstance(value, dict) else set()
    if keys & _CONFIGURATION_KEYS:
        return KIND_CONFIGURATION
    if keys & _SETTINGS_KEYS:
        return KIND_SETTINGS
    return KIND_UNKNOWN


def _check_settings(document: Document, folder: Path) -> list[LocatedProblem]:
    try:
        build_settings(document, folder)
    except SettingsError as error:
        return error.problems
    return []


def _check_configuration(
    document: Document, upstreams: list[LabelledUpstream] | None
) -> CheckResult:
    try:
        config = parse_config(document.value, 0)
    except ConfigError as error:
        found: Iterable[Problem] = error.problems
        notes = []
    else:
        found = _selector_problems(config, upstreams)
        unchecked = upstreams is None and not config.values_by_label
        notes = [NOTE_LABELS_NOT_CHECKED] if unchecked else []
    problems = [document.locate(problem) for problem in found]
    return CheckResult(document.file, KIND_CONFIGURATION, problems, notes)


def _selector_problems(
    config: Config, upstreams: list[LabelledUpstream] | None
) -> list[Problem]:
    problems = list(find_vocabulary_problems(config))
    if upstreams is not None:
        problems += find_upstream_problems(config, upstreams)
    return problems


def read_upstreams(path: Path) -> list[LabelledUpstream]:
    """Read upstreams from a file with a JSON list or a state dump.

    Raise UsageError when it can't be read.
    """
    try:
        value = json.loads(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise UsageError(f"{path}: {error}") from error
    return to_upstreams(value, str(path))


def to_upstreams(value: Any, source: str) -> list[LabelledUpstream]:
    """Return the upstreams of a JSON list or a state dump.

    Raise UsageError when the value has another shape.
    """
    if isinstance(value, dict):
        value = value.get("upstreams")
    items, problems = find_problems(_UPSTREAMS_SCHEMA, value)
    if problems:
        raise UsageError(f"{source}: not a list of upstreams: {problems[0]}")
    return [
        LabelledUpstream(item["name"], item["service"], item["labels"])
        for item in items
    ]
