"""Isolation of requests by the parts of their prompts."""

import zlib
from typing import Any

import pytest

from bitterntiller.components.crashes.const import (
    EXPLANATION_SECONDS,
    FIRST_QUARANTINE_SECONDS,
    QUARANTINE_SECONDS,
)
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.models import Clearing, Crash, CrashUpdate
from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from tests.components.dispatch import builders as build

NOW = 1000.0
SHARED, BAD = 0b110, 0b1010


class PartsPool:
    """A scheduler, the crash history that it reads, and requests with parts."""

    def __init__(self, upstreams: int = 4, slots: int = 4) -> None:
        self.history = CrashHistory()
        self.scheduler = PoolScheduler(REGISTERED_PARAMETERS, self.history)
        self.upstream_by_id: dict[str, str] = {}
        for number in range(upstreams):
            state = build.upstream(f"e{number}", slots=slots)
            self.scheduler.announce(state, NOW)

    def send(
        self, request_id: str, *parts: int, now: float = NOW, **changes: Any
    ) -> bool:
        """Register a request with an own part; return whether it was granted."""
        own = 4 * zlib.crc32(request_id.encode()) + 2
        request = build.request(
            request_id,
            fingerprint=own - 1,
            parts=(*parts, own),
            arrived=now,
            deadline=now + 30,
            **changes,
        )
        self._apply(self.scheduler.register(request, now))
        return request_id in self.upstream_by_id

    def begin(self, request_id: str, now: float = NOW) -> None:
        self._apply(self.scheduler.progress(request_id, 1, now))

    def break_off(self, request_id: str, now: float = NOW, output: int = 0) -> None:
        upstream = self.upstream_by_id.pop(request_id)
        completion = build.completion(
            request_id, upstream, outcome="unknown", output_tokens=output
        )
        self._apply(self.scheduler.finished(completion, now))

    def finish(self, request_id: str, now: float = NOW) -> None:
        completion = build.completion(request_id, self.upstream_by_id.pop(request_id))
        self._apply(self.scheduler.finished(completion, now))

    def crashed(self, upstream: str, *fingerprints: int, now: float = NOW) -> None:
        items = tuple(Crash(item, upstream, "1", now) for item in fingerprints)
        self._merge(CrashUpdate(items), frozenset(fingerprints), now)

    def cleared(self, *fingerprints: int, now: float = NOW) -> None:
        items = tuple(Clearing(item, now) for item in fingerprints)
        self._merge(CrashUpdate(clearings=items), frozenset(fingerprints), now)

    def _merge(
        self, update: CrashUpdate, fingerprints: frozenset[int], now: float
    ) -> None:
        self.history.merge(update, now)
        self._apply(self.scheduler.review(fingerprints, now))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Granted):
                self.upstream_by_id[decision.request_id] = decision.upstream
        self.refused = [item for item in decisions if isinstance(item, Refused)]


def test_one_request_with_a_suspected_part_runs_until_its_output_begins():
    pool = PartsPool()
    pool.crashed("old", BAD)
    assert pool.send("r1", SHARED, BAD)
    assert not pool.send("r2", SHARED, BAD)
    assert pool.send("r3", SHARED)
    pool.begin("r1")
    assert "r2" in pool.upstream_by_id


def test_requests_wait_while_a_second_crash_is_being_proved():
    """A caller's repeat crashed the next engine before the crash was known."""
    pool = PartsPool()
    pool.crashed("old", BAD)
    pool.send("r1", SHARED, BAD)
    upstream = pool.upstream_by_id["r1"]
    pool.break_off("r1")
    assert not pool.send("r2", BAD)
    pool.crashed(upstream, BAD, now=NOW + 0.3)
    assert "r2" in pool.upstream_by_id


def test_requests_wait_while_another_crash_of_an_upstream_is_being_proved():
    """Its crash of long ago passed for the explanation of a response that broke now."""
    pool = PartsPool(upstreams=2)
    for upstream in ("e0", "e1"):
        pool.crashed(upstream, BAD, now=NOW - 60.0)
    pool.send("r1", BAD)
    upstream = pool.upstream_by_id["r1"]
    pool.break_off("r1")
    assert not pool.send("r2", BAD)
    item = Crash(BAD, upstream, "2", NOW)
    pool._merge(CrashUpdate((item,)), frozenset({BAD}), NOW + 0.3)
    assert "r2" not in pool.upstream_by_id
    assert [decision.request_id for decision in pool.refused] == ["r2"]


def test_bad_part_that_ended_many_upstreams_at_once_gets_one_trial():
    """Its copies came at once, so that no end counts as a failed trial yet."""
    pool = PartsPool()
    for number in range(6):
        pool.crashed(f"old-{number}", BAD)
    assert not pool.send("r0", BAD)
    later = NOW + FIRST_QUARANTINE_SECONDS
    assert pool.send("r1", BAD, now=later)
    assert not pool.send("r2", BAD, now=later)
    ended = Crash(BAD, pool.upstream_by_id["r1"], "1", later + 0.25, ran=0.25)
    pool.break_off("r1", now=ended.at)
    assert not pool.send("r3", BAD, now=ended.at)
    pool._merge(CrashUpdate((ended,)), frozenset({BAD}), ended.at)
    assert sorted(item.request_id for item in pool.refused) == ["r2", "r3"]
    found = pool.history.conviction((BAD,), ended.at)
    assert found is not None
    assert found.seconds == QUARANTINE_SECONDS


def test_requests_go_on_if_no_crash_explains_a_broken_response():
    pool = PartsPool()
    pool.crashed("old", BAD)
    pool.send("r1", BAD)
    pool.break_off("r1")
    assert not pool.send("r2", BAD)
    later = NOW + EXPLANATION_SECONDS + 0.5
    pool._apply(pool.scheduler.tick(later))
    assert "r2" in pool.upstream_by_id


def test_first_broken_response_delays_no_repeat():
    pool = PartsPool()
    pool.send("r1", SHARED, BAD)
    pool.break_off("r1")
    assert pool.send("r2", SHARED, BAD)
    assert not pool.send("r3", SHARED, BAD)


def test_part_on_which_another_upstream_answers_is_not_suspected():
    """Sound requests that shared a part with a bad one had to wait."""
    pool = PartsPool(slots=1)
    pool.send("r0", SHARED)
    pool.begin("r0")
    pool.send("r1", SHARED, BAD)
    pool.break_off("r1")
    assert pool.send("r2", SHARED)
    assert pool.send("r3", SHARED)


def test_parts_are_not_suspected_once_the_output_has_begun():
    pool = PartsPool()
    pool.send("r1", SHARED, BAD)
    pool.begin("r1")
    pool.break_off("r1", output=3)
    assert pool.send("r2", SHARED, BAD)
    assert pool.send("r3", SHARED, BAD)


def test_waiting_requests_with_a_convicted_part_are_refused():
    pool = PartsPool()
    pool.crashed("old", BAD)
    pool.send("r1", BAD)
    pool.send("r2", BAD)
    pool.crashed("older", BAD)
    pool.crashed("oldest", BAD)
    assert [item.request_id for item in pool.refused] == ["r2"]
    assert pool.refused[0].reason == "crashes-upstreams"


def test_upstream_that_goes_on_has_not_crashed():
    """Requests waited for a second whenever an engine reset one connection."""
    pool = PartsPool(upstreams=1)
    pool.crashed("old", BAD)
    pool.send("r0")
    pool.send("r1", BAD)
    pool.break_off("r1")
    assert not pool.send("r2", BAD)
    pool.begin("r0")
    assert "r2" in pool.upstream_by_id


def test_response_that_broke_after_some_output_delays_nobody():
    pool = PartsPool()
    for number in range(3):
        pool.send(f"r{number}", SHARED, BAD)
        pool.break_off(f"r{number}", output=1)
    assert pool.send("r8", SHARED, BAD)
    assert pool.send("r9", SHARED, BAD)


def test_complete_response_to_one_request_frees_its_parts_for_others():
    """Short answers never run for long, so that their shared parts stayed suspected."""
    pool = PartsPool()
    pool.send("r0", SHARED)
    pool.send("r1", SHARED)
    pool.send("r2", SHARED)
    pool.break_off("r1")
    pool.break_off("r2")
    assert not pool.send("r3", SHARED)
    pool.finish("r0")
    assert "r3" in pool.upstream_by_id
    assert pool.send("r4", SHARED)


def test_cleared_part_lets_waiting_requests_run():
    pool = PartsPool()
    pool.crashed("old", SHARED)
    pool.send("r1", SHARED)
    assert not pool.send("r2", SHARED)
    pool.cleared(SHARED, now=NOW + 1)
    assert "r2" in pool.upstream_by_id


@pytest.mark.parametrize("crashes", [0, 2])
def test_isolated_request_leaves_its_cached_prompt_to_run_beside_fewer(crashes: int):
    """An isolated request was sent where its crash broke off most other responses."""
    pool = PartsPool(upstreams=3)
    prompt = {"prefix_hashes": (7,), "prefix_tokens": (2000,), "prompt_tokens": 2000}
    for number in range(crashes):
        pool.crashed(f"old-{number}", BAD, now=NOW - 60)
    for name in ("n0", "n1"):
        pool.send(name, **prompt)
        pool.begin(name)
    cached = pool.upstream_by_id["n0"]
    assert pool.upstream_by_id["n1"] == cached
    assert pool.send("r1", BAD, **prompt)
    assert (pool.upstream_by_id["r1"] == cached) == (not crashes)
