"""Validation of changes before they are proposed, and of the timings at startup."""

from collections.abc import Callable
from typing import Any

from bitterntiller.components.control.configuration import (
    canonical_json,
    load_document,
)
from bitterntiller.components.control.const import (
    MAX_CONFIG_BYTES,
    MAX_DECODED_BYTES,
    MAX_ID_LENGTH,
)
from bitterntiller.components.control.errors import DocumentDepthError, TimingsError
from bitterntiller.components.node.const import MAX_CLOCK_DRIFT
from bitterntiller.components.settings.models import Timings
from bitterntiller.core.document_size import max_decoded_bytes
from bitterntiller.core.errors import CodedError

ParseConfig = Callable[[dict[str, Any], int], Any]
"""Parses a document of a version; raises a CodedError for an invalid one."""


def find_size_error(config: bytes, max_decoded: int) -> str:
    """Return why a configuration can't be held, empty if it can.

    max_decoded is the memory that one may take once it is decoded, in bytes.
    """
    if len(config) > MAX_CONFIG_BYTES:
        return f"a configuration has at most {MAX_CONFIG_BYTES} bytes"
    size = max_decoded_bytes(config)
    if size <= max_decoded:
        return ""
    return (
        f"the configuration takes up to {size} bytes of memory, and control has "
        f"{max_decoded} for one; it needs fewer values, or control more memory"
    )


def find_change_error(
    change: Any, parse: ParseConfig, max_decoded: int = MAX_DECODED_BYTES
) -> str:
    """Return the error in a messages.Change, empty for a valid change.

    max_decoded is the memory that a decoded configuration may take, in bytes.
    """
    if not 0 < len(change.change_id) <= MAX_ID_LENGTH:
        return f"a change id has 1 to {MAX_ID_LENGTH} characters"
    error = find_size_error(change.config, max_decoded)
    if error:
        return error
    try:
        document = load_document(change.config)
    except DocumentDepthError as depth_error:
        return str(depth_error)
    except ValueError as value_error:
        return f"not a JSON document: {value_error}"
    if not isinstance(document, dict):
        return "a configuration is a JSON object"
    if len(canonical_json(document)) > MAX_CONFIG_BYTES:
        return f"a configuration has at most {MAX_CONFIG_BYTES} bytes, escapes included"
    try:
        parse(document, change.base_version + 1)
    except CodedError as parse_error:
        return str(parse_error)
    return ""


def check_timings(timings: Timings) -> None:
    """Raise TimingsError if an owner could be replaced while its lease is valid.

    The leader's clock, which measures owner_lease, may run fast, and the node's clock,
    which measures the lease, may run slow.
    """
    if timings.owner_lease * (1 - MAX_CLOCK_DRIFT) <= timings.lease:
        raise TimingsError("owner_lease must be longer than lease")
    if timings.heartbeat * 2 > timings.lease:
        raise TimingsError("lease must be at least two heartbeat intervals")
