"""Ejection of upstreams that fail more of their requests than the others do."""

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Refused, UpstreamLoad
from bitterntiller.components.dispatch.outliers import (
    FORGET_EJECTIONS_SECONDS,
    MAX_PROBES_TO_READMIT,
    WINDOW_SECONDS,
    OutlierDetector,
    OutlierState,
)
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.core.outcomes import Reason
from tests.components.dispatch import builders as build
from tests.components.dispatch.outlier_builders import (
    NAMES,
    eject,
    fail,
    record,
    review,
    states,
)
from tests.components.dispatch.scripted_load import Script, ScriptedLoad

NOW = 1000.0
BAD = NAMES[0]
ENGINE = Script(seconds=1.4, first=0.28)
PLAIN = Script(seconds=0.1, first=0.1, report_first=False)


def load(
    kind: str,
    names: tuple[str, ...],
    rate: float,
    uneven: str = "on",
    seed: int = 1,
    slots: int = 10,
) -> ScriptedLoad:
    parameters = REGISTERED_PARAMETERS._replace(kind=kind, uneven=uneven)
    scheduler = PoolScheduler(parameters)
    for name in names:
        scheduler.announce(build.upstream(name, slots=slots), NOW)
    script = PLAIN if kind == "plain" else ENGINE
    leaves = (1.0, 1.1) if kind == "plain" else (1.6, 2.6)
    scripts_by_name = dict.fromkeys(names, script)
    return ScriptedLoad(
        scheduler, scripts_by_name, rate, NOW, seed=seed, leaves_after=leaves
    )


def changes(scheduler: PoolScheduler) -> list[str]:
    kept = ("ejected", "readmitted")
    return [one.change for one in scheduler.take_events() if one.change in kept]


def outlier(scheduler: PoolScheduler, name: str, now: float) -> dict:
    return scheduler.describe(now)["upstreams_by_name"][name]["outlier"]


@pytest.mark.parametrize(
    ("kind", "upstreams", "slots", "rate", "trouble", "most"),
    [
        ("engine", 4, 10, 30.0, {"silent": 0.46}, 20),
        ("engine", 4, 10, 15.0, {"failed": 0.46}, 20),
        ("plain", 3, 6, 100.0, {"silent": 0.46}, 100),
        ("plain", 3, 6, 100.0, {"failed": 0.46}, 100),
    ],
)
def test_load_moves_away_from_an_upstream_that_fails_half(
    kind, upstreams, slots, rate, trouble, most
):
    """An upstream that fails half of its requests kept getting them.

    One success in two hid the failures, and requests whose callers left without output
    didn't count at all.
    """
    names = NAMES[:upstreams]
    sound = load(kind, names[1:], rate, slots=slots)
    sound.run(28.0)
    play = load(kind, names, rate, slots=slots)
    fast = play.scripts_by_name[BAD]._replace(seconds=0.275, first=0.055)
    if kind == "plain":
        fast = PLAIN._replace(seconds=0.055, first=0.055)
    play.scripts_by_name[BAD] = fast
    play.run(5.0)
    assert not changes(play.scheduler)
    play.scripts_by_name[BAD] = fast._replace(**trouble)
    play.run(3.0)
    recovered = play.now
    play.run(3.0)
    assert play.completions(recovered) >= 0.9 * sound.completions(NOW + 8.0)
    play.run(17.0)
    assert play.completions(recovered) >= 0.9 * sound.completions(NOW + 8.0)
    assert play.grants(BAD, recovered) <= most


@pytest.mark.parametrize("trouble", [{"failed": 0.45}, {"silent": 0.45}])
@pytest.mark.parametrize(("kind", "upstreams"), [("engine", 4), ("plain", 2)])
def test_no_upstream_is_ejected_where_all_fail_alike(kind, upstreams, trouble):
    """A fault of all upstreams took the first unlucky ones out of use."""
    for seed in range(3):
        play = load(kind, NAMES[:upstreams], 10.0 * upstreams, seed=seed, slots=8)
        for name, script in play.scripts_by_name.items():
            play.scripts_by_name[name] = script._replace(seconds=0.1, **trouble)
        play.run(12.0)
        assert changes(play.scheduler) == []


def test_no_upstream_is_ejected_where_silent_requests_fill_one_after_the_other():
    """Those of the upstream that was filled first were overdue first."""
    for seed in (100, 102, 103):
        play = load("plain", NAMES, 120.0, seed=seed, slots=6)
        script = PLAIN._replace(seconds=0.05, first=0.05, silent=0.45)
        play.scripts_by_name = dict.fromkeys(NAMES, script)
        play.run(2.0)
        assert changes(play.scheduler) == []


def test_nothing_is_recorded_or_ejected_while_off_or_nothing_is_stated():
    plays = [load("engine", NAMES, 25.0, uneven=one) for one in ("off", "stated")]
    for play in plays:
        play.scripts_by_name[BAD] = ENGINE._replace(silent=0.2, failed=0.4)
        play.run(8.0)
        assert changes(play.scheduler) == []
        assert outlier(play.scheduler, BAD, play.now)["samples"] == 0
    off, stated = plays
    assert len(off.decisions) > 150
    assert off.decisions == stated.decisions
    load_report = UpstreamLoad(1, 0, 0, stated.now, work_percent=100)
    state = build.upstream(NAMES[1], slots=10, sequence=2, load=load_report)
    stated.scheduler.announce(state, stated.now)
    stated.run(8.0)
    assert "ejected" in changes(stated.scheduler)


def test_ejected_upstream_gets_one_probe_at_a_time_and_is_readmitted():
    """An ejected upstream must not stay unused, nor get a full load at once."""
    play = load("engine", NAMES, 25.0)
    play.scripts_by_name[BAD] = ENGINE._replace(failed=0.6)
    while "ejected" not in changes(play.scheduler):
        play.run(0.05)
    since = play.now
    left = outlier(play.scheduler, BAD, since)["wait_seconds"]
    assert 0.9 < left <= 1.0
    assert play.scheduler.next_wake(since) <= since + left
    play.scripts_by_name[BAD] = ENGINE
    play.run(left - 0.02)
    assert play.grants(BAD, since) == 0
    play.run(0.2)
    assert play.grants(BAD, since) == 1
    play.run(2.5)
    assert changes(play.scheduler) == ["readmitted"]
    play.run(1.0)
    assert play.grants(BAD, since) > 4


def test_restart_forgets_ejection_and_outcomes_of_earlier_requests():
    """A replaced process was kept from requests for what the old one had done."""
    play = load("engine", NAMES, 25.0)
    play.scripts_by_name[BAD] = ENGINE._replace(silent=0.6)
    while "ejected" not in changes(play.scheduler):
        play.run(0.05)
    play.scripts_by_name[BAD] = ENGINE
    state = build.upstream(BAD, slots=10, incarnation=2)
    play.scheduler.announce(state, play.now)
    since = play.now
    play.run(0.5)
    assert play.grants(BAD, since)
    play.run(3.0)
    found = outlier(play.scheduler, BAD, play.now)
    assert (found["ejected"], found["failures"]) == (False, 0)
    assert found["samples"]


def test_request_that_has_tried_the_others_is_not_held_until_the_ejection_ends():
    """Its caller left while it waited for the ejected upstream."""
    play = load("engine", NAMES[:2], 8.0)
    play.scripts_by_name[BAD] = ENGINE._replace(failed=0.6)
    while "ejected" not in changes(play.scheduler):
        play.run(0.05)
    play.rate = 0.0
    play.scripts_by_name[NAMES[1]] = ENGINE
    play.run(0.5)
    now = play.now
    eject_for = outlier(play.scheduler, BAD, now)["wait_seconds"]
    assert eject_for > 0.2
    request = build.request("again", arrived=now, deadline=now + 8.0)
    decisions = play.scheduler.register(request, now)
    for _ in range(2):
        assert build.granted(decisions) == [NAMES[1]]
        decisions = play.scheduler.returned("again", "lost-answer", True, now)
    assert build.granted(decisions) == [NAMES[1]]
    (refused,) = play.scheduler.returned("again", "lost-answer", True, now)
    assert isinstance(refused, Refused)
    assert refused.reason is Reason.NOT_ADMITTED


def test_slots_of_an_ejected_upstream_count_again_when_it_is_readmitted():
    pool = Pool(REGISTERED_PARAMETERS._replace(uneven="on"))
    for name in NAMES:
        pool.announce(build.upstream(name, slots=4), NOW)
    upstream = pool.upstreams_by_name[BAD]
    upstream.outlier.eject(NOW)
    pool.refresh(upstream, NOW)
    assert (pool.slots, upstream.member, upstream.free) == (12, True, False)
    assert pool.next_refresh() == pytest.approx(NOW + 1.0)
    pool.refresh_due(NOW + 1.0)
    assert (pool.slots, upstream.free) == (12, True)
    upstream.outlier.readmit(NOW + 1.0)
    pool.refresh(upstream, NOW + 1.0)
    assert pool.slots == 16


def test_event_has_the_rates_and_the_number_of_samples():
    play = load("engine", NAMES, 25.0)
    play.scripts_by_name[BAD] = ENGINE._replace(failed=0.6)
    found = []
    while not found:
        play.run(0.05)
        events = play.scheduler.take_events()
        found = [one for one in events if one.change == "ejected"]
    (event,) = found
    assert event.upstream == BAD
    assert event.failure_rate > 0.3 > event.pool_failure_rate > 0.0
    assert 4 <= event.samples <= 20
    assert event.probe_in == pytest.approx(1.0)


@pytest.mark.parametrize(
    ("failures", "successes", "ejected"),
    [(3, 0, False), (4, 0, True), (4, 11, True), (4, 12, False), (5, 15, True)],
)
def test_outlier_has_four_failures_and_a_rate_above_a_fifth(
    failures, successes, ejected
):
    by_name = states()
    fail(by_name[BAD], NOW, failures, successes)
    assert (BAD in review(by_name, NOW)) is ejected


def test_outlier_fails_three_times_as_often_as_the_rest():
    for rest_failures, ejected in ((2, True), (4, False)):
        by_name = states()
        for name in NAMES[1:]:
            fail(by_name[name], NOW, rest_failures, 20 - rest_failures)
        fail(by_name[BAD], NOW, 10, 10)
        assert (BAD in review(by_name, NOW)) is ejected


@pytest.mark.parametrize(("upstreams", "most"), [(1, 0), (2, 1), (5, 1), (9, 3)])
def test_at_most_a_third_is_ejected_the_worst_first(upstreams, most):
    """A pool without the bound loses the capacity that it needs for the rest."""
    by_name = states(*(f"e{number}" for number in range(upstreams)), samples=0)
    for number, state in enumerate(by_name.values()):
        bad = number < min(most + 1, upstreams - 1) or not number
        fail(state, NOW, 12 - number if bad else 0, 10 + number)
    assert list(review(by_name, NOW)) == [f"e{number}" for number in range(most)]


def test_ejections_double_until_a_long_time_without_any():
    by_name = states()
    state = by_name[BAD]
    now = eject(by_name, BAD, NOW)
    for seconds in (1.0, 2.0, 4.0, 8.0, 8.0):
        assert state.wait_seconds(now) == pytest.approx(seconds)
        now = state.ejected_until
        record(state, "probe", now, failed=True)
    now = state.ejected_until
    for number in range(MAX_PROBES_TO_READMIT):
        assert state.ejected
        record(state, f"sound{number}", now, failed=False)
    assert not state.ejected
    now = eject(by_name, BAD, now + FORGET_EJECTIONS_SECONDS + 1.0)
    assert state.wait_seconds(now) == pytest.approx(1.0)


def test_more_probes_in_a_row_must_succeed_after_each_ejection():
    """An upstream that fails half of its requests passed three probes by chance."""
    by_name = states()
    state = by_name[BAD]
    eject(by_name, BAD, NOW)
    outcomes = (False, False, True, False, False, False, False, False)
    for number, failed in enumerate(outcomes):
        now = state.ejected_until + WINDOW_SECONDS
        record(state, f"probe{number}", now, failed=failed)
        review(by_name, now)
        assert state.ejected
    record(state, "probe", state.ejected_until, failed=False)
    assert not state.ejected


def test_ejected_upstream_is_readmitted_once_the_others_fail_alike():
    by_name = states()
    eject(by_name, BAD, NOW)
    for name in NAMES[1:]:
        fail(by_name[name], NOW, 7, 13)
    assert not review(by_name, NOW)[BAD].ejected


def test_request_counts_when_overdue_but_not_again_when_it_ends():
    """A request without output counted only when its caller left."""
    detector, state = OutlierDetector(), OutlierState()
    state.record_grant("silent", "host")
    detector.record_start(state, "silent", NOW, 1.0)
    detector.count_overdue(NOW + 0.9)
    assert state.counts(NOW + 0.9) == (0, 0)
    detector.count_overdue(NOW + 1.1)
    assert state.counts(NOW + 1.1) == (1, 1)
    detector.record_end(state, "silent", NOW + 1.6)
    detector.forget(state, "silent")
    assert state.counts(NOW + 1.6) == (1, 1)
    assert state.counts(NOW + 1.1 + 1.01 * WINDOW_SECONDS) == (0, 0)


def test_late_output_takes_the_failure_back_and_ends_the_ejection_of_a_probe():
    """A slow but sound upstream stayed ejected, since each probe was overdue."""
    by_name = states()
    state, detector = by_name[BAD], OutlierDetector()
    eject(by_name, BAD, NOW)
    now = state.ejected_until
    for number in range(3):
        state.record_grant(f"slow{number}", "host")
        detector.record_start(state, f"slow{number}", now, 1.0)
        detector.count_overdue(now + 1.1)
        assert not state.allows_request(now + 1.1)
        now += 1.3
        detector.record_success(state, f"slow{number}", now)
        detector.forget(state, f"slow{number}")
        assert state.allows_request(now)
    assert not state.ejected


def test_responses_without_a_stream_count_only_when_they_end():
    """Long responses that come at once at their end counted as failures meanwhile."""
    detector, state = OutlierDetector(), OutlierState()
    now = NOW
    for number in range(20):
        name = f"whole{number}"
        state.record_grant(name, "host")
        detector.record_start(state, name, now, 1.0)
        detector.count_overdue(now + 1.1)
        counted = state.counts(now + 1.1)[0]
        now += 3.0
        detector.record_success(state, name, now)
        detector.forget(state, name)
    assert counted == 0
    state.record_grant("silent", "host")
    detector.record_start(state, "silent", now, 1.0)
    detector.count_overdue(now + 1.1)
    detector.record_end(state, "silent", now + 2.0)
    assert state.counts(now + 2.0)[0] == 1


@pytest.mark.parametrize(("others_fail", "ejected"), [(False, False), (True, True)])
def test_failures_of_one_host_are_those_of_its_path(others_fail, ejected):
    """One host that lost its path to an upstream took it from all others."""
    by_name = states()
    for number in range(10):
        failed = others_fail and number % 2 == 0
        record(by_name[BAD], f"s{number}", NOW, failed=failed, host="sound")
        record(by_name[BAD], f"c{number}", NOW, failed=True, host="cut-off")
    assert (BAD in review(by_name, NOW)) is ejected


def test_only_upstream_that_some_requests_may_use_is_not_ejected():
    """Requests that no other upstream may run waited until their time limit."""
    by_name = states()
    fail(by_name[BAD], NOW, 10, 10)
    assert not review(by_name, NOW, [(BAD,)])
    assert review(by_name, NOW, [(BAD, NAMES[1])])
    assert not review(by_name, NOW, [(BAD, NAMES[1])])
    changed = review({BAD: by_name[BAD]}, NOW)
    assert not changed[BAD].ejected
