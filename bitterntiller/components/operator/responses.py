"""Converts replies of control into HTTP responses."""

import json
import re
from collections.abc import Mapping
from typing import Any

from bitterntiller.components.http.models import Headers, HttpResponse
from bitterntiller.components.operator import const

_HTTP_STATUS_BY_CHANGE = {
    const.STATUS_ACCEPTED: 200,
    const.STATUS_CONFLICT: 409,
    const.STATUS_EXPIRED_ID: 409,
    const.STATUS_INVALID: 422,
}
_HTTP_STATUS_BY_ROLLOUT = {
    const.STATUS_ACCEPTED: 200,
    const.STATUS_CONFLICT: 409,
    const.STATUS_INVALID: 422,
}
_HTTP_STATUS_BY_REPAIR = {
    const.STATUS_DONE: 200,
    const.STATUS_RUNNING: 202,
    const.STATUS_REFUSED: 409,
}
_ERROR_CODE = re.compile(r"^\[[a-z-]+\] ")
_KEY_AND_TEXT = re.compile(r"([^\s:]+): (.*)", re.DOTALL)
_UNKNOWN_TEXT = "it is not known whether this was carried out; "


def json_response(
    status: int, value: Mapping[str, Any], headers: Headers | None = None
) -> HttpResponse:
    """Return a response with a JSON body; values unknown to JSON become strings."""
    body = json.dumps(value, default=str).encode() + b"\n"
    content_type = (const.HEADER_CONTENT_TYPE, b"application/json")
    return HttpResponse(status, [content_type, *(headers or [])], body)


def problem_response(status: int, name: str, text: str) -> HttpResponse:
    """Return a response whose text is the reason why nothing was done."""
    return json_response(status, {"status": name, "text": text})


def unavailable_response() -> HttpResponse:
    """Return the response to a read without a reply from a leader."""
    value = {
        "status": const.STATUS_UNAVAILABLE,
        "text": "no leader of control answered",
    }
    return json_response(503, value, _retry_after())


def unknown_outcome_response(advice: str) -> HttpResponse:
    """Return the response to a change whose outcome is unknown."""
    value = {"status": const.STATUS_UNKNOWN, "text": _UNKNOWN_TEXT + advice}
    return json_response(503, value, _retry_after())


def _retry_after() -> Headers:
    return [(const.HEADER_RETRY_AFTER, str(const.RETRY_AFTER_SECONDS).encode())]


def config_response(reply: Any) -> HttpResponse:
    """Return the response for a messages.ConfigReply, or None."""
    if reply is None or reply.status != const.STATUS_OK:
        return unavailable_response()
    value = {"version": reply.version, "config": json.loads(reply.config or b"{}")}
    etag = (const.HEADER_ETAG, f'"{reply.version}"'.encode())
    return json_response(200, value, [etag])


def change_response(reply: Any) -> HttpResponse:
    """Return the response for a messages.ChangeReply, or None."""
    status = None if reply is None else _HTTP_STATUS_BY_CHANGE.get(reply.status)
    if reply is not None and reply.status == const.STATUS_FULL:
        full = {"status": reply.status, "text": reply.text}
        return json_response(503, full, _retry_after())
    if status is None:
        return unknown_outcome_response(
            "resend the change with the same id and base version"
        )
    value: dict[str, Any] = {"status": reply.status, "version": reply.version}
    if reply.status == const.STATUS_INVALID:
        value["problems"] = split_problems(reply.text)
    elif reply.text:
        value["text"] = reply.text
    return json_response(status, value)


def split_problems(text: str) -> list[dict[str, str]]:
    """Return the key and text of each problem in the text of control's reply."""
    problems = []
    for line in _ERROR_CODE.sub("", text).splitlines():
        found = _KEY_AND_TEXT.fullmatch(line)
        key, what = found.groups() if found else (".", line)
        problems.append({"key": key, "text": what})
    return problems


def rollouts_response(reply: Any) -> HttpResponse:
    """Return the response that shows rollouts, for a messages.RolloutReply or None."""
    if reply is None or reply.status != const.STATUS_OK:
        return unavailable_response()
    return json_response(200, json.loads(reply.document))


def rollout_response(reply: Any) -> HttpResponse:
    """Return the response to an order, for a messages.RolloutReply or None."""
    status = None if reply is None else _HTTP_STATUS_BY_ROLLOUT.get(reply.status)
    if status is None:
        return unknown_outcome_response("send the same order again")
    value: dict[str, Any] = {"status": reply.status}
    if reply.phase is not None:
        value |= {"to": reply.to, "phase": reply.phase, "number": reply.number}
    if reply.text:
        value["text"] = reply.text
    return json_response(status, value)


def control_response(reply: Any) -> HttpResponse:
    """Return the response for a messages.ControlStatusReply, or None."""
    if reply is None or reply.status != const.STATUS_OK:
        return unavailable_response()
    value = {
        "status": reply.status,
        "leader": reply.leader,
        "control": json.loads(reply.document),
    }
    return json_response(200, value)


def repair_response(reply: Any) -> HttpResponse:
    """Return the response for a messages.RepairReply, or None.

    The request is idempotent: repeating it refers to the same replacement.
    """
    status = None if reply is None else _HTTP_STATUS_BY_REPAIR.get(reply.status)
    if status is None:
        return unknown_outcome_response("repeat it: the answer tells how far it is")
    return json_response(status, {"status": reply.status, "text": reply.text})
