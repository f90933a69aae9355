"""Parses HTTP requests of operators."""

import hmac
import json
import re
import uuid
from typing import Any

from bitterntiller.components.crashes.const import MAX_BLOCK_SECONDS, MAX_FINGERPRINT
from bitterntiller.components.http.models import HttpRequest, header
from bitterntiller.components.operator import const
from bitterntiller.components.operator.errors import RefusedRequestError
from bitterntiller.components.operator.models import (
    BlockRequest,
    ChangeRequest,
    PlacementRequest,
    RepairRequest,
    RolloutRequest,
)

_VERSION_TAG = re.compile(r'"?([0-9]{1,18})"?')
_CHANGE_ID = re.compile(r"[\x21-\x7e]{1,128}")
_FINGERPRINT = re.compile(r"[0-9a-f]{16}")
_ROLLOUT_KEYS = {"service", "to", "seconds"}
_MAX_ROLLOUT_SECONDS = 1_000_000
_PLACEMENT_KEYS = set(PlacementRequest._fields)
_REPAIR_KEYS = set(RepairRequest._fields)


def has_key(request: HttpRequest, key: bytes) -> bool:
    """Return whether a request has the operator key."""
    given = header(request.headers, const.HEADER_AUTHORIZATION) or ""
    scheme, _, token = given.partition(" ")
    if scheme.lower() != "bearer":
        return False
    # Compare in constant time: otherwise the duration would reveal how many leading
    # bytes of a guessed key are right.
    return hmac.compare_digest(token.strip().encode("latin-1"), key)


def read_change(request: HttpRequest) -> ChangeRequest:
    """Return the change in a PUT; raise RefusedRequestError.

    Without Idempotency-Key the change gets a random id: it can't be retried safely, but
    it still applies to one base version only.
    """
    tag = header(request.headers, const.HEADER_IF_MATCH)
    if tag is None:
        raise RefusedRequestError(428, "If-Match with the base version is missing")
    found = _VERSION_TAG.fullmatch(tag.strip())
    if found is None:
        raise RefusedRequestError(400, "If-Match must be one version number")
    change_id = header(request.headers, const.HEADER_IDEMPOTENCY_KEY)
    if change_id is None:
        change_id = str(uuid.uuid4())
    if not _CHANGE_ID.fullmatch(change_id):
        text = "Idempotency-Key must be 1 to 128 visible ASCII characters"
        raise RefusedRequestError(400, text)
    return ChangeRequest(change_id, int(found[1]), request.body)


def read_fingerprint(request: HttpRequest) -> int:
    """Return the fingerprint in a POST; raise RefusedRequestError."""
    return _fingerprint(_document(request))


def read_block(request: HttpRequest) -> BlockRequest:
    """Return the order to block a fingerprint in a POST; raise RefusedRequestError."""
    value = _document(request)
    fingerprint = _fingerprint(value)
    if fingerprint > MAX_FINGERPRINT:
        raise RefusedRequestError(400, "no request has that fingerprint")
    seconds = value.get("seconds")
    if isinstance(seconds, bool) or not isinstance(seconds, int | float):
        raise RefusedRequestError(400, "seconds is a number")
    if not 0 < seconds <= MAX_BLOCK_SECONDS:
        text = f"seconds is above 0 and at most {MAX_BLOCK_SECONDS:g}"
        raise RefusedRequestError(400, text)
    return BlockRequest(fingerprint, float(seconds))


def _fingerprint(value: Any) -> int:
    text = value.get("fingerprint") if isinstance(value, dict) else None
    if not isinstance(text, str) or not _FINGERPRINT.fullmatch(text):
        raise RefusedRequestError(
            400, "expected an object with fingerprint, 16 hexadecimal digits"
        )
    return int(text, 16)


def _document(request: HttpRequest) -> Any:
    try:
        return json.loads(request.body)
    except (ValueError, RecursionError) as error:
        raise RefusedRequestError(400, f"not a JSON document: {error}") from error


def read_rollout(request: HttpRequest) -> RolloutRequest:
    """Return the order of a rollout in a POST; raise RefusedRequestError."""
    value = _document(request)
    if not isinstance(value, dict) or value.keys() != _ROLLOUT_KEYS:
        text = f"expected an object with {', '.join(sorted(_ROLLOUT_KEYS))}"
        raise RefusedRequestError(400, text)
    service, to, seconds = value["service"], value["to"], value["seconds"]
    if not isinstance(service, str) or not isinstance(to, str):
        raise RefusedRequestError(400, "service and to are strings")
    if isinstance(seconds, bool) or not isinstance(seconds, int | float):
        raise RefusedRequestError(400, "seconds is a number")
    if not 0 <= seconds <= _MAX_ROLLOUT_SECONDS:
        raise RefusedRequestError(400, f"seconds is from 0 to {_MAX_ROLLOUT_SECONDS}")
    return RolloutRequest(service, to, int(seconds * 1000))


def read_placement(request: HttpRequest) -> PlacementRequest:
    """Return the query in a POST; raise RefusedRequestError."""
    value = _document(request)
    if not isinstance(value, dict) or value.keys() != _PLACEMENT_KEYS:
        text = f"expected an object with {', '.join(sorted(_PLACEMENT_KEYS))}"
        raise RefusedRequestError(400, text)
    query = PlacementRequest(**value)
    if not all(isinstance(text, str) for text in query[:3]):
        raise RefusedRequestError(400, "workspace, path and host are strings")
    if not query.path.startswith("/"):
        raise RefusedRequestError(400, "a path begins with a slash")
    for tokens in query[3:]:
        whole = isinstance(tokens, int) and not isinstance(tokens, bool)
        if not whole or not 0 <= tokens <= const.MAX_QUERY_TOKENS:
            text = f"tokens are a whole number from 0 to {const.MAX_QUERY_TOKENS}"
            raise RefusedRequestError(400, text)
    return query


def read_repair(request: HttpRequest) -> RepairRequest:
    """Return the replacement of a replica in a POST; raise RefusedRequestError."""
    value = _document(request)
    if not isinstance(value, dict) or not value.keys() <= _REPAIR_KEYS:
        text = f"expected an object with {', '.join(sorted(_REPAIR_KEYS))}"
        raise RefusedRequestError(400, text)
    if not all(isinstance(item, str) and item.isascii() for item in value.values()):
        raise RefusedRequestError(400, "expected ASCII strings")
    repair = RepairRequest(
        value.get("remove", ""), value.get("add", ""), value.get("address", "")
    )
    if not repair.remove and not repair.add:
        raise RefusedRequestError(400, "names neither a replica to remove nor to add")
    return repair
