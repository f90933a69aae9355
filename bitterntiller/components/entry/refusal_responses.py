"""Responses that this host generates: the outcome in a header, and a JSON body."""

import json
import math

from bitterntiller.components.entry import const
from bitterntiller.components.http.models import Headers
from bitterntiller.core.outcomes import Ending


def refusal_headers(ending: Ending, request_id: str) -> Headers:
    """Return the headers for an ending; Retry-After is rounded up to whole seconds."""
    headers = [
        (b"content-type", b"application/json"),
        (const.HEADER_REQUEST_ID, request_id.encode()),
        (const.HEADER_OUTCOME, ending.outcome.encode()),
    ]
    if ending.retry_after is not None:
        seconds = max(1, math.ceil(ending.retry_after))
        headers.append((const.HEADER_RETRY_AFTER, str(seconds).encode()))
    return headers


def refusal_body(ending: Ending, request_id: str) -> bytes:
    """Return the JSON body for an ending."""
    document = {
        "outcome": ending.outcome,
        "reason": ending.reason,
        "detail": ending.detail,
        "request_id": request_id,
    }
    if ending.retry_after is not None:
        document["retry_after_ms"] = math.ceil(ending.retry_after * 1000)
    return json.dumps(document).encode() + b"\n"
