"""Plain calls at contended upstreams, in simulated time: `python -m bench.contended`.

Plays the cases of docs/design/contended-pools.md on the owner's scheduler and prints
the fraction of calls that end within the objective, by time span: a (three upstreams
are contended), b (unequal speeds, two of which swap), c (shared half of the time),
d (shared 15 in 100 of the time), e (the other three become contended after 8 s).
--limit compares the learned limit with other algorithms.
"""

import argparse
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from bench.concurrency_limits import LIMIT_BY_NAME
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

WORK_SECONDS = 0.3
SLOTS = 6
UPSTREAMS = 6
LOAD = 0.85
OBJECTIVE_SECONDS = 1.0
SWAP_SECONDS = 8.0
RESAMPLE_SECONDS = 0.6
ANNOUNCE_SECONDS = 0.5
TRANSIT_SECONDS = 0.004
"""Time from a decision to its effect, and from the end of a call to its report."""

RATIOS = (0.4, 1.0, 1.0, 1.0, 1.0, 2.5)


class Call(NamedTuple):
    """When a call arrived, and when it ended; None if it was refused or left."""

    arrived: float
    ended: float | None


class Upstream:
    """An upstream whose calls share its speed.

    A call progresses at the reciprocal of slowdown(n, now) with n calls in flight.
    """

    def __init__(
        self,
        name: str,
        loop: EventLoop,
        slowdown: Callable[[int, float], float],
        on_end: Callable[[str, str, float], None],
    ) -> None:
        self.name = name
        self.max_in_flight = 0
        self.started = 0
        self._loop = loop
        self._slowdown = slowdown
        self._on_end = on_end
        self._left_by_id: dict[str, float] = {}
        self._started_by_id: dict[str, float] = {}
        self._advanced_at = 0.0
        self._generation = 0

    def start(self, request_id: str, work: float) -> None:
        """Start a call."""
        self._advance()
        self._left_by_id[request_id] = work
        self._started_by_id[request_id] = self._loop.now()
        self.started += 1
        self.max_in_flight = max(self.max_in_flight, len(self._left_by_id))
        self._schedule()

    def change(self) -> None:
        """Apply a change of the slowdown."""
        self._advance()
        self._schedule()

    def _advance(self) -> None:
        now = self._loop.now()
        slowdown = self._slowdown(len(self._left_by_id), self._advanced_at)
        for request_id in self._left_by_id:
            self._left_by_id[request_id] -= (now - self._advanced_at) / slowdown
        self._advanced_at = now

    def _schedule(self) -> None:
        self._generation += 1
        if not self._left_by_id:
            return
        slowdown = self._slowdown(len(self._left_by_id), self._loop.now())
        seconds = max(0.0, min(self._left_by_id.values())) * slowdown
        self._loop.after(seconds, self._end, self._generation)

    def _end(self, generation: int) -> None:
        if generation != self._generation:
            return
        self._advance()
        request_id = min(self._left_by_id, key=self._left_by_id.__getitem__)
        del self._left_by_id[request_id]
        total = self._loop.now() - self._started_by_id.pop(request_id)
        self._schedule()
        self._on_end(request_id, self.name, total)


def squared(n: int) -> float:
    """Return the slowdown of an upstream that is contended from three calls on."""
    return (n / 2) ** 2 if n > 2 else 1.0


class Case(NamedTuple):
    """A case: slowdowns by upstream, the best throughput, and when slowdowns change."""

    slowdowns: tuple[Callable[[int, float], float], ...]
    best: float
    changes: tuple[float, ...] = ()


def case_a() -> Case:
    """Return the case in which three upstreams are contended."""
    contended = [lambda n, now: squared(n)] * 3
    free = [lambda n, now: 1.0] * 3
    best = (3 * 2 + 3 * SLOTS) / WORK_SECONDS
    return Case((*contended, *free), best)


def case_b() -> Case:
    """Return the case of unequal upstreams, two of which swap their speeds."""

    def slowdown(index: int) -> Callable[[int, float], float]:
        other = {0: 5, 5: 0}.get(index, index)
        return lambda n, now: RATIOS[index if now < SWAP_SECONDS else other]

    best = sum(SLOTS / WORK_SECONDS / ratio for ratio in RATIOS)
    return Case(tuple(map(slowdown, range(UPSTREAMS))), best, (SWAP_SECONDS,))


def case_c(seed: int, seconds: float) -> Case:
    """Return the case in which each machine is shared half of the time."""
    rng = random.Random(seed)
    steps = int(seconds / RESAMPLE_SECONDS) + 10
    table = [[rng.choice((1.0, 2.5)) for _ in range(steps)] for _ in range(UPSTREAMS)]

    def slowdown(index: int) -> Callable[[int, float], float]:
        return lambda n, now: table[index][int(now / RESAMPLE_SECONDS + 1e-6)]

    best = UPSTREAMS * SLOTS / WORK_SECONDS * (1 + 1 / 2.5) / 2
    changes = tuple(step * RESAMPLE_SECONDS for step in range(1, steps))
    return Case(tuple(map(slowdown, range(UPSTREAMS))), best, changes)


def case_d(seed: int, seconds: float) -> Case:
    """Return the case in which machines are shared 15 in 100 of the time."""
    rng = random.Random(seed)
    steps = int(seconds / RESAMPLE_SECONDS) + 10
    table = [
        [2.5 if rng.random() < 0.15 else 1.0 for _ in range(steps)]
        for _ in range(UPSTREAMS)
    ]

    def slowdown(index: int) -> Callable[[int, float], float]:
        return lambda n, now: table[index][int(now / RESAMPLE_SECONDS + 1e-6)]

    best = UPSTREAMS * SLOTS / WORK_SECONDS * (0.85 + 0.15 / 2.5)
    changes = tuple(step * RESAMPLE_SECONDS for step in range(1, steps))
    return Case(tuple(map(slowdown, range(UPSTREAMS))), best, changes)


def case_e() -> Case:
    """Return the case of three upstreams contended before 8 s, the others after."""

    def slowdown(index: int) -> Callable[[int, float], float]:
        first = index < UPSTREAMS // 2
        return lambda n, now: squared(n) if first == (now < SWAP_SECONDS) else 1.0

    best = case_a().best
    return Case(tuple(map(slowdown, range(UPSTREAMS))), best, (SWAP_SECONDS,))


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


def main() -> None:
    """Print the results of all cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--uneven", default="on")
    parser.add_argument("--load", type=float, default=LOAD)
    parser.add_argument("--timeout", type=float, default=4.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--noise", type=float, default=1.0)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--cases", default="abcde")
    parser.add_argument("--limit", default="learned", choices=LIMIT_BY_NAME)
    parser.add_argument("--trace", action="store_true")
    arguments = parser.parse_args()
    for name in arguments.cases:
        for seed in range(arguments.seeds):
            case = {
                "a": case_a,
                "b": case_b,
                "c": partial(case_c, seed, 40),
                "d": partial(case_d, seed, 40),
                "e": case_e,
            }[name]()
            run = Run(
                case,
                arguments.uneven,
                arguments.load,
                arguments.seconds,
                arguments.timeout,
                seed,
                arguments.noise,
                arguments.limit,
            )
            if arguments.trace:
                run.loop.after(0.5, trace, run)
            run.play()
            spans = [(0, 8), (8, 12), (12, arguments.seconds)]
            text = " ".join(
                f"{since}-{until:g} s {in_time(run.calls, since, until):.3f}"
                for since, until in spans
            )
            print(
                name,
                seed,
                "all",
                f"{in_time(run.calls, 0, 99):.3f}",
                text,
                run.refused,
                [u.started for u in run.upstreams.values()],
            )


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
    main()
