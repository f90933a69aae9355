"""A simulated upstream that drives a learned limit under load."""

import heapq
import random
from collections.abc import Callable

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.concurrency import LearnedLimit
from bitterntiller.components.dispatch.concurrency_samples import Sample
from bitterntiller.components.dispatch.const import KIND_PLAIN
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from tests.components.dispatch.builders import completion, request, upstream

HOUSEKEEPING = 0.25

Slowdown = Callable[[int], float]
"""By which factor work takes longer with so many requests in flight."""


def knee(n: int, best: int = 2) -> float:
    """Return the slowdown of an upstream that is contended beyond a concurrency."""
    return (n / best) ** 2 if n > best else 1.0


def free(n: int) -> float:
    """Return the slowdown of an upstream that is never contended."""
    return 1.0


def serial(n: int) -> float:
    """Return the slowdown of an upstream that gets the same done at any concurrency."""
    return float(n)


def engine(n: int) -> float:
    """Return the slowdown of continuous batching, by its seconds per output."""
    return (3.41 + 0.097 * n) / (3.41 + 0.097)


class LoadedUpstream:
    """An upstream whose requests share its speed, with its learned limit.

    demand is how many requests are in flight or wait at any time, and foreign how many
    others send. noise is the factor by which the work of requests varies. usual is what
    a request is expected to take.
    """

    def __init__(
        self,
        slowdown: Slowdown = free,
        slots: int = 6,
        work: float = 0.3,
        noise: float = 1.1,
        seed: int = 1,
        sizes: tuple[float, ...] = (1.0,),
        usual: float | None = None,
        allowed: float = float("inf"),
        suspects: bool = True,
    ) -> None:
        self.limit = LearnedLimit(suspects)
        self.slowdown = slowdown
        self.slots = slots
        self.demand = 100
        self.foreign = 0
        self.now = 1000.0
        self.work_done = 0.0
        self.limits: list[int] = []
        self._work = work
        self._usual = usual or work
        self._noise = noise
        self._sizes = sizes
        self._allowed = allowed
        self._rng = random.Random(seed)
        self._progress = 0.0
        self._load = 0.0
        self._running: list[tuple[float, float, float, float]] = []
        self._review_at = self.now

    @property
    def in_flight(self) -> int:
        """Return the number in flight, with the foreign ones."""
        return len(self._running) + self.foreign

    def play(self, seconds: float) -> float:
        """Play some time under load; return the work done per second."""
        until = self.now + seconds
        done = self.work_done
        while self.now < until:
            self._fill()
            self._advance(min(self._next_at(), self._review_at, until))
            if self._running and self._running[0][0] <= self._progress + 1e-9:
                self._end()
            if self.now >= self._review_at:
                self._review()
        return (self.work_done - done) / seconds

    def _fill(self) -> None:
        wanted = min(self.limit.limit(self.slots), self.demand)
        while self.in_flight < wanted:
            size = self._rng.choice(self._sizes)
            work = self._work * size * self._noise ** self._rng.uniform(-1, 1)
            end = self._progress + work
            heapq.heappush(self._running, (end, self.now, self._load, size))

    def _next_at(self) -> float:
        if not self._running:
            return float("inf")
        left = self._running[0][0] - self._progress
        return self.now + max(0.0, left) * self.slowdown(self.in_flight)

    def _advance(self, until: float) -> None:
        seconds = until - self.now
        progress = seconds / self.slowdown(max(1, self.in_flight))
        self._progress += progress
        self._load += seconds * self.in_flight
        self.work_done += progress * len(self._running)
        self.now = until

    def _end(self) -> None:
        _, began, load, size = heapq.heappop(self._running)
        seconds = self.now - began
        in_flight = (self._load - load) / seconds
        sample = Sample(self.now, seconds, self._usual * size, in_flight, self._allowed)
        self.limit.learn(sample, self.in_flight + 1, self.slots)

    def _review(self) -> None:
        running = [
            (self.now - began) / (self._usual * size)
            for _, began, _, size in self._running
        ]
        self.limit.review(self.in_flight, self.slots, running, self.now)
        self.limits.append(self.limit.learned(self.slots))
        self._review_at = self.now + HOUSEKEEPING


class PlainPool:
    """The scheduler of a plain service with contended upstreams, driven in steps."""

    def __init__(self, uneven: str, hosts: int = 3) -> None:
        parameters = REGISTERED_PARAMETERS._replace(kind=KIND_PLAIN, uneven=uneven)
        self.scheduler = PoolScheduler(parameters)
        self.now = 1000.0
        self.decisions: list[object] = []
        self._hosts = hosts
        self._left: dict[str, tuple[str, float, float]] = {}
        self.scheduler.announce(upstream("p-0", slots=6), self.now)
        self.play(1.0, most=1)

    def play(self, seconds: float, most: int = 11, step: float = 0.02) -> None:
        """Keep requests of several hosts running and waiting, up to most of them."""
        until = self.now + seconds
        while self.now < until:
            self.now += step
            self._work(step)
            number = len(self.decisions)
            if self.scheduler.describe(self.now)["waiting"] + len(self._left) < most:
                host = f"bole-{number % self._hosts}"
                name = f"r{self.now:.2f}"
                asked = request(name, arrived=self.now, entry_host=host)
                asked = asked._replace(deadline=self.now + 30, prompt_tokens=0)
                asked = asked._replace(first_by=self.now + 1.0)
                self._apply(self.scheduler.register(asked, self.now))
            self._apply(self.scheduler.tick(self.now))

    def adopt(self, count: int) -> None:
        """Let the upstream run requests of an earlier owner."""
        for number in range(count):
            asked = request(f"old-{number}", deadline=self.now + 30, prompt_tokens=0)
            self.scheduler.adopt_running(asked, "p-0", 0, self.now)
            self._left[f"old-{number}"] = ("p-0", 0.3, self.now)

    def state(self) -> dict:
        """Return the state of the upstream in the state dump."""
        return self.scheduler.describe(self.now)["upstreams_by_name"]["p-0"]

    def _apply(self, decisions) -> None:
        for decision in decisions:
            self.decisions.append(decision)
            if hasattr(decision, "upstream"):
                self._left[decision.request_id] = (decision.upstream, 0.3, self.now)
                self.scheduler.started(decision.request_id, self.now)

    def _work(self, step: float) -> None:
        progress = step / knee(len(self._left))
        ended = []
        for request_id, (name, left, began) in self._left.items():
            self._left[request_id] = (name, left - progress, began)
            if left <= progress:
                ended.append((request_id, name, self.now - began))
        for request_id, name, total in ended:
            del self._left[request_id]
            done = completion(request_id, name, total=total, first_token=None)
            self._apply(self.scheduler.finished(done, self.now))


def best_rate(slowdown: Slowdown, slots: int) -> float:
    """Return the most work per second that an upstream gets done."""
    return max(n / slowdown(n) for n in range(1, slots + 1))
