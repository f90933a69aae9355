"""Requests that reach a host late in its stop, or wait there, with real processes."""

from pathlib import Path

import pytest

from tests.platform.silent_callers import Kind
from tests.platform.stopping_fleet import (
    GRACE_SECONDS,
    OTHER_IP,
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
MANY_SLOTS, FEW_SLOTS = 200, 2
ACCEPTED_SECONDS = 2.4
"""Connections opened up to then after the signal are accepted."""


def _kind_and_work(number: int) -> tuple[Kind, float]:
    return KINDS[number % 4], WORK_SECONDS[number // 4 % 4]


def late_heads() -> list[Call]:
    """Return requests that are sent during the whole grace on open connections."""
    calls = []
    for number in range(48):
        sent = 0.05 + number * 0.105
        opened = min(sent - 0.02, ACCEPTED_SECONDS)
        calls.append(Call(*_kind_and_work(number), opened, sent, sent))
    return calls


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


def waiting() -> list[Call]:
    """Return requests that wait while others keep all slots."""
    held = [Call(Kind.ONCE, 9.0, -1.0, -1.0, -1.0, OTHER_IP) for _ in range(FEW_SLOTS)]
    waiting = []
    for number in range(24):
        sent = -0.5 + number * 0.12
        waiting.append(Call(KINDS[number % 4], 1.0, sent, sent, sent))
    return held + waiting


@pytest.mark.parametrize(
    ("calls", "slots"),
    [
        (late_heads(), MANY_SLOTS),
        (late_bodies(), MANY_SLOTS),
        (waiting(), FEW_SLOTS),
    ],
    ids=["late-heads", "late-bodies", "waiting"],
)
def test_request_late_in_a_stop_is_not_cut_without_an_answer(
    calls: list[Call], slots: int, tmp_path: Path
):
    """Late requests were passed on and cut; waiting ones were cut at the end."""
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
