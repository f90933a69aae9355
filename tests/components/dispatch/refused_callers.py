"""Builder of an open-loop load on a pool, whose refused callers come back once."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.const import UNEVEN_ON
from bitterntiller.components.dispatch.models import Completion, Decision, Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import request, upstream

START = 1000.0
TICK_SECONDS = 0.02
SPEEDS = (0.55, 1.0, 2.8)
"""How long work takes at the three kinds of engines."""

PREFILL_TOKENS_PER_SECOND = 40_000.0
SECONDS_PER_EVENT = 0.034


class Tier(NamedTuple):
    """Requests of one rank; patience is the time to wait for a first output."""

    per_second: float
    prompt_tokens: int
    events: int
    objective: float
    patience: float
    total: float
    value: float

    @property
    def work(self) -> float:
        """Return the seconds of a slot that a request takes at an engine of speed 1."""
        prefill = self.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        return prefill + self.events * SECONDS_PER_EVENT


TIERS = (
    Tier(57.1, 6670, 48, 0.645, 2.4, 16.1, 7.0),
    Tier(112.0, 688, 36, 0.319, 2.0, 12.7, 2.4),
    Tier(115.0, 1860, 3, 0.322, 2.0, 3.2, 0.27),
)
LATE_VALUE = 0.28


class Caller:
    """A caller and what became of it."""

    def __init__(self, number: int, rank: int, now: float) -> None:
        self.number = number
        self.rank = rank
        self.arrived = now
        self.attempts = 0
        self.asked_at = self.granted_at = self.refused_at = now
        self.told: list[float] = []
        self.returned_when_told = False
        self.engine: str | None = None
        self.first_at: float | None = None
        self.outcome = ""

    @property
    def tier(self) -> Tier:
        """Return the tier of its requests."""
        return TIERS[self.rank]

    @property
    def request_id(self) -> str:
        """Return the id of its present attempt."""
        return f"{self.number}-{self.attempts}"

    @property
    def served(self) -> bool:
        """Return whether it got its whole response, in time or late."""
        return self.outcome in ("in-time", "late")


class Load:
    """Callers, engines and the scheduler of one pool, on a clock of their own."""

    def __init__(
        self, engines: int = 30, uneven: str = UNEVEN_ON, seed: int = 1
    ) -> None:
        self._rng = random.Random(seed)
        self._parameters = REGISTERED_PARAMETERS._replace(uneven=uneven)
        self.scheduler = PoolScheduler(self._parameters)
        self.now = START
        self.callers: list[Caller] = []
        self.factors = [1.0, 1.0, 1.0]
        self.waiting_seconds = 0.0
        self.decisions: list[Decision] = []
        self._engines = {f"engine-{n}": SPEEDS[n % 3] for n in range(engines)}
        self._incarnations: Counter[str] = Counter()
        self._prefilled_at: defaultdict[str, float] = defaultdict(float)
        self._scale = engines / 30
        self._live: dict[str, Caller] = {}
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._numbers = itertools.count()
        self._up = set(self._engines)
        for name in self._engines:
            self._announce(name, leaving=False)
        for rank in range(3):
            self._at(self._gap(rank), self._arrive, rank)
        self._at(START, self._tick)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        self.now = until

    def crash(self, names: list[str]) -> None:
        """End some engines; the callers whose responses break are lost."""
        for name in names:
            self._up.discard(name)
            self._announce(name, leaving=True)
            broken = [c for c in self._live.values() if c.engine == name]
            for caller in broken:
                self._end(caller, "failed", "failed")

    def restart(self, names: list[str]) -> None:
        """Start engines again."""
        for name in names:
            self._up.add(name)
            self._announce(name, leaving=False)

    def take_over(self) -> None:
        """Replace the scheduler by a new one, as when the owner of the pool changes."""
        self.scheduler = PoolScheduler(self._parameters)
        for name in sorted(self._up):
            self._announce(name, leaving=False)
        waiting = []
        for caller in self._live.values():
            if caller.engine is None:
                waiting.append(self._request(caller))
                continue
            tokens = 0 if caller.first_at is None else 1
            self.scheduler.adopt_running(
                self._request(caller), caller.engine, tokens, self.now
            )
        self._apply(self.scheduler.register_all(waiting, self.now))

    def began(self, since: float, until: float) -> list[Caller]:
        """Return the callers whose first attempt was between two times."""
        return [c for c in self.callers if since <= c.arrived < until]

    def _at(self, when: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def _gap(self, rank: int) -> float:
        rate = TIERS[rank].per_second * self.factors[rank] * self._scale
        return self.now + self._rng.expovariate(rate)

    def _announce(self, name: str, leaving: bool) -> None:
        self._incarnations[name] += 1
        state = upstream(
            name,
            slots=10,
            kv_tokens=1_000_000,
            leaving=leaving,
            incarnation=self._incarnations[name],
        )
        _, decisions = self.scheduler.announce(state, self.now)
        self._apply(decisions)

    def _tick(self) -> None:
        self._apply(self.scheduler.tick(self.now))
        self._at(self.now + TICK_SECONDS, self._tick)

    def _arrive(self, rank: int) -> None:
        caller = Caller(len(self.callers), rank, self.now)
        self.callers.append(caller)
        self._ask(caller)
        self._at(self._gap(rank), self._arrive, rank)

    def _request(self, caller: Caller) -> Any:
        tier = caller.tier
        return request(
            caller.request_id,
            tier_rank=caller.rank,
            tier=str(caller.rank),
            prompt_tokens=tier.prompt_tokens,
            output_tokens=tier.events,
            arrived=caller.asked_at,
            deadline=caller.arrived + tier.total,
            first_by=caller.asked_at + tier.objective,
            start_by=caller.asked_at + tier.patience,
        )

    def _ask(self, caller: Caller) -> None:
        caller.attempts += 1
        caller.asked_at = self.now
        self._live[caller.request_id] = caller
        leaves = min(
            self.now + caller.tier.patience, caller.arrived + caller.tier.total
        )
        self._at(leaves, self._leave, caller, caller.attempts, False)
        self._at(
            caller.arrived + caller.tier.total,
            self._leave,
            caller,
            caller.attempts,
            True,
        )
        self._apply(self.scheduler.register(self._request(caller), self.now))

    def _leave(self, caller: Caller, attempt: int, always: bool) -> None:
        if caller.attempts != attempt or caller.request_id not in self._live:
            return
        if always or caller.first_at is None:
            self._end(caller, "gave-up", "caller-gone")

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self.decisions.append(decision)
            caller = self._live[decision.request_id]
            if isinstance(decision, Granted):
                self._start(caller, decision.upstream)
                continue
            del self._live[decision.request_id]
            self._refuse(caller, decision.retry_after)

    def _refuse(self, caller: Caller, retry_after: float) -> None:
        if not caller.told:
            caller.refused_at = self.now
        caller.told.append(retry_after)
        caller.outcome = f"refused-{caller.attempts}"
        left = caller.arrived + caller.tier.total - self.now
        if caller.attempts == 1 and left > 0:
            caller.returned_when_told = retry_after <= left / 3
            self._at(self.now + min(retry_after, left / 3), self._ask, caller)

    def _start(self, caller: Caller, name: str) -> None:
        caller.engine = name
        caller.granted_at = self.now
        speed = self._engines[name] * self._rng.uniform(0.8, 1.2)
        tier = caller.tier
        begun = max(self.now, self._prefilled_at[name])
        first = begun + speed * tier.prompt_tokens / PREFILL_TOKENS_PER_SECOND
        self._prefilled_at[name] = first
        self._at(self.now, self._started, caller, caller.request_id)
        self._at(first, self._first, caller, caller.request_id)
        end = first + speed * tier.events * SECONDS_PER_EVENT
        self._at(end, self._finish, caller, caller.request_id)

    def _started(self, caller: Caller, request_id: str) -> None:
        if request_id in self._live:
            self._apply(self.scheduler.started(request_id, self.now))

    def _first(self, caller: Caller, request_id: str) -> None:
        if request_id in self._live:
            caller.first_at = self.now
            first = self.now - caller.granted_at
            self._apply(self.scheduler.progress(request_id, 1, self.now, first))

    def _finish(self, caller: Caller, request_id: str) -> None:
        if request_id not in self._live:
            return
        by = caller.arrived + caller.tier.objective
        in_time = caller.first_at is not None and caller.first_at <= by
        self._end(caller, "in-time" if in_time else "late", "done")

    def _end(self, caller: Caller, outcome: str, reported: str) -> None:
        caller.outcome = outcome
        del self._live[caller.request_id]
        if caller.engine is None:
            self._apply(self.scheduler.cancel(caller.request_id, self.now))
            return
        done = reported == "done"
        first = caller.first_at
        completion = Completion(
            request_id=caller.request_id,
            upstream=caller.engine,
            outcome=reported,
            output_tokens=caller.tier.events if done else 0,
            cached_tokens=0,
            first_token=None if first is None else first - caller.granted_at,
            total=self.now - caller.granted_at,
            in_time=done,
        )
        self._apply(self.scheduler.finished(completion, self.now))


def value(callers: list[Caller]) -> float:
    """Return what callers got, as a fraction of what they asked for."""
    got = sum(
        c.tier.value * (1.0 if c.outcome == "in-time" else LATE_VALUE)
        for c in callers
        if c.served
    )
    return got / sum(c.tier.value for c in callers)


def served_share(callers: list[Caller], rank: int | None = None) -> float:
    """Return the fraction of callers, of one rank or all, that were served."""
    chosen = [c for c in callers if rank is None or c.rank == rank]
    return sum(c.served for c in chosen) / len(chosen)
