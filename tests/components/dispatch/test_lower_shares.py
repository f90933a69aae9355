"""Shares of the slots that lower tiers get ahead of the tiers above them."""

import pickle
from collections import Counter
from itertools import pairwise

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Decision, Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
SLOTS = 40
STEP_SECONDS = 0.05


class Burst:
    """A pool that is full of its most important tier, more of which waits.

    In each step a request of each tier arrives. steps_by_rank is how many steps a
    request of each tier runs for.
    """

    def __init__(self, steps_by_rank: dict[int, int]) -> None:
        self.steps_by_rank = steps_by_rank
        self.scheduler = PoolScheduler(REGISTERED_PARAMETERS)
        self.scheduler.announce(upstream(slots=SLOTS, kv_tokens=10_000_000), NOW)
        self.granted: Counter[int] = Counter()
        self._ends_by_step: dict[int, list[str]] = {}
        self._step = 0
        self._number = 0

    def play(self, steps: int) -> None:
        """Fill the slots, one in each step, then play some steps."""
        for step in range(SLOTS + steps):
            self._step = step
            for name in self._ends_by_step.pop(step, ()):
                done = completion(name, output_tokens=1)
                self._start(self.scheduler.finished(done, self._now))
            for rank in self.steps_by_rank if step >= SLOTS else (0, 0):
                self._arrive(rank)

    @property
    def _now(self) -> float:
        return NOW + STEP_SECONDS * self._step

    def _arrive(self, rank: int) -> None:
        self._number += 1
        asked = request(
            f"{rank}-{self._number}",
            tier_rank=rank,
            output_tokens=1,
            arrived=self._now,
            deadline=self._now + 60,
        )
        self._start(self.scheduler.register(asked, self._now))

    def _start(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if not isinstance(decision, Granted):
                continue
            rank = int(decision.request_id.split("-")[0])
            self.granted[rank] += 1
            self.scheduler.started(decision.request_id, self._now)
            end = self._step + self.steps_by_rank[rank]
            self._ends_by_step.setdefault(end, []).append(decision.request_id)


@pytest.mark.parametrize(
    "steps_by_rank",
    [
        {0: 40, 1: 10, 2: 1},
        {0: 40, 1: 1, 2: 10},
        {0: 40, 1: 20, 2: 5, 3: 1},
        {0: 40, 1000: 10, 2000: 1, 2001: 3},
    ],
    ids=["short-lowest", "long-lowest", "four-tiers", "ranks-far-apart"],
)
def test_no_tier_gets_what_one_above_it_lacks(steps_by_rank):
    """Guards against a burst in which short requests pass those of a higher tier."""
    burst = Burst(steps_by_rank)
    burst.play(400)
    lower = list(steps_by_rank)[1:]
    for above, below in pairwise(lower):
        assert burst.granted[below] > 10
        assert burst.granted[above] >= burst.granted[below] - 2


def test_query_of_a_placement_leaves_the_shares_as_they_are():
    """Guards against an operator's query that changes a later decision by rounding."""
    burst = Burst({0: 40, 1: 10, 2: 1})
    burst.play(50)
    shares = burst.scheduler._lower_shares
    before = pickle.dumps(shares.served)
    asked = request("asked", tier_rank=2, deadline=NOW + 60)
    burst.scheduler.explain_placement(asked, NOW + 10)
    assert pickle.dumps(shares.served) == before
