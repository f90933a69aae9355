"""Tests of when an entry host reports to an owner."""

from typing import NamedTuple

import pytest

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import Phase
from bitterntiller.components.entry.report_schedule import next_report_at
from bitterntiller.core.interfaces import Ownership

REPORTED = 1000.0


class Live(NamedTuple):
    """The fields of a live request that the schedule uses."""

    owner: Ownership | None
    phase: Phase
    registered_at: float


def live(phase: Phase, registered_at: float = REPORTED, host: str = "core-1") -> Live:
    """Return a request registered with an owner."""
    return Live(Ownership(host, f"{host}:1", 0), phase, registered_at)


def due(
    *requests: Live, unacknowledged: bool = False, quota_pending: bool = False
) -> float:
    """Return the seconds from the last report to the next one to the owner core-1."""
    at = next_report_at("core-1", REPORTED, requests, unacknowledged, quota_pending)
    return pytest.approx(at - REPORTED)


def test_idle_owner_gets_few_reports():
    assert due() == const.IDLE_REPORT_PERIOD
    other = live(Phase.WAITING, host="core-2")
    assert due(other, Live(None, Phase.WAITING, 0.0)) == const.IDLE_REPORT_PERIOD


def test_running_and_ended_requests_are_reported_twice_a_second():
    assert due(live(Phase.RELAYING)) == const.BUSY_REPORT_PERIOD
    assert due(unacknowledged=True) == const.BUSY_REPORT_PERIOD


def test_reports_are_frequent_while_requests_wait_for_the_owner():
    """An owner dies, and a waiting request misses its objective before this is
    detected.

    The replies to reports are the liveness check; without waiting requests, reports are
    infrequent.
    """
    assert due(live(Phase.WAITING)) == const.REPORT_PERIOD
    assert due(quota_pending=True) == const.REPORT_PERIOD


def test_request_that_has_just_begun_to_wait_causes_no_report():
    """Each request causes a report, although its grant arrives within milliseconds."""
    waiting = live(Phase.WAITING, REPORTED + 0.35)
    assert due(waiting) == 0.35 + const.REPORT_PERIOD
    late = live(Phase.WAITING, REPORTED + 5.0)
    assert due(late) == const.IDLE_REPORT_PERIOD or due(late) == (
        const.BUSY_REPORT_PERIOD
    )
