"""Builders of settings files."""

import json
from pathlib import Path
from typing import Any


def settings_value(**changes: Any) -> dict[str, Any]:
    """Return the value of a valid settings file of a host without control."""
    value = {
        "host": "bole-a",
        "zone": "bole",
        "roles": ["entry", "dispatch"],
        "listen": {
            "caller": "127.0.0.1:8080",
            "internal": "127.0.0.1:8081",
            "operator": "127.0.0.1:8082",
        },
        "keys": {
            "operator": "operator.key",
            "internal": "internal.key",
            "upstream": "upstream.key",
        },
        "control": {"addresses": ["127.0.0.1:8081"]},
    }
    return value | changes


def write_keys(folder: Path) -> None:
    for name in ("operator", "internal", "upstream"):
        (folder / f"{name}.key").write_text(f"{name}-key\n")


def write_settings(folder: Path, value: dict[str, Any]) -> Path:
    write_keys(folder)
    path = folder / "settings.json"
    path.write_text(json.dumps(value, indent=1))
    return path
