"""Late load reports and the account of outstanding prefill."""

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


def test_a_late_report_of_own_work_is_not_counted_twice():
    """A report is measured while three own requests run and comes 5 s later.

    If it were added to the ledger, an upstream would look twice as full as it
    is, and get too little work. By the time it comes, one request has ended.
    """
    ledger = filled(3, at=10.0)
    ledger.remove(ledger.jobs_by_id["r0"], 14.0)
    ledger.apply_load_report(
        UpstreamLoad(running=3, waiting=0, kv_tokens=0, measured_at=12.0), 17.0
    )
    assert ledger.foreign_requests(17.0) == 0.0


def test_what_a_report_has_beyond_own_work_is_foreign():
    ledger = filled(3, at=10.0)
    for _ in range(8):
        ledger.apply_load_report(UpstreamLoad(5, 2, 0, measured_at=12.0), 13.0)
    assert 3.9 < ledger.foreign_requests(13.0) <= 4.0


def test_a_report_from_before_the_ledger_began_says_nothing():
    ledger = filled(1, at=10.0)
    ledger.apply_load_report(UpstreamLoad(9, 0, 0, measured_at=9.0), 12.0)
    assert ledger.foreign_requests(12.0) == 0.0


def test_work_of_others_counts_while_reports_repeat_it_and_fades_after():
    """With two owners at once, each would fill the slots that the other has taken."""
    ledger = filled(1, at=10.0)
    now = 10.0
    for number in range(40):
        now = 10.0 + 0.25 * number
        ledger.apply_load_report(UpstreamLoad(4, 0, 0, measured_at=now), now)
    assert 2.5 < ledger.foreign_requests(now) <= 3.0
    assert ledger.foreign_requests(now + FOREIGN_DECAY_SECONDS) < 1.5


def test_a_prefill_that_hangs_does_not_look_done():
    ledger = filled(1, at=10.0)
    speed = EngineSpeed(PoolSpeed())
    assert ledger.prefill_backlog(speed, 10.0) < 1.0
    assert ledger.prefill_backlog(speed, 40.0) >= 3.0
