"""When an entry host reports to an owner."""

from typing import NamedTuple

import pytest

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import Phase
from bitterntiller.components.entry.report_schedule import next_report_at
from bitterntiller.core.interfaces import Ownership

REPORTED = 1000.0


class Live(NamedTuple):
    """What the schedule sees of a live request."""

    owner: Ownership | None
    phase: Phase
    registered_at: float


def live(phase: Phase, registered_at: float = REPORTED, host: str = "core-1") -> Live:
    """Return a request at an owner."""
    return Live(Ownership(host, f"{host}:1", 0), phase, registered_at)


def due(
    *requests: Live, unacknowledged: bool = False, quota_pending: bool = False
) -> float:
    """Return after how many seconds the owner core-1 is due for the next report."""
    at = next_report_at("core-1", REPORTED, requests, unacknowledged, quota_pending)
    return pytest.approx(at - REPORTED)


def test_quiet_owner_is_reported_to_seldom():
    assert due() == const.IDLE_REPORT_PERIOD
    other = live(Phase.WAITING, host="core-2")
    assert due(other, Live(None, Phase.WAITING, 0.0)) == const.IDLE_REPORT_PERIOD


def test_owner_hears_of_what_runs_and_has_ended_twice_a_second():
    assert due(live(Phase.RELAYING)) == const.BUSY_REPORT_PERIOD
    assert due(unacknowledged=True) == const.BUSY_REPORT_PERIOD


def test_owner_is_asked_for_a_sign_while_requests_wait_for_it():
    """An owner dies, and a request that waits for it is late before that is noticed.

    Reports are the sign of life; while nothing waits they come seldom.
    """
    assert due(live(Phase.WAITING)) == const.REPORT_PERIOD
    assert due(quota_pending=True) == const.REPORT_PERIOD


def test_request_that_has_just_begun_to_wait_costs_no_report_yet():
    """Each request costs a report, though its grant comes in some milliseconds."""
    waiting = live(Phase.WAITING, REPORTED + 0.35)
    assert due(waiting) == 0.35 + const.REPORT_PERIOD
    late = live(Phase.WAITING, REPORTED + 5.0)
    assert due(late) == const.IDLE_REPORT_PERIOD or due(late) == (
        const.BUSY_REPORT_PERIOD
    )
