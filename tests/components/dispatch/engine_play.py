"""A play of three engines below a scheduler, in which one is slow or pauses once."""

import heapq
import itertools
from collections.abc import Callable

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from tests.components.dispatch import builders as build

START = 1000.0
PROMPT_TOKENS = 200
OUTPUT_TOKENS = 10
PREFILL_TOKENS_PER_SECOND = 4_000.0
SECONDS_PER_TOKEN = 0.02
TICK_SECONDS = 0.05
SLOTS = 4
ODD = "e1"
NAMES = (ODD, "e2", "e3")


class EnginePlay:
    """Callers in a loop before equal engines, which prefill one request at a time.

    The engine ODD is slower by a factor, or sends nothing for pause seconds from the
    start. granted_at_by_name has the times of grants in seconds from the start.
    """

    def __init__(self, callers: int, slowness: float = 1.0, pause: float = 0.0) -> None:
        self._slowness = slowness
        self._pause = pause
        self._scheduler = PoolScheduler(REGISTERED_PARAMETERS)
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._free_at_by_name = dict.fromkeys(NAMES, START)
        self.granted_at_by_name: dict[str, list[float]] = {name: [] for name in NAMES}
        for name in NAMES:
            self._scheduler.announce(build.upstream(name, slots=SLOTS), START)
        for _ in range(callers):
            self._call_at(START, self._ask)

    def run(self, seconds: float) -> None:
        """Play some seconds."""
        for number in range(int(seconds / TICK_SECONDS)):
            self._call_at(START + number * TICK_SECONDS, self._tick)
        while self._due and self._due[0][0] < START + seconds:
            now, _, call = heapq.heappop(self._due)
            call(now)

    def _call_at(self, when: float, call: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (when, next(self._numbers), call))

    def _tick(self, now: float) -> None:
        self._apply(self._scheduler.tick(now), now)

    def _ask(self, now: float) -> None:
        request = build.request(
            f"r{next(self._numbers)}",
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=OUTPUT_TOKENS,
            arrived=now,
            deadline=now + 30.0,
        )
        self._apply(self._scheduler.register(request, now), now)

    def _apply(self, decisions: list[Decision], now: float) -> None:
        for decision in decisions:
            assert isinstance(decision, Granted)
            self._run(decision.request_id, decision.upstream, now)

    def _run(self, request_id: str, name: str, now: float) -> None:
        self._scheduler.started(request_id, now)
        self.granted_at_by_name[name].append(now - START)
        slowness = self._slowness if name == ODD else 1.0
        silent_until = START + self._pause if name == ODD else START
        prefill = slowness * PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND
        first_at = max(now, self._free_at_by_name[name]) + prefill
        first_at = max(first_at, silent_until)
        self._free_at_by_name[name] = first_at
        ends_at = first_at + slowness * SECONDS_PER_TOKEN * (OUTPUT_TOKENS - 1)
        end = build.completion(
            request_id,
            name,
            output_tokens=OUTPUT_TOKENS,
            first_token=first_at - now,
            total=ends_at - now,
        )

        def finish(at: float) -> None:
            self._apply(self._scheduler.finished(end, at), at)
            self._ask(at)

        self._call_at(ends_at, finish)
