"""Ledger: load reports, foreign requests and outstanding prefill."""

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.ledger import FOREIGN_DECAY_SECONDS, Ledger
from bitterntiller.components.dispatch.models import UpstreamLoad
from bitterntiller.components.dispatch.speed import EngineSpeed, PoolSpeed

from .builders import request


def filled(count, at):
    ledger = Ledger()
    for number in range(count):
        ledger.add(Job(request(f"r{number}"), number, at), prefilled=False, now=at)
    return ledger


def test_late_report_of_own_requests_is_not_counted_twice():
    """A report is measured while three own requests run and arrives 5 s later.

    One of them has ended by then. If the report were added to the ledger, the upstream
    would look twice as full as it is and get too few requests.
    """
    ledger = filled(3, at=10.0)
    ledger.remove(ledger.jobs_by_id["r0"], 14.0)
    ledger.apply_load_report(
        UpstreamLoad(running=3, waiting=0, kv_tokens=0, measured_at=12.0), 17.0
    )
    assert ledger.foreign_requests(17.0) == 0.0


def test_excess_of_a_report_over_own_requests_is_foreign():
    ledger = filled(3, at=10.0)
    for _ in range(8):
        ledger.apply_load_report(UpstreamLoad(5, 2, 0, measured_at=12.0), 13.0)
    assert 3.9 < ledger.foreign_requests(13.0) <= 4.0


def test_report_from_before_the_first_request_is_ignored():
    ledger = filled(1, at=10.0)
    ledger.apply_load_report(UpstreamLoad(9, 0, 0, measured_at=9.0), 12.0)
    assert ledger.foreign_requests(12.0) == 0.0


def test_foreign_requests_count_while_reported_and_decay_afterwards():
    """With two owners at once, each fills the slots that the other one uses."""
    ledger = filled(1, at=10.0)
    now = 10.0
    for number in range(40):
        now = 10.0 + 0.25 * number
        ledger.apply_load_report(UpstreamLoad(4, 0, 0, measured_at=now), now)
    assert 2.5 < ledger.foreign_requests(now) <= 3.0
    assert ledger.foreign_requests(now + FOREIGN_DECAY_SECONDS) < 1.5


def test_hanging_prefill_still_counts_as_backlog():
    ledger = filled(1, at=10.0)
    speed = EngineSpeed(PoolSpeed())
    assert ledger.prefill_backlog(speed, 10.0) < 1.0
    assert ledger.prefill_backlog(speed, 40.0) >= 3.0
