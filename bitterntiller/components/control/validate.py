"""Checks of a change before it is proposed."""

import json
from collections.abc import Callable
from typing import Any

from bitterntiller.components.control.const import MAX_CONFIG_BYTES, MAX_ID_LENGTH
from bitterntiller.core.errors import CodedError

ParseConfig = Callable[[dict[str, Any], int], Any]
"""Takes a document and its version; raises a CodedError for a bad one."""


def find_fault(change: Any, parse: ParseConfig) -> str:
    """Return what is wrong with a messages.Change; empty when nothing is."""
    if not 0 < len(change.change_id) <= MAX_ID_LENGTH:
        return f"a change id has 1 to {MAX_ID_LENGTH} characters"
    if len(change.config) > MAX_CONFIG_BYTES:
        return f"a configuration has at most {MAX_CONFIG_BYTES} bytes"
    try:
        document = json.loads(change.config)
    except (ValueError, RecursionError) as error:
        return f"not a JSON document: {error}"
    if not isinstance(document, dict):
        return "a configuration is a JSON object"
    try:
        parse(document, change.base_version + 1)
    except CodedError as error:
        return str(error)
    return ""
