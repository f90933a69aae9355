"""Authenticate workspaces by their tokens."""

import hashlib

from bitterntiller.components.config.models import Config, Workspace


def find_workspace_by_token(token: str, config: Config) -> Workspace | None:
    """Return the workspace of a token; configurations store only its SHA-256."""
    if not token:
        return None
    digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
    return config.workspaces_by_token.get(digest)
