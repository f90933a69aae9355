"""Builders of configuration documents."""

from typing import Any

TOKEN_A = "a" * 64
TOKEN_B = "b" * 64


def service(**changes: Any) -> dict[str, Any]:
    return {"kind": "engine", "paths": ["/v1/chat/completions"]} | changes


def workspace(**changes: Any) -> dict[str, Any]:
    value = {"token_sha256": [TOKEN_A], "tier": "gold", "services": ["llm"]}
    return value | changes


def config_document(**changes: Any) -> dict[str, Any]:
    """Return a valid document with one service, two tiers and one workspace."""
    value = {
        "services": {"llm": service()},
        "tiers": {
            "gold": {"rank": 0, "deadline_ms": 30000},
            "bronze": {"rank": 1, "deadline_ms": 60000},
        },
        "workspaces": {"foresters": workspace()},
    }
    return value | changes
