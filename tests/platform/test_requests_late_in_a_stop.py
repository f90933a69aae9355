"""Requests that reach a host late in its stop, or wait there, with real processes."""

from pathlib import Path

import pytest

from tests.platform.silent_callers import Kind
from tests.platform.stopping_fleet import (
    GRACE_SECONDS,
    STOPPING_IP,
    Call,
    End,
    StopFleet,
    describe,
    play,
)

KINDS = tuple(Kind)
WORK_SECONDS = (0.1, 1.0, 4.0, 8.0)
LEAD_SECONDS = 2.0
MANY_SLOTS = 200


def _kind_and_work(number: int) -> tuple[Kind, float]:
    return KINDS[number % 4], WORK_SECONDS[number // 4 % 4]


def late_bodies() -> list[Call]:
    """Return requests whose bodies end when no new requests are accepted."""
    calls = []
    for number in range(48):
        sent = -0.4 + number * 0.055
        ended = 3.1 + number * 0.09
        calls.append(Call(*_kind_and_work(number), sent - 0.05, sent, ended))
    return calls


def short_late_bodies() -> list[Call]:
    """Return requests with late bodies whose time ends before the stop."""
    return [
        Call(KINDS[number % 4], 0.1, 0.0, 0.1, 3.1 + number * 0.1, STOPPING_IP, 6000)
        for number in range(16)
    ]


@pytest.mark.parametrize(
    ("calls", "slots"),
    [
        (late_bodies(), MANY_SLOTS),
    ],
    ids=["late-bodies"],
)
def test_request_late_in_a_stop_is_not_cut_without_an_answer(
    calls: list[Call], slots: int, tmp_path: Path
):
    """They were passed on and cut at the end of the grace."""
    with StopFleet(tmp_path, slots) as fleet:
        found = play(fleet, calls, LEAD_SECONDS)
    assert (found.lost, found.untrue) == ([], []), describe(found)
    assert found.exit_code is not None
    assert found.seconds < GRACE_SECONDS
    unanswered = [
        answer
        for answer in found.answers
        if answer.end is End.CUT and not answer.call.kind.streams
    ]
    assert unanswered == []


def test_late_request_that_is_sure_to_end_within_the_stop_is_served(tmp_path: Path):
    """A host that refused them all would turn away what it can still serve."""
    with StopFleet(tmp_path, MANY_SLOTS) as fleet:
        found = play(fleet, short_late_bodies(), LEAD_SECONDS)
    assert (found.lost, found.untrue) == ([], []), describe(found)
    assert found.counts()[End.WHOLE] >= len(found.answers) // 2, describe(found)
