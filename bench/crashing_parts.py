"""Simulates engines that crash, by themselves or on a part: `--help` lists options.

The scheduler of a pool and the crash history are the product's. Requests have the
rates, sizes and shared parts of a deployment's sheet; a bad part crashes each engine
that would begin an answer on it.
"""

import argparse
import heapq
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Any

from bench.crashing_load import Findings, PromptParts, Request, Trouble
from bench.routed.sheets import Kind, Sheet, load_sheets
from bitterntiller.components.crashes.const import PROBE_INTERVAL
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.models import Clearing, Crash, CrashUpdate
from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import (
    Completion,
    Decision,
    Granted,
    Refused,
    UpstreamState,
    WaitingRequest,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.entry.const import PROGRESS_PERIOD, SOUND_OUTPUT_SECONDS
from bitterntiller.components.entry.sound_parts_log import SoundPartsLog

START = 1000.0
TICK_SECONDS = 0.1
BACK_AFTER = 2.0
PROOF_SECONDS = PROBE_INTERVAL + 0.1
"""Time from the end of an engine until all hosts know of it."""

NEWS_SECONDS = 0.01
"""Time until all hosts know that a part is sound."""

REPEATS = 2
REPEAT_DELAY = 0.02
CONTACT_WINDOW = 3.0
CRASHES_ALLOWED = 5
OUTPUT_SECONDS = 0.01
"""Time of an event of a stream."""

OFTEN = 10.0
"""Requests in a second from which a part counts as held by many."""


class Running:
    """A request at an engine."""

    def __init__(self, request: Request, engine: str, sent_at: float) -> None:
        self.request = request
        self.engine = engine
        self.sent_at = sent_at
        self.begun = False
        self.sound = False


class Simulation:
    """One pool, its engines and its callers; times in seconds."""

    def __init__(self, sheet: Sheet, trouble: Trouble, seed: int) -> None:
        self._sheet = sheet
        self._trouble = trouble
        self._rng = random.Random(seed)
        self._history = CrashHistory()
        self._scheduler = PoolScheduler(REGISTERED_PARAMETERS, self._history)
        self._now = START
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._waiting_by_id: dict[str, Request] = {}
        self._running_by_id: dict[str, Running] = {}
        self._incarnations: Counter[str] = Counter()
        self._down: set[str] = set()
        self._drawn = PromptParts(sheet, self._rng)
        self._crashes_by_part: dict[int, list[float]] = {}
        self._convicted: set[tuple[int, int]] = set()
        self._ended = SoundPartsLog()
        self.counts: Counter[str] = Counter()

    def run(self, seconds: float) -> Findings:
        """Simulate some seconds."""
        for number in range(self._sheet.engines):
            self._start_engine(f"engine-{number}")
        for kind in self._sheet.kinds:
            self._arrive(kind)
        self._tick()
        if self._trouble.own_ends:
            self._end_by_itself()
        for number in range(self._trouble.bad_parts):
            self._arrive_bad(4 * (10**9 + number) + 2)
        until = START + seconds
        while self._due[0][0] < until:
            self._now, _, call = heapq.heappop(self._due)
            call()
        counts = self.counts
        return Findings(
            ends=counts["ends"],
            crashes=sum(map(len, self._crashes_by_part.values())),
            late=counts["late"],
            sent=counts["sent"],
            begun=counts["begun"],
            convicted_often=counts["convicted_often"],
            convicted_rarely=counts["convicted_rarely"],
        )

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self._now + seconds, next(self._order), call))

    def _tick(self) -> None:
        self._apply(self._scheduler.tick(self._now))
        self._after(TICK_SECONDS, self._tick)

    def _arrive(self, kind: Kind) -> None:
        self._send(Request(kind, 0, self._drawn.parts(kind), 0, 0))
        pause = self._rng.expovariate(kind.per_s)
        self._after(pause, partial(self._arrive, kind))

    def _arrive_bad(self, bad: int) -> None:
        kind = self._rng.choice(self._sheet.kinds)
        shared, *others = self._drawn.parts(kind)
        self._send(Request(kind, 0, (shared, bad, *others), bad, 0))
        pause = self._rng.expovariate(self._trouble.bad_requests)
        self._after(pause, partial(self._arrive_bad, bad))

    def _send(self, request: Request) -> None:
        number = next(self._numbers)
        if not request.fingerprint:
            request = request._replace(fingerprint=4 * (10**6 + number) + 1)
        if not request.bad and not request.repeat:
            self.counts["sent"] += 1
        request_id = f"r{number}"
        if self._conviction(request):
            return
        self._waiting_by_id[request_id] = request
        waiting = WaitingRequest(
            request_id=request_id,
            workspace="workspace",
            tier=request.kind.name,
            tier_rank=request.kind.rank,
            prompt_tokens=int(request.kind.prompt),
            output_tokens=int(request.kind.events * self._sheet.tokens_per_event),
            arrived=self._now,
            deadline=self._now + request.kind.deadline,
            entry_host=f"host-{self._rng.randrange(self._sheet.hosts)}",
            fingerprint=request.fingerprint,
            parts=request.parts,
        )
        self._apply(self._scheduler.register(waiting, self._now))

    def _conviction(self, request: Request) -> bool:
        """Return whether a request is kept from engines, and count it if wrong."""
        fingerprints = (request.fingerprint, *request.parts)
        found = self._history.conviction(fingerprints, self._now)
        if found is None:
            return False
        if found.fingerprint != request.bad and not request.bad:
            key = (found.fingerprint, found.crashes)
            if key not in self._convicted:
                self._convicted.add(key)
                often = self._drawn.rate(found.fingerprint) >= OFTEN
                self.counts["convicted_often" if often else "convicted_rarely"] += 1
        return True

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            request = self._waiting_by_id.pop(decision.request_id, None)
            if request is None or isinstance(decision, Refused):
                continue
            if isinstance(decision, Granted):
                self._start(decision.request_id, request, decision.upstream)

    def _start(self, request_id: str, request: Request, engine: str) -> None:
        running = Running(request, engine, self._now)
        self._running_by_id[request_id] = running
        self._apply(self._scheduler.started(request_id, self._now))
        if engine in self._down:
            self._after(0.001, partial(self._break, request_id))
            return
        if request.bad:
            ends = self._crashes_by_part.setdefault(request.bad, [])
            if len(ends) >= CRASHES_ALLOWED:
                fifth = ends[CRASHES_ALLOWED - 1]
                self.counts["late"] += self._now > fifth + CONTACT_WINDOW
        prefill = request.kind.prompt / self._sheet.prefill_tokens_per_ms / 1000
        delay = prefill * self._rng.uniform(0.5, 2.0) + 0.01
        self._after(delay, partial(self._begin, request_id, running))

    def _begin(self, request_id: str, running: Running) -> None:
        if self._running_by_id.get(request_id) is not running:
            return
        if running.request.bad:
            self._crashes_by_part[running.request.bad].append(self._now)
            self._end_engine(running.engine)
            return
        running.begun = True
        if not running.request.repeat:
            self.counts["begun"] += 1
        seconds = running.request.kind.events * OUTPUT_SECONDS
        report = self._rng.uniform(0, PROGRESS_PERIOD)
        if report < seconds:
            self._after(report, partial(self._report, request_id, running))
        if seconds > SOUND_OUTPUT_SECONDS:
            sound = partial(self._prove_sound, request_id, running)
            self._after(SOUND_OUTPUT_SECONDS, sound)
        self._after(seconds, partial(self._finish, request_id, running))

    def _report(self, request_id: str, running: Running) -> None:
        if self._running_by_id.get(request_id) is running:
            self._apply(self._scheduler.progress(request_id, 1, self._now))

    def _prove_sound(self, request_id: str, running: Running) -> None:
        if self._running_by_id.get(request_id) is running:
            running.sound = True
            self._clear(running.request.parts)

    def _finish(self, request_id: str, running: Running) -> None:
        if self._running_by_id.pop(request_id, None) is not running:
            return
        request = running.request
        self._ended.add(request.parts, self._now)
        self._clear((request.fingerprint, *request.parts))
        self._apply(
            self._scheduler.finished(self._completion(request_id, "done"), self._now)
        )

    def _completion(self, request_id: str, outcome: str) -> Completion:
        done = outcome == "done"
        return Completion(
            request_id=request_id,
            upstream="",
            outcome=outcome,
            output_tokens=10 if done else 0,
            cached_tokens=None,
            first_token=None,
            total=1.0,
            in_time=done,
        )

    def _clear(self, fingerprints: tuple[int, ...]) -> None:
        suspected = [f for f in fingerprints if self._history.count(f, self._now)]
        if suspected:
            items = tuple(Clearing(item, self._now) for item in suspected)
            update = CrashUpdate(clearings=items)
            self._after(NEWS_SECONDS, partial(self._merge, update))

    def _merge(self, update: CrashUpdate) -> None:
        self._history.merge(update, self._now)
        self._apply(self._scheduler.review(update.fingerprints, self._now))

    def _end_by_itself(self) -> None:
        up = [name for name in self._incarnations if name not in self._down]
        if up:
            self._end_engine(self._rng.choice(up))
        pause = self._rng.expovariate(self._trouble.own_ends)
        self._after(pause, self._end_by_itself)

    def _start_engine(self, name: str) -> None:
        self._down.discard(name)
        self._incarnations[name] += 1
        self._announce(name, leaving=False)

    def _announce(self, name: str, leaving: bool) -> None:
        state = UpstreamState(
            name=name,
            address="127.0.0.1:1",
            incarnation=self._incarnations[name],
            sequence=1 + leaving,
            leaving=leaving,
            labels={},
            slots=self._sheet.slots,
            kv_tokens=self._sheet.kv_tokens,
        )
        self._apply(self._scheduler.announce(state, self._now)[1])

    def _end_engine(self, name: str) -> None:
        """End an engine: its responses break, and its end is proved a while later."""
        if name in self._down:
            return
        self.counts["ends"] += 1
        self._down.add(name)
        incarnation = str(self._incarnations[name])
        crashes: list[Crash] = []
        for request_id, running in list(self._running_by_id.items()):
            if running.engine != name:
                continue
            parts = () if running.sound else running.request.parts
            ran = self._now - running.sent_at
            crashes += [
                Crash(item, name, incarnation, self._now, ran=ran)
                for item in (running.request.fingerprint, *parts)
            ]
            self._break(request_id)
        self._announce(name, leaving=True)
        self._after(PROOF_SECONDS, partial(self._prove, tuple(crashes)))
        self._after(BACK_AFTER, partial(self._start_engine, name))

    def _prove(self, crashes: tuple[Crash, ...]) -> None:
        update = CrashUpdate(crashes)
        self._merge(update)
        suspected = {
            item for item in update.fingerprints if self._history.count(item, self._now)
        }
        sound = {
            part
            for running in self._running_by_id.values()
            if running.sound
            for part in running.request.parts
        }
        for ended_at, parts in self._ended:
            sound.update(
                part
                for part in suspected.intersection(parts)
                if ended_at > self._history.crashed_at(part)
            )
        if sound & suspected:
            self._clear(tuple(sorted(sound & suspected)))

    def _break(self, request_id: str) -> None:
        running = self._running_by_id.pop(request_id, None)
        if running is None:
            return
        completion = self._completion(request_id, "unknown")
        if running.begun:
            completion = completion._replace(output_tokens=1)
        self._apply(self._scheduler.finished(completion, self._now))
        request = running.request
        if not running.begun and request.repeat < REPEATS:
            again = request._replace(repeat=request.repeat + 1)
            self._after(REPEAT_DELAY, partial(self._send, again))


def simulate(sheet: str, trouble: Trouble, seconds: float, seed: int) -> Findings:
    """Return the findings of one simulation."""
    return Simulation(load_sheets()[sheet], trouble, seed).run(seconds)


def main() -> None:
    """Simulate several seeds side by side and print the sum of their findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sheet", choices=sorted(load_sheets()), default="bond-desk")
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--own-ends", type=float, default=0.0)
    parser.add_argument("--bad-parts", type=int, default=0)
    parser.add_argument("--bad-requests", type=float, default=4.0)
    parser.add_argument("--jobs", type=int, default=4)
    found = parser.parse_args()
    trouble = Trouble(found.own_ends, found.bad_parts, found.bad_requests)
    one = partial(simulate, found.sheet, trouble, found.seconds)
    with ProcessPoolExecutor(found.jobs) as pool:
        results = list(pool.map(one, range(1, found.seeds + 1)))
    total: dict[str, Any] = {
        name: sum(getattr(item, name) for item in results) for name in Findings._fields
    }
    total["most_late"] = max(item.late for item in results)
    total["most_crashes"] = max(item.crashes for item in results)
    print(json.dumps(total))


if __name__ == "__main__":
    main()
