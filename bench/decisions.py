"""Measures the processor time of scheduling decisions on one core; prints JSON.

A decision covers one request from registration to end: register, the grant, started,
progress and finished, with a constant number of other requests waiting.
"""

import json
import random
import time

from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    UpstreamState,
    WaitingRequest,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler

SIZES = ((9, 100), (9, 10_000), (600, 100), (600, 10_000))
SLOTS = 16
DECISIONS = 4000
WORKSPACES = 20
TICK_EVERY = 0.25


class SchedulerLoad:
    """Keeps a scheduler's upstreams full and a number of requests waiting."""

    def __init__(self, upstreams: int, waiting: int, seed: int) -> None:
        self.now = 1000.0
        self.scheduler = PoolScheduler()
        self.decided = 0
        self._rng = random.Random(seed)
        self._running: list[Granted] = []
        self._number = 0
        self._sequence = 1
        self._names = [f"engine-{index}" for index in range(upstreams)]
        self._announced = 0
        for name in self._names:
            self._announce(name)
        for _ in range(upstreams * SLOTS + waiting):
            self.add_request()
        self.fill_slots()

    def add_request(self) -> None:
        """Register one new request."""
        self._number += 1
        rng = self._rng
        document = rng.randrange(200)
        request = WaitingRequest(
            request_id=str(self._number),
            workspace=f"workspace-{rng.randrange(WORKSPACES)}",
            tier="tier",
            tier_rank=rng.randrange(3),
            prompt_tokens=rng.choice((200, 800, 800, 6000)),
            output_tokens=rng.choice((20, 100, 400)),
            arrived=self.now,
            deadline=self.now + 1e6,
            entry_host="host",
            prefix_hashes=tuple(document << 8 | level for level in range(4)),
        )
        self._apply(self.scheduler.register(request, self.now))

    def finish_one(self) -> None:
        """Finish one random running request."""
        running = self._running
        position = self._rng.randrange(len(running))
        running[position], running[-1] = running[-1], running[position]
        grant = running.pop()
        completion = Completion(
            grant.request_id, grant.upstream, "done", 100, 0, 0.2, 2.0, True
        )
        self._apply(self.scheduler.finished(completion, self.now))

    def fill_slots(self) -> None:
        """Advance the time with announcements and ticks until all slots are in use."""
        for _ in range(100):
            self.advance(TICK_EVERY)

    def advance(self, seconds: float) -> None:
        """Advance the time; each upstream announces itself once per second."""
        self.now += seconds
        for _ in range(max(1, int(len(self._names) * seconds))):
            self._announced = (self._announced + 1) % len(self._names)
            self._announce(self._names[self._announced])
        self._apply(self.scheduler.tick(self.now))

    def _announce(self, name: str) -> None:
        self._sequence += 1
        state = UpstreamState(
            name, "127.0.0.1:9", 1, self._sequence, False, {}, SLOTS, 10_000_000
        )
        self._apply(self.scheduler.announce(state, self.now)[1])

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self.decided += 1
            if isinstance(decision, Granted):
                self._running.append(decision)
                self.scheduler.started(decision.request_id, self.now)
                self.scheduler.progress(decision.request_id, 1, self.now)


def measure(upstreams: int, waiting: int) -> dict[str, float]:
    """Return the decisions per second of processor time at one size."""
    load = SchedulerLoad(upstreams, waiting, seed=1)
    rate = 10_000.0
    load.decided = 0
    started_at = time.process_time()
    passed = 0.0
    for _ in range(DECISIONS):
        load.finish_one()
        load.add_request()
        passed += 1.0 / rate
        if passed >= TICK_EVERY:
            load.advance(passed)
            passed = 0.0
    seconds = time.process_time() - started_at
    return {
        "upstreams": upstreams,
        "waiting": waiting,
        "decisions": load.decided,
        "decisions_per_second": round(load.decided / seconds),
        "microseconds": round(1e6 * seconds / max(1, load.decided), 1),
    }


def main() -> None:
    """Measure all sizes and print the figures."""
    print(json.dumps([measure(*size) for size in SIZES], indent=2))


if __name__ == "__main__":
    main()
