"""Tests of streams that go on, with real processes and two software versions."""

import time
from pathlib import Path

import pytest

from tests.platform.processes import CONTROL_IPS
from tests.platform.stream_versions import (
    DOWN_SECONDS,
    ENTRY_IPS,
    LONG_PAUSE,
    MovedRouteFleet,
    Row,
    StreamCallers,
    StreamFleet,
    leave_alone,
    move_route,
    release,
    restart_entry_hosts,
    restart_in_turn,
    run,
)

LEAST_SHARE = 0.95
"""Least share of the streams taken up that go on, of that of new streams that begin."""

MAX_FIRST_EVENT_DELAY = 0.01
"""Seconds that the first event of a stream taken up may take beyond a new one's."""

FEW_CALLERS = 4
"""Callers that don't delay each other, so that their times are those of the hosts."""

ROWS = (
    Row("callers-break-off", leave_alone),
    Row("engines-break-off", leave_alone, 0.0, 0.25),
    Row("entry-hosts-restart", restart_in_turn(ENTRY_IPS)),
    Row("control-hosts-restart", restart_in_turn(CONTROL_IPS)),
)


@pytest.mark.parametrize("row", ROWS, ids=[row.name for row in ROWS])
def test_stream_goes_on_at_the_version_that_began_it(row: Row, tmp_path: Path):
    """No stream may hold events of two versions, and streams go on all the same."""
    with StreamFleet(tmp_path) as fleet:
        fleet.add_versions()
        tally = run(fleet, row.way, 8.0, row.caller_breaks, row.engine_breaks)
    assert tally.taken_up >= 12
    assert (tally.mixed, tally.broken) == (0, 0)
    assert tally.share_gone_on >= LEAST_SHARE * tally.share_begun


def test_streams_go_on_after_all_entry_hosts_were_killed_at_once(tmp_path: Path):
    """The hosts that had relayed the streams had forgotten which version began them."""
    with StreamFleet(tmp_path) as fleet:
        fleet.add_versions()
        readers = StreamCallers(fleet.entry_ips, breaks=0.0, pause=LONG_PAUSE)
        restart_entry_hosts(fleet, time.monotonic() + 10.0)
        readers.stop()
    tally = readers.tally(lambda stream: stream.asked_again)
    assert tally.taken_up >= 12
    assert (tally.mixed, tally.broken) == (0, 0)
    new = readers.tally(lambda stream: stream.takes[0].status > 0)
    assert tally.share_gone_on >= 0.5 * new.share_begun


@pytest.mark.parametrize("seed", [1, 3])
def test_no_stream_is_joined_from_two_versions_when_hosts_forget_amid_releases(
    seed: int, tmp_path: Path
):
    """The only version left was taken for the one that had begun a stream."""
    with StreamFleet(tmp_path) as fleet:
        fleet.add_versions()
        readers = StreamCallers(fleet.entry_ips, breaks=0.0, pause=LONG_PAUSE)
        release(seed)(fleet, time.monotonic() + 16.0)
        readers.stop()
    tally = readers.tally(lambda stream: stream.asked_again)
    assert tally.taken_up >= 12
    assert (tally.mixed, tally.broken) == (0, 0)
    assert tally.went_on > 0


def test_no_stream_is_joined_from_two_services_after_a_route_moved(tmp_path: Path):
    """The service that a route had moved to was taken for the one of its streams."""
    with MovedRouteFleet(tmp_path) as fleet:
        fleet.add_services()
        fleet.restart_entry_hosts(DOWN_SECONDS)
        readers = StreamCallers(fleet.entry_ips, breaks=0.0, pause=LONG_PAUSE)
        move_route(1)(fleet, time.monotonic() + 10.0)
        readers.stop()
    tally = readers.tally(lambda stream: stream.asked_again)
    assert tally.taken_up >= 12
    assert (tally.mixed, tally.broken) == (0, 0)


def test_streams_that_begin_after_a_move_and_a_restart_go_on(tmp_path: Path):
    """Hosts that were started after a move didn't tell holders of their streams."""
    with MovedRouteFleet(tmp_path) as fleet:
        fleet.add_services()
        fleet.restart_entry_hosts(DOWN_SECONDS)
        tally = run(fleet, leave_alone, 4.0, caller_breaks=0.5)
    assert tally.taken_up >= 12
    assert (tally.mixed, tally.broken) == (0, 0)
    assert tally.share_gone_on >= LEAST_SHARE * tally.share_begun


@pytest.mark.alone
def test_first_event_of_a_stream_taken_up_comes_soon(tmp_path: Path):
    """Callers that took a stream up waited long until its version was found."""
    with StreamFleet(tmp_path) as fleet:
        fleet.add_versions()
        tally = run(fleet, leave_alone, 8.0, caller_breaks=0.5, callers=FEW_CALLERS)
    assert tally.taken_up >= 12
    assert tally.taken_up_p50 <= tally.first_p50 + MAX_FIRST_EVENT_DELAY
