"""A load of streams on a pool of engines that batch continuously, without a network."""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

CHUNK = 1024
REPORT_SECONDS = 0.5
NOW = 1000.0


class Kind(NamedTuple):
    """A kind of requests: means of prompt tokens and events, and its targets."""

    name: str
    rank: int
    rate: float
    prompt: int
    events: int
    objective: float
    leaves: float


class Deployment(NamedTuple):
    """Engines and requests: a step takes speed x (base + each x streams) seconds."""

    slots: int
    base: float
    each: float
    tokens_per_second: float
    tokens_per_event: int
    gap: float
    kinds: tuple[Kind, ...]

    def work(self, kind: Kind) -> float:
        """Return the seconds of a request at a full engine of speed 1."""
        step = self.base / self.slots + self.each
        tokens = kind.events * self.tokens_per_event
        return kind.prompt / self.tokens_per_second + tokens * step


SECOND = Deployment(
    10,
    0.00341,
    0.000097,
    112_000,
    8,
    0.25,
    (
        Kind("long", 0, 57.1, 6670, 48, 0.645, 16.1),
        Kind("medium", 1, 112, 688, 36, 0.319, 12.7),
        Kind("short", 2, 115, 1860, 3, 0.322, 3.2),
    ),
)
FIRST = Deployment(
    5,
    0.00289,
    0.000101,
    55_000,
    10,
    0.4,
    (
        Kind("long", 0, 110, 6670, 38, 0.865, 16.1),
        Kind("medium", 1, 68, 688, 29, 0.427, 12.7),
        Kind("short", 2, 167, 1860, 2, 0.432, 3.2),
    ),
)
SPEEDS = (0.55, 1.0, 2.8)


class Stream:
    """A request at an engine, as its entry host sees it."""

    def __init__(self, name: str, kind: Kind, prompt: int, events: int, now: float):
        self.name = name
        self.kind = kind
        self.arrived = now
        self.unread = prompt
        self.events = events
        self.tokens = 0
        self.seen = 0
        self.granted_at = 0.0
        self.last_at: float | None = None
        self.first_at: float | None = None
        self.late = False


class Engine:
    """Streams that produce a token in each step, beside one chunk of a prompt."""

    def __init__(self, name: str, speed: float, deployment: Deployment) -> None:
        self.name = name
        self._speed = speed
        self._deployment = deployment
        self.unread: list[Stream] = []
        self.streams: list[Stream] = []
        self.stepping = False

    def step(self) -> tuple[float, int]:
        """Return the seconds of the next step and the tokens of its chunk."""
        d = self._deployment
        chunk = min(CHUNK, self.unread[0].unread) if self.unread else 0
        seconds = d.base + d.each * max(1, len(self.streams))
        return self._speed * (seconds + chunk / d.tokens_per_second), chunk


class Load:
    """Plays arrivals to a scheduler and counts what callers see."""

    def __init__(
        self,
        uneven: str,
        load: float,
        deployment: Deployment = SECOND,
        seed: int = 1,
        engines: int = 9,
    ) -> None:
        parameters = REGISTERED_PARAMETERS._replace(uneven=uneven, silence_seconds=1e9)
        self.scheduler = PoolScheduler(parameters)
        self._rng = random.Random(seed)
        self._report_rng = random.Random(seed)
        self._deployment = deployment
        self.engines = {
            f"e{n}": Engine(f"e{n}", SPEEDS[n % 3], deployment) for n in range(engines)
        }
        capacity = sum(1 / SPEEDS[n % 3] for n in range(engines))
        offered = sum(kind.rate * deployment.work(kind) for kind in deployment.kinds)
        self._scale = load * capacity / offered
        self._waiting: dict[str, Stream] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._counted_from = 0.0
        self.offered: Counter[str] = Counter()
        self.in_time: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        for name in self.engines:
            self.scheduler.announce(upstream(name, slots=deployment.slots), NOW)

    def run(self, seconds: float, warm_up: float = 5.0) -> None:
        """Play a load; requests of the warm-up aren't counted."""
        self._counted_from = NOW + warm_up
        for kind in self._deployment.kinds:
            self._schedule_arrival(NOW, kind, NOW + warm_up + seconds)
        self._at(NOW, self._tick)
        while self._events and self._events[0][0] < NOW + warm_up + seconds + 17:
            now, _, act = heapq.heappop(self._events)
            act(now)

    def shares(self, counter: Counter[str]) -> dict[str, float]:
        """Return the counted share of the offered requests by kind."""
        return {kind: counter[kind] / self.offered[kind] for kind in self.offered}

    def _at(self, when: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (when, next(self._sequence), act))

    def _tick(self, now: float) -> None:
        self._apply(self.scheduler.tick(now), now)
        due = min(max(self.scheduler.next_wake(now), now + 0.005), now + 0.1)
        self._at(due, self._tick)

    def _schedule_arrival(self, now: float, kind: Kind, until: float) -> None:
        when = now + self._rng.expovariate(kind.rate * self._scale)

        def arrive(now: float) -> None:
            self._arrive(kind, now)
            self._schedule_arrival(now, kind, until)

        if when < until:
            self._at(when, arrive)

    def _size(self, mean: float, spread: float) -> int:
        drawn = self._rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)
        return max(1, min(54_000, round(drawn)))

    def _arrive(self, kind: Kind, now: float) -> None:
        name = f"{kind.name}-{next(self._sequence)}"
        events = self._size(kind.events, 0.4)
        stream = Stream(name, kind, self._size(kind.prompt, 0.8), events, now)
        self._waiting[name] = stream
        if now >= self._counted_from:
            self.offered[kind.name] += 1
        gap = self._deployment.gap
        asked = request(
            name,
            tier=kind.name,
            tier_rank=kind.rank,
            workspace=kind.name,
            prompt_tokens=stream.unread,
            output_tokens=events * self._deployment.tokens_per_event,
            arrived=now,
            deadline=now + kind.leaves,
            first_by=now + kind.objective,
            start_by=now + max(2.0, 4 * kind.objective, 8 * gap),
            target_interval=gap,
        )
        self._apply(self.scheduler.register(asked, now), now)

    def _apply(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            stream = self._waiting.pop(decision.request_id)
            if not isinstance(decision, Granted):
                continue
            stream.granted_at = now
            self.scheduler.started(stream.name, now)
            engine = self.engines[decision.upstream]
            engine.unread.append(stream)
            self._at(
                now + REPORT_SECONDS * self._report_rng.random(), self._reporter(stream)
            )
            if not engine.stepping:
                self._begin_step(engine, now)

    def _reporter(self, stream: Stream) -> Callable[[float], None]:
        def report(now: float) -> None:
            if stream.seen >= stream.events:
                return
            if stream.first_at is not None:
                first = stream.first_at - stream.granted_at
                decisions = self.scheduler.progress(
                    stream.name, stream.seen, now, first
                )
                self._apply(decisions, now)
            self._at(now + REPORT_SECONDS, report)

        return report

    def _begin_step(self, engine: Engine, now: float) -> None:
        seconds, chunk = engine.step()
        engine.stepping = True
        self._at(now + seconds, lambda now: self._end_step(engine, chunk, now))

    def _end_step(self, engine: Engine, chunk: int, now: float) -> None:
        ended = [stream for stream in engine.streams if self._produce(stream, now)]
        for stream in ended:
            engine.streams.remove(stream)
        if chunk:
            head = engine.unread[0]
            head.unread -= chunk
            if head.unread <= 0:
                engine.streams.append(engine.unread.pop(0))
        engine.stepping = False
        if engine.streams or engine.unread:
            self._begin_step(engine, now)
        for stream in ended:
            self._finish(stream, engine, now)

    def _produce(self, stream: Stream, now: float) -> bool:
        """Produce a token; return whether the stream has ended."""
        stream.tokens += 1
        if stream.tokens % self._deployment.tokens_per_event:
            return False
        stream.seen += 1
        if stream.last_at is None:
            stream.first_at = now
            stream.late = now - stream.arrived > stream.kind.objective
        elif now - stream.last_at > self._deployment.gap:
            stream.late = True
        stream.last_at = now
        return stream.seen >= stream.events

    def _finish(self, stream: Stream, engine: Engine, now: float) -> None:
        assert stream.first_at is not None
        if stream.arrived >= self._counted_from:
            self.served[stream.kind.name] += 1
            self.in_time[stream.kind.name] += not stream.late
        end = completion(
            stream.name,
            engine.name,
            output_tokens=stream.seen,
            first_token=stream.first_at - stream.granted_at,
            total=now - stream.granted_at,
        )
        self._apply(self.scheduler.finished(end, now), now)


class Shares(NamedTuple):
    """Shares of the offered requests: in time and served by kind, and all in time."""

    in_time: dict[str, float]
    served: dict[str, float]
    all_in_time: float


def play(uneven: str, load: float, deployment: Deployment) -> Shares:
    """Return the shares over several loads with different arrivals."""
    offered, in_time, served = Counter[str](), Counter[str](), Counter[str]()
    for seed in range(1, 6):
        played = Load(uneven, load, deployment, seed)
        played.run(12)
        offered += played.offered
        in_time += played.in_time
        served += played.served
    return Shares(
        {kind: in_time[kind] / offered[kind] for kind in offered},
        {kind: served[kind] / offered[kind] for kind in offered},
        in_time.total() / offered.total(),
    )
