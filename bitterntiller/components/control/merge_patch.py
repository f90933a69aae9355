"""JSON merge patches (RFC 7396): making and applying them."""

from typing import Any


def apply_patch(target: Any, patch: Any) -> Any:
    """Return the target with the patch applied; neither is changed."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
            continue
        result[key] = apply_patch(result.get(key), value)
    return result


def make_patch(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any] | None:
    """Return the patch that leads from one document to another.

    None when no merge patch does, which is so for documents that hold nulls.
    """
    patch = _difference(before, after)
    if apply_patch(before, patch) != after:
        return None
    return patch


def _difference(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    patch: dict[str, Any] = dict.fromkeys(before.keys() - after.keys())
    for key, value in after.items():
        old = before.get(key)
        if key in before and old == value:
            continue
        if isinstance(old, dict) and isinstance(value, dict):
            patch[key] = _difference(old, value)
            continue
        patch[key] = value
    return patch
