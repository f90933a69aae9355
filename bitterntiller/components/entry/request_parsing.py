"""Parse and validate the project's own headers of a request."""

import uuid

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import ReceivedRequest
from bitterntiller.components.http.models import RequestHead, header
from bitterntiller.core.outcomes import Ending, Outcome, Reason

_BEARER = "bearer "


def parse_request(head: RequestHead, now: float) -> ReceivedRequest | Ending:
    """Return the request with its parsed headers, or a refusal if one is malformed."""
    headers = head.headers
    deadline_text = header(headers, const.HEADER_DEADLINE)
    deadline_ms = None
    if deadline_text is not None:
        deadline_ms = _parse_milliseconds(deadline_text)
        if deadline_ms is None:
            return _bad_request("X-Deadline-Ms is not a whole number of milliseconds")
    key = header(headers, const.HEADER_IDEMPOTENCY_KEY) or ""
    if len(key) > const.MAX_KEY_LENGTH:
        return _bad_request(
            f"Idempotency-Key is over {const.MAX_KEY_LENGTH} characters"
        )
    return ReceivedRequest(
        request_id=uuid.uuid4().hex,
        head=head,
        token=_bearer_token(header(headers, const.HEADER_AUTHORIZATION) or ""),
        idempotency_key=key,
        deadline_ms=deadline_ms,
        tier=header(headers, const.HEADER_TIER) or "",
        arrived=now,
    )


def _bearer_token(value: str) -> str:
    if not value.lower().startswith(_BEARER):
        return ""
    return value[len(_BEARER) :].strip()


def _parse_milliseconds(text: str) -> int | None:
    if not (text.isascii() and text.isdigit() and len(text) < 12):
        return None
    return min(int(text), const.MAX_DEADLINE_MS)


def _bad_request(detail: str) -> Ending:
    return Ending(Outcome.NOT_RUN, Reason.BAD_REQUEST, 400, detail=detail)
