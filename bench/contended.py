"""Plain calls at contended upstreams, in simulated time: `python -m bench.contended`.

Plays the cases of docs/design/contended-pools.md on the owner's scheduler and prints
the fraction of calls that end within the objective, by time span: a (three upstreams
are contended), b (unequal speeds, two of which swap), c (shared half of the time),
d (shared 15 in 100 of the time), e (the other three become contended after 8 s).
--limit compares the learned limit with other algorithms.
"""

import random
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import cappa

from bench.concurrency_limits import LIMIT_BY_NAME
from bench.contended_upstreams import (
    SLOTS,
    WORK_SECONDS,
    Case,
    Upstream,
    make_case,
)
from bench.events import EventLoop
from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.const import KIND_PLAIN
from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    Refused,
    UpstreamState,
    WaitingRequest,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler

LOAD = 0.85
OBJECTIVE_SECONDS = 1.0
ANNOUNCE_SECONDS = 0.5
TRANSIT_SECONDS = 0.004
"""Time from a decision to its effect, and from the end of a call to its report."""


class Call(NamedTuple):
    """When a call arrived, and when it ended; None if it was refused or left."""

    arrived: float
    ended: float | None


class Run:
    """One run of a case."""

    def __init__(
        self,
        case: Case,
        uneven: str,
        load: float,
        seconds: float,
        timeout: float,
        seed: int,
        noise: float = 1.0,
        limit: str = "learned",
    ) -> None:
        self.calls: list[Call] = []
        self.loop = EventLoop()
        parameters = REGISTERED_PARAMETERS._replace(kind=KIND_PLAIN, uneven=uneven)
        self.scheduler = PoolScheduler(parameters)
        self._rng = random.Random(seed)
        self._timeout = timeout
        self._noise = noise
        self._rate = load * case.best
        self._seconds = seconds
        self._arrived_by_id: dict[str, float] = {}
        self._waiting: set[str] = set()
        self._wake_at = float("inf")
        self._sequence = 0
        self.refused: dict[str, int] = {}
        self.upstreams = {
            f"p-{index}": Upstream(f"p-{index}", self.loop, slowdown, self._end)
            for index, slowdown in enumerate(case.slowdowns)
        }
        self._announce()
        if limit != "learned":
            self._replace_limits(limit)
        for when in case.changes:
            for upstream in self.upstreams.values():
                self.loop.at(when, upstream.change)
        self.loop.after(0.1, self._arrive)
        self._tick()

    def _replace_limits(self, name: str) -> None:
        """Replace the learned limits by those of another algorithm."""
        pool = self.scheduler._pool  # noqa: SLF001
        for upstream in pool.upstreams_by_name.values():
            upstream.limit.learned = LIMIT_BY_NAME[name]()

    def play(self) -> None:
        """Play the run to its end."""
        self.loop.run(self._seconds + self._timeout + 2)

    def _announce(self) -> None:
        self._sequence += 1
        for name in self.upstreams:
            state = UpstreamState(name, name, 1, self._sequence, False, {}, SLOTS, 0)
            _, decisions = self.scheduler.announce(state, self.loop.now())
            self._apply(decisions)
        self.loop.after(ANNOUNCE_SECONDS, self._announce)

    def _tick(self) -> None:
        self._apply(self.scheduler.tick(self.loop.now()))
        self.loop.after(0.02, self._tick)

    def _arrive(self) -> None:
        now = self.loop.now()
        if now > self._seconds:
            return
        request_id = f"r{len(self._arrived_by_id)}"
        self._arrived_by_id[request_id] = now
        request = WaitingRequest(
            request_id=request_id,
            workspace="foresters",
            tier="2",
            tier_rank=2,
            prompt_tokens=0,
            output_tokens=0,
            arrived=now,
            deadline=now + self._timeout,
            entry_host="bole-1",
            first_by=now + OBJECTIVE_SECONDS,
            start_by=now + self._timeout,
        )
        self._waiting.add(request_id)
        self._apply(self.scheduler.register(request, now))
        self.loop.after(self._timeout, self._leave, request_id)
        self.loop.after(self._rng.expovariate(self._rate), self._arrive)

    def _leave(self, request_id: str) -> None:
        if request_id in self._waiting:
            self._waiting.discard(request_id)
            self.calls.append(Call(self._arrived_by_id[request_id], None))
            self._apply(self.scheduler.cancel(request_id, self.loop.now()))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            request_id = decision.request_id
            self._waiting.discard(request_id)
            if isinstance(decision, Granted):
                upstream = self.upstreams[decision.upstream]
                work = WORK_SECONDS * self._noise ** self._rng.uniform(-1, 1)
                self.loop.after(
                    TRANSIT_SECONDS, self._start, upstream, request_id, work
                )
            elif isinstance(decision, Refused):
                self.refused[decision.reason] = self.refused.get(decision.reason, 0) + 1
                self.calls.append(Call(self._arrived_by_id[request_id], None))

    def _start(self, upstream: Upstream, request_id: str, work: float) -> None:
        self.scheduler.started(request_id, self.loop.now())
        upstream.start(request_id, work)

    def _end(self, request_id: str, name: str, total: float) -> None:
        self.calls.append(Call(self._arrived_by_id[request_id], self.loop.now()))
        self.loop.after(TRANSIT_SECONDS, self._report, request_id, name, total)

    def _report(self, request_id: str, name: str, total: float) -> None:
        completion = Completion(
            request_id, name, "done", 0, None, None, total + 0.002, True
        )
        self._apply(self.scheduler.finished(completion, self.loop.now()))


def in_time(calls: list[Call], since: float, until: float) -> float:
    """Return the fraction of the calls of a time span that ended in time."""
    chosen = [call for call in calls if since <= call.arrived < until]
    met = sum(
        call.ended is not None and call.ended <= call.arrived + OBJECTIVE_SECONDS
        for call in chosen
    )
    return met / max(1, len(chosen))


def _show(name: str, seed: int, run: Run, seconds: float) -> None:
    spans = [(0, 8), (8, 12), (12, seconds)]
    text = " ".join(
        f"{since}-{until:g} s {in_time(run.calls, since, until):.3f}"
        for since, until in spans
    )
    print(
        name,
        seed,
        "all",
        f"{in_time(run.calls, 0, seconds):.3f}",
        text,
        run.refused,
        [upstream.started for upstream in run.upstreams.values()],
    )


@dataclass
class Play:
    """Play the cases and print the fractions of calls that end in time."""

    uneven: Annotated[str, cappa.Arg(long=True)] = "on"
    load: Annotated[float, cappa.Arg(long=True, help="of the best throughput")] = LOAD
    timeout: Annotated[float, cappa.Arg(long=True)] = 4.0
    seeds: Annotated[int, cappa.Arg(long=True)] = 3
    noise: Annotated[float, cappa.Arg(long=True)] = 1.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    cases: Annotated[str, cappa.Arg(long=True)] = "abcde"
    limit: Annotated[str, cappa.Arg(long=True, choices=list(LIMIT_BY_NAME))] = "learned"
    trace: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self) -> None:
        """Play all cases with all seeds."""
        for name in self.cases:
            for seed in range(self.seeds):
                run = Run(
                    make_case(name, seed),
                    self.uneven,
                    self.load,
                    self.seconds,
                    self.timeout,
                    seed,
                    self.noise,
                    self.limit,
                )
                if self.trace:
                    run.loop.after(0.5, trace, run)
                run.play()
                _show(name, seed, run, self.seconds)


def trace(run: Run) -> None:
    """Print the state of the pool twice a second."""
    found = run.scheduler.describe(run.loop.now())
    print(
        f"{run.loop.now():.1f}",
        found["waiting"],
        found["slots"],
        found["capacity"],
        [
            (u["running"], u["limit"], u["concurrency"]["learned"])
            for u in found["upstreams_by_name"].values()
        ],
        f"{in_time(run.calls, run.loop.now() - 2, run.loop.now() - 1):.2f}",
    )
    run.loop.after(0.5, trace, run)


if __name__ == "__main__":
    cappa.invoke(Play)
