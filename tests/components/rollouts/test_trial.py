"""Tests of the trial of a candidate version at one owner."""

from bitterntiller.components.rollouts.models import Cell, Counts
from bitterntiller.components.rollouts.trial import Allowance, Trial

T0 = 1000.0


def answered_by_old(trial, count, seconds=1.0, at=T0):
    for number in range(count):
        name = f"old{at}-{number}"
        trial.record_sent(name, "r", "", True, at)
        trial.record_end(name, False, seconds / 2, seconds)


def totals(trial):
    """Return the counts by upstream, summed over all seconds."""
    found: dict[str, Counts] = {}
    for cell, counts in trial.take_evidence().items():
        found[cell.upstream] = found.get(cell.upstream, Counts()).plus(counts)
    return found


def begun():
    trial = Trial(7)
    trial.started_at = T0
    return trial


def test_nothing_is_reported_before_the_time_of_the_order_is_known():
    trial = Trial(7)
    answered_by_old(trial, 3)
    assert trial.take_evidence() == {}
    trial.started_at = T0 - 2.5
    assert trial.take_evidence() == {Cell(3, "r", ""): Counts(3, 0, 0, 0, 0, 0)}


def test_slow_responses_of_the_candidate_version_are_counted():
    trial = begun()
    answered_by_old(trial, 20)
    trial.record_sent("a", "r", "n1", True, T0 + 2)
    trial.record_end("a", False, 0.5, 1.0)
    trial.record_sent("b", "r", "n1", True, T0 + 2)
    trial.record_end("b", False, 2.0, 4.0)
    assert totals(trial)["n1"] == Counts(2, 0, 2, 1, 2, 1)


def test_overdue_request_counts_as_slow():
    """A version that hangs is evaluated by its fast responses only."""
    trial = begun()
    answered_by_old(trial, 20)
    trial.record_sent("a", "r", "n1", True, T0 + 2)
    trial.count_overdue(T0 + 4.6)
    assert totals(trial)["n1"] == Counts(0, 0, 1, 1, 1, 1)
    trial.record_end("a", True, None, 9.0)
    assert totals(trial)["n1"] == Counts(1, 1, 1, 1, 1, 1)


def test_first_output_that_is_reported_late_is_not_slow():
    """A sound version is reverted, as first outputs are reported twice a second."""
    trial = begun()
    answered_by_old(trial, 20, seconds=0.2)
    trial.record_sent("a", "r", "n1", True, T0 + 2)
    trial.count_overdue(T0 + 2.6)
    trial.record_first_output("a", 0.1)
    trial.record_end("a", False, 0.1, 0.2)
    assert totals(trial)["n1"] == Counts(1, 0, 1, 0, 1, 0)


def test_request_sent_before_the_slow_threshold_is_known_is_not_counted():
    """Of the first requests only the slow ones are counted, which biases the result."""
    trial = begun()
    trial.record_sent("a", "r", "n1", True, T0)
    answered_by_old(trial, 20)
    trial.count_overdue(T0 + 30)
    assert "n1" not in totals(trial)


def test_times_of_a_cold_upstream_are_not_counted():
    """Slow responses of a freshly started upstream revert a sound version."""
    trial = begun()
    answered_by_old(trial, 20)
    trial.record_sent("a", "r", "n1", False, T0 + 2)
    trial.record_end("a", False, 5.0, 9.0)
    assert totals(trial)["n1"] == Counts(1, 0, 0, 0, 0, 0)


def test_evidence_whose_report_was_lost_is_reported_again():
    """Failures in a lost report are never counted."""
    trial = begun()
    answered_by_old(trial, 3)
    lost = trial.take_evidence()
    assert trial.take_evidence() == {}
    trial.requeue_evidence(lost)
    assert trial.take_evidence() == lost


def test_report_that_fails_before_the_time_of_the_order_is_known():
    """The owner's process fails if control has no leader at its first report."""
    trial = Trial(7)
    answered_by_old(trial, 3)
    trial.requeue_evidence(trial.take_evidence())
    trial.started_at = T0
    assert totals(trial)[""].answered == 3


def test_each_route_gets_its_share_of_the_allowance():
    """A fault on a rare route is missed, as frequent routes use up the allowance."""
    trial = begun()
    allowance = Allowance(trial)
    allowance.renew(40, T0 + 1)
    taken = {"common": 0, "rare": 0}
    for number in range(200):
        route = "rare" if number % 5 == 4 else "common"
        trial.record_arrival(route)
        if allowance.take(route, T0):
            taken[route] += 1
            trial.record_sent(str(number), route, "n1", True, T0)
    assert sum(taken.values()) == 40
    assert taken["rare"] >= 6


def test_allowance_expires_without_contact_to_control():
    """An owner cut off from control keeps sending requests to the candidate."""
    allowance = Allowance(begun())
    allowance.renew(5, T0 + 1)
    assert allowance.take("r", T0 + 0.9)
    assert not allowance.is_open(T0 + 1)
    assert not allowance.take("r", T0 + 1)
    allowance.renew(0, T0 + 3)
    assert allowance.left == 4


def test_closed_allowance_permits_no_requests():
    allowance = Allowance(begun())
    allowance.renew(5, T0 + 1)
    allowance.close()
    assert not allowance.is_open(T0)
