from collections import Counter

import pytest

from bench.arrivals import capacity
from bench.baselines import BASELINES_BY_NAME
from bench.engine import UpstreamModel
from bench.matrix import EQUIVALENT_CASE_FOR_BASELINES, equivalent_spec
from bench.report import compare, met_targets, report
from bench.run import run, simulate
from bench.schedulers import SCHEDULERS
from bitterntiller.components.dispatch.models import Granted
from tests.bench.builders import make_spec

FINAL_OUTCOMES = ("useful", "gave-up-waiting", "gave-up-running", "refused")


def without_time(measures):
    return {**measures, "cpu_seconds": 0}


@pytest.mark.parametrize("case", ["calm", "owner-killed", "comebacks"])
@pytest.mark.parametrize("scheduler", SCHEDULERS)
def test_every_request_ends_once(scheduler, case):
    hosts, _, _ = simulate(make_spec(scheduler=scheduler, case=case, load=1.5))
    outcomes = Counter(a.outcome for a in hosts.attempts_by_id.values())
    assert set(outcomes) <= set(FINAL_OUTCOMES)
    assert all(a.ended is not None for a in hosts.attempts_by_id.values())
    useful = [a for a in hosts.attempts_by_id.values() if a.outcome == "useful"]
    assert len({a.request.number for a in useful}) == len(useful) > 0
    assert all(a.ended <= a.deadline for a in useful)


def test_upstreams_are_empty_after_a_run():
    hosts, _, _ = simulate(make_spec(load=3.0))
    for upstream in hosts.upstreams_by_name.values():
        assert upstream.model.jobs_by_id == {}
        assert upstream.model.kv_used == 0


@pytest.mark.parametrize("scheduler", SCHEDULERS)
def test_same_seed_has_the_same_results(scheduler):
    spec = make_spec(scheduler=scheduler, case="lost-events", load=1.5)
    assert without_time(run(spec)) == without_time(run(spec))


@pytest.mark.parametrize("case", sorted(EQUIVALENT_CASE_FOR_BASELINES))
@pytest.mark.parametrize("scheduler", BASELINES_BY_NAME)
def test_skipped_runs_would_have_the_same_results(scheduler, case):
    spec = make_spec(scheduler=scheduler, case=case, load=1.5)
    same = {**without_time(run(equivalent_spec(spec))), "case": case}
    assert same == without_time(run(spec))


def test_different_seeds_have_different_results():
    assert run(make_spec())["goodput"] != run(make_spec(seed=2))["goodput"]


@pytest.mark.parametrize("pool", ["zaf-engines", "keskus-engines", "zaf-plain"])
def test_least_outstanding_serves_nearly_all_at_a_fifth_of_capacity(pool):
    measures = run(make_spec(pool=pool, load=0.2, duration=80.0))
    for tier in measures["tiers"].values():
        assert tier["useful"] >= 0.97 * tier["offered"]


def test_goodput_stays_below_capacity():
    measures = run(make_spec(load=1.5, duration=80.0))
    assert 0.2 * capacity("zaf-engines") < measures["goodput"]
    assert measures["goodput"] < capacity("zaf-engines")


def test_slowdown_reaches_the_upstream(monkeypatch):
    speeds = []
    original = UpstreamModel.set_speed

    def record_speed(upstream, speed, now):
        speeds.append((upstream.profile.name, speed, now))
        original(upstream, speed, now)

    monkeypatch.setattr(UpstreamModel, "set_speed", record_speed)
    run(make_spec(case="slow-engine"))
    assert speeds == [("bole-1", 0.2, 12.0), ("bole-1", 1.0, 28.0)]


class RecordingScheduler:
    """A scheduler that grants every request to the newest announced upstream."""

    def __init__(self):
        self.calls = Counter()
        self.state = None

    def __getattr__(self, name):
        def call(*arguments, **named):
            self.calls[name] += 1
            return []

        return call

    def announce(self, state, now):
        self.state = state
        return True, []

    def register(self, request, now):
        self.calls["register"] += 1
        return [Granted(request.request_id, request.entry_host, self.state.name, "", 1)]

    def next_wake(self, now):
        return now + 1.0


def test_new_owner_adopts_running_requests_before_waiting_ones():
    """The owner's process is killed in the middle of a run.

    Its requests continue in the engines, and a new owner that doesn't track them would
    overcommit the engines. The entry hosts must register running requests first.
    """
    schedulers = []

    def make():
        schedulers.append(RecordingScheduler())
        return schedulers[-1]

    simulate(make_spec(case="owner-killed"), make)
    first, second = schedulers
    assert first.calls["adopt_running"] == 0
    assert second.calls["adopt_running"] > 0
    assert second.calls["register"] > 0
    assert second.calls["progress"] > 0


def test_report_compares_with_the_best_baseline():
    results = [
        run(make_spec(scheduler=scheduler, load=load))
        for scheduler in SCHEDULERS
        for load in (0.2, 0.5, 1.5)
    ]
    light, heavy = compare(results)[1:]
    best = max(
        measures["goodput"]
        for measures in results
        if measures["load"] == 1.5 and measures["scheduler"] != "policy"
    )
    assert heavy.best_goodput.median == best
    assert set(met_targets(light)) == {"light load"}
    assert set(met_targets(heavy)) == {"top tier", "wasted", "goodput"}
    assert "### zaf-engines" in report(results)
