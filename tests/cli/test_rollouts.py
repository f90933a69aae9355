"""Tests of the output of `bitterntiller rollouts`."""

import json

import pytest

from bitterntiller.cli.commands.rollouts import describe, describe_order
from bitterntiller.components.operator import const, requests
from bitterntiller.components.operator.errors import RefusedRequestError
from bitterntiller.components.rollouts.diagnostics import describe_rollouts
from bitterntiller.components.settings.models import RolloutBounds
from bitterntiller.protocol import messages
from tests.components.control.builders import apply
from tests.components.operator.builders import operator_request
from tests.components.rollouts.builders import POOL, report
from tests.components.rollouts.test_state import ordered


def shown():
    state = ordered()
    items = [
        messages.EvidenceItem(second=1, route="report", upstream=name, counts=counts)
        for name, counts in (("", [90, 1, 0, 0, 80, 4]), ("n1", [7, 2, 0, 0, 6, 3]))
    ]
    apply(
        state,
        3,
        rollout_report=report(2, reached=400, exposed=9, evidence=items, cap=20),
    )
    return json.loads(json.dumps(describe_rollouts(state.rollouts, RolloutBounds())))


def test_rollout_is_shown_with_exposure_and_evidence():
    text = describe(shown())
    for word in (POOL, "v2", "judged", "90", "over all routes", "report"):
        assert word in text


def test_missing_rollouts_are_reported():
    assert describe({"rollouts_by_service": {}}) == "no rollout was ordered"


def test_accepted_rollout_is_reported_in_one_line():
    value = {"number": 4, "to": "v2", "phase": "judged"}
    assert describe_order(value) == "rollout 4 to v2: judged"


@pytest.mark.parametrize(
    "value",
    [
        [],
        {},
        {"service": "llm", "to": "v2", "seconds": 8, "more": 1},
        {"service": 1, "to": "v2", "seconds": 8},
        {"service": "llm", "to": "v2", "seconds": "8"},
        {"service": "llm", "to": "v2", "seconds": True},
        {"service": "llm", "to": "v2", "seconds": float("nan")},
        {"service": "llm", "to": "v2", "seconds": -1},
    ],
)
def test_malformed_rollout_command_is_refused_with_a_text(value):
    request = operator_request("POST", const.PATH_ROLLOUTS)
    request = request._replace(body=json.dumps(value).encode())
    with pytest.raises(RefusedRequestError) as refused:
        requests.read_rollout(request)
    assert refused.value.text
