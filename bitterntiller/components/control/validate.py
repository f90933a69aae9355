"""Checks of a change before it is proposed, and of the timings at the start."""

import json
from collections.abc import Callable
from typing import Any

from bitterntiller.components.control.configuration import canonical_json
from bitterntiller.components.control.const import MAX_CONFIG_BYTES, MAX_ID_LENGTH
from bitterntiller.components.control.errors import TimingsError
from bitterntiller.components.node.const import MAX_CLOCK_DRIFT
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.errors import CodedError

ParseConfig = Callable[[dict[str, Any], int], Any]
"""Takes a document and its version; raises a CodedError for a bad one."""


def find_change_error(change: Any, parse: ParseConfig) -> str:
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
    if len(canonical_json(document)) > MAX_CONFIG_BYTES:
        return f"a configuration has at most {MAX_CONFIG_BYTES} bytes, escapes included"
    try:
        parse(document, change.base_version + 1)
    except CodedError as error:
        return str(error)
    return ""


def check_timings(timings: Timings) -> None:
    """Raise TimingsError when an owner could be replaced while its lease runs.

    The leader counts owner_lease with a clock that may run faster than true,
    and the node its lease with one that may run slower.
    """
    if timings.owner_lease * (1 - MAX_CLOCK_DRIFT) <= timings.lease:
        raise TimingsError("owner_lease has to be longer than lease")
    if timings.heartbeat * 2 > timings.lease:
        raise TimingsError("a lease has to be two heartbeats long, or more")
