"""Detection of violated guarantees: each kind of fault must be found."""

import json

import pytest

from bench.chaos import find_faults
from bench.client import Request, Result
from standins import responses

BODY = json.dumps({"request": "r1"}).encode()
REQUEST = Request("POST", "/bonds", {}, BODY)
WHOLE = responses.plain_response("POST", "/bonds", BODY)
OTHER = responses.plain_response("POST", "/bonds", b"another")


def result(status: int = 200, outcome: str = "done", **changes: object) -> Result:
    seen = Result(True, status, outcome, "", 0.1, 0.1, False, WHOLE)
    return seen._replace(**changes)


@pytest.mark.parametrize(
    ("heard", "ran", "faults"),
    [
        (result(), 1, []),
        (result(cut=True, body=WHOLE[:5]), 1, []),
        (result(503, "not-run", body=b"{}"), 0, []),
        (result(0, "", cut=True, body=b""), 1, []),
        (result(), 2, ["ran more than once"]),
        (result(), 0, ["answered but never ran"]),
        (result(503, "not-run", body=b"{}"), 1, ["not-run that had run"]),
        (result(body=OTHER), 1, ["wrong, mixed or short without a visible cut"]),
        (result(body=WHOLE[:5]), 1, ["wrong, mixed or short without a visible cut"]),
    ],
)
def test_faults(heard: Result, ran: int, faults: list[str]) -> None:
    assert find_faults(REQUEST, [heard], ran) == faults


def test_short_stream_with_an_end_marker_is_a_fault() -> None:
    body = json.dumps({"prompt": "a", "max_tokens": 3, "stream": True}).encode()
    request = Request("POST", "/v1/completions", {}, body)
    texts = [responses.token("a", index) for index in range(3)]
    events = [
        b"data: " + json.dumps({"choices": [{"text": t}]}).encode() for t in texts
    ]
    end = [b"data: [DONE]"]
    whole = b"".join(event + b"\n\n" for event in events + end)
    short = b"".join(event + b"\n\n" for event in events[:2] + end)
    assert find_faults(request, [result(body=whole)], 1) == []
    assert len(find_faults(request, [result(body=short)], 1)) == 1
