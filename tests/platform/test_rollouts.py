"""Tests of rollout orders on the platform's control port."""

import json
from typing import Any

import curio
import pytest
from bitterntiller_platform.announcement import read_announcement
from bitterntiller_platform.control_port import ControlPort

from bitterntiller.components.http.models import HttpRequest, HttpResponse
from bitterntiller.components.settings.models import Address
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages
from tests.components.control.builders import make_runtime

ORDER = {"service": "trees", "to": "v2", "duration_s": 12}


class Leader:
    """A fake leader of control that returns one reply and records the calls."""

    def __init__(self, reply: Any) -> None:
        self.reply = reply
        self.got: list[Any] = []

    async def async_call_leader(self, message: Any, timeout: float) -> Any:
        self.got.append(message)
        return self.reply


def reply(status: str, **fields: Any) -> Any:
    return messages.RolloutReply(status=status, leader="", **{"text": "", **fields})


def ask(leader: Leader, method: str, path: str, body: bytes = b"") -> HttpResponse:
    runtime = make_runtime(ManualClock())
    port = ControlPort(runtime, Address("127.0.0.1", 0), leader)
    return curio.run(port.async_handle, HttpRequest(method, path, "", [], body))


def order(leader: Leader, document: Any = ORDER) -> HttpResponse:
    return ask(leader, "POST", "/-/rollouts", json.dumps(document).encode())


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        ("accepted", 200),
        ("conflict", 409),
        ("invalid", 400),
        ("unknown", 503),
        ("not-leader", 503),
    ],
)
def test_response_depends_on_the_status_of_the_order(status, expected):
    leader = Leader(reply(status))
    assert order(leader).status == expected
    (message,) = leader.got
    assert (message.pool, message.to, message.duration_ms) == ("trees", "v2", 12_000)


def test_order_without_a_leader_gets_503():
    assert order(Leader(None)).status == 503


@pytest.mark.parametrize(
    "document",
    [
        [],
        {},
        ORDER | {"service": ""},
        ORDER | {"service": 3},
        ORDER | {"to": None},
        ORDER | {"duration_s": "12"},
        ORDER | {"duration_s": -1},
        ORDER | {"duration_s": True},
        ORDER | {"duration_s": float("inf")},
        ORDER | {"duration_s": float("nan")},
    ],
)
def test_invalid_order_is_rejected(document):
    """An invalid order must not reach the replicated log."""
    leader = Leader(reply("accepted"))
    response = order(leader, document)
    assert response.status == 400
    assert json.loads(response.body)["error"]
    assert leader.got == []


@pytest.mark.parametrize(
    ("phase", "state"),
    [("judged", "serving"), ("complete", "complete"), ("reverted", "reverted")],
)
def test_state_is_returned_in_the_terms_of_the_platform(phase, state):
    leader = Leader(reply("ok", to="v2", phase=phase, number=4))
    response = ask(leader, "GET", "/-/rollouts/trees")
    assert response.status == 200
    assert json.loads(response.body) == {"state": state, "to": "v2"}
    assert leader.got[0].pool == "trees"


@pytest.mark.parametrize(
    ("found", "status"),
    [(reply("absent"), 404), (reply("not-leader"), 503), (None, 503)],
)
def test_unknown_state_is_not_returned(found, status):
    assert ask(Leader(found), "GET", "/-/rollouts/trees").status == status


def test_read_without_a_service_does_not_call_the_leader():
    """A read without a service name would return the evidence of all services."""
    leader = Leader(reply("ok"))
    assert ask(leader, "GET", "/-/rollouts/").status == 404
    assert leader.got == []


def test_version_and_warm_up_time_are_decoded():
    body = {
        "service": "trees",
        "address": "10.0.0.1:80",
        "state": "ready",
        "batch_slots": 4,
        "seq": 1,
        "version": "v2",
        "cold_remaining_ms": 1500.5,
    }
    found = read_announcement("i-1", json.dumps(body).encode())
    assert found.labels["version"] == "v2"
    assert found.warm_in_ms == 1500
