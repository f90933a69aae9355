"""Contended upstreams in simulated time, and the cases of their slowdowns."""

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from bench.events import EventLoop

WORK_SECONDS = 0.3
SLOTS = 6
UPSTREAMS = 6
SWAP_SECONDS = 8.0
RESAMPLE_SECONDS = 0.6
SHARED_SECONDS = 40.0
"""How long the speeds of shared machines are drawn for."""

RATIOS = (0.4, 1.0, 1.0, 1.0, 1.0, 2.5)


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


def make_case(name: str, seed: int) -> Case:
    """Return a case, a to e; the seed draws the speeds of shared machines."""
    return {
        "a": case_a,
        "b": case_b,
        "c": partial(case_c, seed, SHARED_SECONDS),
        "d": partial(case_d, seed, SHARED_SECONDS),
        "e": case_e,
    }[name]()
