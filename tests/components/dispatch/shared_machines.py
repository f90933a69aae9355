"""Load on plain services whose machines are shared with others, in scripted time."""

import random
from typing import NamedTuple

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.const import KIND_PLAIN, OUTCOME_DONE
from bitterntiller.components.dispatch.models import (
    Decision,
    Granted,
    Refused,
    UpstreamLoad,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from tests.components.dispatch import builders as build

BEGIN = 1000.0
STEP = 0.001
REDRAW_SECONDS = 0.6
BUSY_SHARE = 0.15
BUSY_PERCENT = 250
WORK_SECONDS = 0.0225
OBJECTIVE = 0.17
PATIENCE = 1.1
SLOTS = 6
WARM_SECONDS = 3.0


class Result(NamedTuple):
    """Counts of the calls that arrived after WARM_SECONDS, and the grants in order."""

    offered: int
    in_time: int
    granted_at_busy: int
    grants: list[str]

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.offered


def plain_scheduler(uneven: str, *names: str) -> PoolScheduler:
    """Return the scheduler of plain services of SLOTS slots."""
    parameters = REGISTERED_PARAMETERS._replace(kind=KIND_PLAIN, uneven=uneven)
    scheduler = PoolScheduler(parameters)
    for name in names:
        scheduler.announce(build.upstream(name, slots=SLOTS), BEGIN)
    return scheduler


def call(
    scheduler: PoolScheduler, number: int, now: float, tried: tuple[str, ...] = ()
) -> list[Decision]:
    """Register a call and return the decisions."""
    request = build.request(
        f"c{number}",
        prompt_tokens=1,
        output_tokens=0,
        arrived=now,
        deadline=now + PATIENCE,
        first_by=now + OBJECTIVE,
        tried=tried,
    )
    return scheduler.register(request, now)


def answer(
    scheduler: PoolScheduler,
    request_id: str,
    upstream: str,
    seconds: float,
    percent: int | None,
    now: float,
) -> list[Decision]:
    """Report the end of a call whose response stated how long work takes."""
    return scheduler.finished(
        build.completion(
            request_id,
            upstream,
            outcome=OUTCOME_DONE,
            first_token=seconds,
            total=seconds,
            load=UpstreamLoad(0, 0, 0, now, percent),
        ),
        now,
    )


class _Machine:
    """Runs calls side by side; with one processor, they share it."""

    def __init__(self, rng: random.Random, processors: int) -> None:
        self._rng = rng
        self._processors = processors
        self._redraw_at = BEGIN + rng.random() * REDRAW_SECONDS
        self.percent = 100
        self.left_by_id: dict[str, float] = {}

    def step(self, now: float) -> list[str]:
        """Advance by STEP and return the calls that ended."""
        if now >= self._redraw_at:
            self._redraw_at += REDRAW_SECONDS
            busy = self._rng.random() < BUSY_SHARE
            self.percent = BUSY_PERCENT if busy else 100
        crowd = max(1.0, len(self.left_by_id) / self._processors)
        done = STEP * 100 / self.percent / crowd
        for request_id in self.left_by_id:
            self.left_by_id[request_id] -= done
        ended = [name for name, left in self.left_by_id.items() if left <= 0]
        for name in ended:
            del self.left_by_id[name]
        return ended


def play(
    uneven: str, seed: int, seconds: float, rate: float, processors: int, stated: bool
) -> Result:
    """Play calls at a rate against three upstreams whose machines are shared."""
    rng = random.Random(seed)
    names = ["plain-1", "plain-2", "plain-3"]
    machines = {
        name: _Machine(random.Random(rng.random()), processors) for name in names
    }
    scheduler = plain_scheduler(uneven, *names)
    arrived_by_id: dict[str, float] = {}
    granted_by_id: dict[str, float] = {}
    grants: list[str] = []
    in_time = granted_at_busy = offered = number = 0

    def apply(decisions: list[Decision]) -> None:
        nonlocal granted_at_busy
        for decision in decisions:
            if isinstance(decision, Refused):
                arrived_by_id.pop(decision.request_id, None)
                continue
            assert isinstance(decision, Granted)
            grants.append(decision.upstream)
            machine = machines[decision.upstream]
            granted_at_busy += machine.percent != 100
            machine.left_by_id[decision.request_id] = WORK_SECONDS
            granted_by_id[decision.request_id] = now
            scheduler.started(decision.request_id, now)

    next_arrival = BEGIN
    for step in range(int(seconds / STEP)):
        now = BEGIN + step * STEP
        for name, machine in machines.items():
            for request_id in machine.step(now):
                arrived = arrived_by_id.pop(request_id)
                if arrived >= BEGIN + WARM_SECONDS:
                    in_time += now - arrived <= OBJECTIVE
                percent = machine.percent if stated else None
                took = now - granted_by_id.pop(request_id)
                apply(answer(scheduler, request_id, name, took, percent, now))
        while next_arrival <= now:
            next_arrival += rng.expovariate(rate)
            number += 1
            offered += now >= BEGIN + WARM_SECONDS
            arrived_by_id[f"c{number}"] = now
            apply(call(scheduler, number, now))
        if scheduler.next_wake(now) <= now:
            apply(scheduler.tick(now))
    return Result(offered, in_time, granted_at_busy, grants)
