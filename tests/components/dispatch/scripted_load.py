"""Requests at a steady rate for a scheduler whose upstreams follow a script."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from bitterntiller.components.dispatch.models import Decision, Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from tests.components.dispatch import builders as build

STEP = 0.01
PROGRESS_PERIOD = 0.5


class Script(NamedTuple):
    """How an upstream serves: seconds of a request, and parts that fail."""

    seconds: float = 0.5
    first: float = 0.1
    silent: float = 0.0
    failed: float = 0.0
    report_first: bool = True


class ScriptedLoad:
    """Sends requests of several hosts at a rate, and plays the upstreams' scripts.

    Callers of requests without output leave after leaves_after, a range in seconds.
    """

    def __init__(
        self,
        scheduler: PoolScheduler,
        scripts_by_name: dict[str, Script],
        rate: float,
        now: float,
        seed: int = 1,
        hosts: int = 4,
        leaves_after: tuple[float, float] = (1.6, 2.6),
        **request: Any,
    ) -> None:
        self.now = now
        self.scheduler = scheduler
        self.scripts_by_name = scripts_by_name
        self.rate = rate
        self.done: list[tuple[float, str]] = []
        self.granted: list[tuple[float, str]] = []
        self.decisions: list[Decision] = []
        self._rng = random.Random(seed)
        self._hosts = hosts
        self._leaves_after = leaves_after
        self._request = request
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], list[Decision]]]] = []
        self._owed = 0.0

    def run(self, seconds: float) -> None:
        """Advance by a number of seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._owed += self.rate * STEP
            while self._owed >= 1.0:
                self._owed -= 1.0
                self._play(self._register())
            while self._events and self._events[0][0] <= self.now:
                self._play(heapq.heappop(self._events)[2]())
            self._play(self.scheduler.tick(self.now))

    def completions(self, since: float) -> float:
        """Return the completions per second since a time."""
        return sum(at >= since for at, _ in self.done) / (self.now - since)

    def grants(self, name: str, since: float) -> int:
        """Return the number of grants of an upstream since a time."""
        return sum(at >= since and name == one for at, one in self.granted)

    def _register(self) -> list[Decision]:
        now = self.now
        number = next(self._numbers)
        request = build.request(
            f"q{number}",
            entry_host=f"host-{number % self._hosts}",
            arrived=now,
            deadline=now + 8.0,
            start_by=now + self._leaves_after[1],
        )._replace(**self._request)
        return self.scheduler.register(request, now)

    def _play(self, decisions: list[Decision]) -> None:
        self.decisions += decisions
        for one in decisions:
            if isinstance(one, Granted):
                self._serve(one)

    def _serve(self, grant: Granted) -> None:
        request_id, name, now = grant.request_id, grant.upstream, self.now
        self.granted.append((now, name))
        self._play(self.scheduler.started(request_id, now))
        script = self.scripts_by_name[name]
        draw = self._rng.random()
        if draw < script.silent:
            at = now + self._rng.uniform(*self._leaves_after)
            self._at(at, lambda: self._end(grant, "caller-gone", at - now))
            return
        if draw < script.silent + script.failed:
            at = now + script.first
            self._at(at, lambda: self._end(grant, "failed", script.first))
            return
        if script.report_first:
            reported = now + script.first + self._rng.random() * PROGRESS_PERIOD
            if reported < now + script.seconds:
                self._at(reported, lambda: self._progress(grant, script.first))
        self._at(now + script.seconds, lambda: self._complete(grant, script))

    def _at(self, when: float, event: Callable[[], list[Decision]]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), event))

    def _progress(self, grant: Granted, first: float) -> list[Decision]:
        return self.scheduler.progress(grant.request_id, 10, self.now, first)

    def _complete(self, grant: Granted, script: Script) -> list[Decision]:
        self.done.append((self.now, grant.upstream))
        end = build.completion(
            grant.request_id,
            grant.upstream,
            first_token=script.first if script.report_first else None,
            total=script.seconds,
        )
        return self.scheduler.finished(end, self.now)

    def _end(self, grant: Granted, outcome: str, seconds: float) -> list[Decision]:
        end = build.completion(
            grant.request_id,
            grant.upstream,
            outcome=outcome,
            output_tokens=0,
            first_token=None,
            total=seconds,
        )
        return self.scheduler.finished(end, self.now)
