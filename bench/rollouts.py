"""Simulates rollouts of good and bad versions: `python -m bench.rollouts --help`.

Trials, allowances and decisions are the product's; requests and upstreams are random.
"""

import argparse
import heapq
import itertools
import json
import math
import random
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from bitterntiller.components.rollouts import canary_analysis
from bitterntiller.components.rollouts.const import (
    CANARY_UPSTREAMS,
    MAX_ALLOWED,
    REPORT_PERIOD,
)
from bitterntiller.components.rollouts.models import Cell, Counts, Phase
from bitterntiller.components.rollouts.progression import (
    Progress,
    most_exposed,
    next_step,
)
from bitterntiller.components.rollouts.trial import Trial
from bitterntiller.components.settings.models import RolloutBounds

BOUNDS = RolloutBounds()
ROUTES = (("report", 0.2, 2.0), ("query", 0.45, 1.2), ("tag", 0.35, 0.2))
"""Names, fractions of the requests, and mean response times in seconds."""

SLOTS = 9
DECISION_DELAY = 0.2
FAULT_SECONDS = 4.0
ROLLBACK_SECONDS = 5.0
FAILURES_BEFORE_ROLLBACK = 50
EVIDENCE_METHODS_BY_NAME = {
    "ratio": canary_analysis.weigh_by_likelihood_ratio,
    "mixture": canary_analysis.weigh_by_mixture,
}


class Case(NamedTuple):
    """Behavior of a candidate version, and faults of the upstreams of both versions.

    A bad version fails or is slow from bad_after on, in seconds; if set so, only under
    load or only on one route. fault is crash, grey (partial failures) or slow.
    """

    name: str
    bad: bool = False
    failure_rate: float = 0.0
    slowdown: float = 1.0
    bad_after: float = 0.0
    only_under_load: bool = False
    route: str = ""
    fault: str = ""


CASES = (
    Case("good"),
    Case("good, crashes", fault="crash"),
    Case("good, partial failures", fault="grey"),
    Case("good, slow ones", fault="slow"),
    Case("fails 5 %", True, failure_rate=0.05),
    Case("fails 20 %", True, failure_rate=0.2),
    Case("fails 60 %", True, failure_rate=0.6),
    Case("2 times slower", True, slowdown=2.0),
    Case("4 times slower", True, slowdown=4.0),
    Case("8 times slower", True, slowdown=8.0),
    Case("fails 40 % after 3 s", True, failure_rate=0.4, bad_after=3.0),
    Case("fails 40 % after 8 s", True, failure_rate=0.4, bad_after=8.0),
    Case("5 times slower after 3 s", True, slowdown=5.0, bad_after=3.0),
    Case("fails 40 % under load", True, failure_rate=0.4, only_under_load=True),
    Case("fails 40 % on one route", True, failure_rate=0.4, route="tag"),
    Case("5 times slower on one route", True, slowdown=5.0, route="query"),
)


class RolloutResult(NamedTuple):
    """Result of one rollout.

    exposed are the canary requests, and allowed is their bound. cut are the requests
    that still ran at old upstreams when the rollout completed. after_50th is the time
    in seconds for which the candidate still got requests after its 50th failure, or 0
    if it had fewer.
    """

    phase: str
    in_time: bool
    exposed: int
    allowed: float
    cut: int
    after_50th: float


class RolloutSimulation:
    """One rollout with one owner."""

    def __init__(
        self, case: Case, rate: float, duration: float, seed: int, weigh: str
    ) -> None:
        self.case = case
        self.rate = rate
        self.duration = duration
        self.weigh = EVIDENCE_METHODS_BY_NAME[weigh]
        self.rng = random.Random(f"{case.name}/{rate}/{duration}/{seed}")
        engines = max(3, math.ceil(rate * 1.0 / SLOTS / 0.7))
        self.time_factor_by_name = {
            f"{side}{number}": self.rng.choice((0.7, 1.0, 1.0, 1.5, 2.5))
            for side in ("old", "new")
            for number in range(engines)
        }
        self.old = [f"old{number}" for number in range(engines)]
        self.new = [f"new{number}" for number in range(engines)]
        self.canaries = self.new[:CANARY_UPSTREAMS]
        self.running_by_name = dict.fromkeys(self.time_factor_by_name, 0)
        self.faulty_upstreams = {
            name
            for name in self.time_factor_by_name
            if case.fault and self.rng.random() < 0.15
        }
        self.fault_at = self.rng.uniform(0, 0.7 * duration)
        self.trial = Trial(1)
        self.trial.started_at = 0.0
        self.counts_by_cell: dict[Cell, Counts] = {}
        self.allotted = 0
        self.allowance = 0
        self.phase = Phase.JUDGED
        self.ended_at = math.inf
        self.pending_phase: tuple[float, Phase] | None = None
        self.failed_at: list[float] = []
        self.last_sent = 0.0
        self.pending_ends: list[tuple[float, int, str, bool, float, float]] = []
        self.numbers = itertools.count()
        self.reached = 0
        self.all_sent: list[tuple[float, int, str, bool, float, float]] = []

    def run(self) -> RolloutResult:
        """Simulate the rollout up to its time limit."""
        now = 0.0
        next_report = 0.0
        while now < self.duration:
            now += self.rng.expovariate(self.rate)
            while next_report <= now and next_report < self.duration:
                self._process_ends(next_report)
                self._apply_pending_phase(next_report)
                self._report(next_report)
                next_report += REPORT_PERIOD
            self._process_ends(now)
            self._apply_pending_phase(now)
            if now < self.duration:
                self._send_request(now)
        done = self.phase is Phase.COMPLETE
        cut = 0
        if done:
            cut = sum(
                name.startswith("old") and sent + seconds > self.ended_at
                for _, _, name, _, seconds, sent in self.all_sent
            )
        fiftieth = self.failed_at[FAILURES_BEFORE_ROLLBACK - 1 :][:1]
        return RolloutResult(
            phase=self.phase,
            in_time=self.ended_at <= self.duration,
            exposed=self.trial.exposed,
            allowed=BOUNDS.fraction * self.reached + BOUNDS.tolerance,
            cut=cut,
            after_50th=max(0.0, self.last_sent - fiftieth[0]) if fiftieth else 0.0,
        )

    def _apply_pending_phase(self, now: float) -> None:
        if self.pending_phase is None or now < self.pending_phase[0]:
            return
        at, self.phase = self.pending_phase
        self.pending_phase = None
        if not self.phase.under_way:
            self.ended_at = at

    def _report(self, now: float) -> None:
        if not self.phase.under_way:
            return
        self.trial.count_overdue(now)
        self.counts_by_cell.update(self.trial.take_evidence())
        progress = Progress(
            now,
            self.duration,
            self.trial.reached,
            self.trial.old_running,
            self.counts_by_cell,
        )
        wanted = MAX_ALLOWED
        cap = most_exposed(progress, BOUNDS)
        allowed = max(0, min(wanted - self.allowance, cap - self.allotted))
        self.allowance += allowed
        self.allotted += allowed
        if self.pending_phase is not None:
            return
        step = next_step(progress, self.weigh)
        if step is not None:
            self.pending_phase = (now + DECISION_DELAY, step.phase)

    def _send_request(self, now: float) -> None:
        self.reached += 1
        draw = self.rng.random()
        route, mean = _route_of_draw(draw)
        self.trial.record_arrival(route)
        name = self._pick(route, now)
        is_new = name.startswith("new")
        number = next(self.numbers)
        if is_new:
            self.last_sent = now
        self.trial.record_sent(str(number), route, name if is_new else "", True, now)
        self.running_by_name[name] += 1
        failed, seconds = self._run(name, route, mean, now)
        sent = (now + seconds, number, name, failed, seconds, now)
        heapq.heappush(self.pending_ends, sent)
        self.all_sent.append(sent)

    def _pick(self, route: str, now: float) -> str:
        if self.phase is Phase.COMPLETE:
            return min(self.new, key=self.running_by_name.__getitem__)
        evaluating = self.phase.under_way and self.allowance > 0
        if evaluating and self.trial.is_below_route_share(route):
            canaries = self._available(self.canaries, now)
            if canaries:
                self.allowance -= 1
                return min(canaries, key=self.running_by_name.__getitem__)
        old = self._available(self.old, now) or self.old
        return min(old, key=self.running_by_name.__getitem__)

    def _available(self, names: list[str], now: float) -> list[str]:
        """Return the upstreams that are not down because of a crash."""
        if self.case.fault != "crash" or not self._is_fault_active(now):
            return names
        return [name for name in names if name not in self.faulty_upstreams]

    def _is_fault_active(self, now: float) -> bool:
        return 0 <= now - self.fault_at < FAULT_SECONDS

    def _run(
        self, name: str, route: str, mean: float, now: float
    ) -> tuple[bool, float]:
        """Return whether a request fails, and its duration in seconds."""
        case = self.case
        load = self.running_by_name[name] / SLOTS
        size = self.rng.lognormvariate(-0.125, 0.5)
        seconds = mean * size * self.time_factor_by_name[name] * (0.7 + 0.6 * load)
        failure_rate = 0.002
        if name in self.faulty_upstreams and self._is_fault_active(now):
            if case.fault == "slow":
                seconds *= 8
            failure_rate = 0.4 if case.fault == "grey" else failure_rate
        is_bad = name.startswith("new") and now >= case.bad_after
        is_bad = is_bad and case.route in ("", route)
        is_bad = is_bad and (not case.only_under_load or load >= 0.6)
        if is_bad:
            seconds *= case.slowdown
            failure_rate = max(failure_rate, case.failure_rate)
        crash_in = self.fault_at - now
        if (
            case.fault == "crash"
            and name in self.faulty_upstreams
            and 0 < crash_in < seconds
        ):
            return True, crash_in
        if self.rng.random() < failure_rate:
            return True, seconds * self.rng.random()
        return False, seconds

    def _process_ends(self, now: float) -> None:
        while self.pending_ends and self.pending_ends[0][0] <= now:
            at, number, name, failed, seconds, _ = heapq.heappop(self.pending_ends)
            self.running_by_name[name] -= 1
            if failed and name.startswith("new"):
                self.failed_at.append(at)
            first = 0.3 * seconds
            self.trial.record_end(str(number), failed, first, seconds)


def _route_of_draw(draw: float) -> tuple[str, float]:
    """Return the route for a random number from 0 to 1, and its mean seconds."""
    for route, part, mean in ROUTES[:-1]:
        draw -= part
        if draw < 0:
            return route, mean
    route, _, mean = ROUTES[-1]
    return route, mean


def simulate(
    case: Case, rate: float, duration: float, weigh: str, seed: int
) -> RolloutResult:
    """Simulate one rollout."""
    return RolloutSimulation(case, rate, duration, seed, weigh).run()


def summary(case: Case, results: list[RolloutResult]) -> dict[str, float | str]:
    """Return the summary of all rollouts of a case."""
    count = len(results)
    wanted = Phase.REVERTED if case.bad else Phase.COMPLETE
    within_allowance = [
        item for item in results if not case.bad or item.exposed <= item.allowed
    ]
    late = [item for item in results if case.bad and item.after_50th > ROLLBACK_SECONDS]
    return {
        "case": case.name,
        "right": sum(item.phase == wanted and item.in_time for item in results) / count,
        "exposure_kept": len(within_allowance) / count,
        "most_of_allowed": max(item.exposed / item.allowed for item in results),
        "late_rollbacks": len(late) / count,
        "reverted": sum(item.phase == Phase.REVERTED for item in results) / count,
        "cut": sum(item.cut for item in results) / count,
    }


def main() -> None:
    """Print one JSON document per case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plays", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=30.0, help="requests per second")
    parser.add_argument("--duration", type=float, default=12.0, help="seconds")
    parser.add_argument(
        "--weigh", choices=sorted(EVIDENCE_METHODS_BY_NAME), default="mixture"
    )
    parser.add_argument(
        "--case", default="", help="only cases whose names contain this"
    )
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    with ProcessPoolExecutor(options.jobs) as pool:
        for case in CASES:
            if options.case not in case.name:
                continue
            simulate_seed = partial(
                simulate, case, options.rate, options.duration, options.weigh
            )
            results = list(pool.map(simulate_seed, range(options.plays), chunksize=25))
            print(json.dumps(summary(case, results)), flush=True)


if __name__ == "__main__":
    main()
