"""A request as the owner of a pool keeps it."""

from enum import Enum
from typing import TYPE_CHECKING

from bitterntiller.components.dispatch.models import WaitingRequest

if TYPE_CHECKING:
    from bitterntiller.components.dispatch.upstreams import Upstream

LATE_RANKS = 0.5
"""By how many ranks a late request stands behind its tier: before the next one."""


class JobState(Enum):
    """Where a request is.

    A parked one waits for one upstream, outside the queue. The grant of a
    lapsed one was not heard of in time. A gone one is left in some list only.
    """

    QUEUED = "queued"
    PARKED = "parked"
    GRANTED = "granted"
    RUNNING = "running"
    LAPSED = "lapsed"
    GONE = "gone"


class Job:
    """A request with what the owner expects of it; times in seconds.

    work is the expected service on a mean upstream. prefill is the tokens that
    have to be computed at the upstream, expected_cached those that should be in
    its cache. expected_wait is the wait that was expected at its arrival. order_key
    places it within its workspace. late tells that a request of typical size could
    no longer meet the objective. adopted tells that an earlier owner granted it,
    guessed that nothing like it was measured yet. parked counts how often no
    free upstream could end it in time while a busy one might.
    """

    __slots__ = (
        "adopted",
        "best_case",
        "blocked_since",
        "entered",
        "expected_cached",
        "expected_output",
        "expected_total",
        "expected_wait",
        "first_seen",
        "granted_at",
        "group",
        "guessed",
        "in_flight_at_start",
        "kind",
        "kv",
        "late",
        "order_key",
        "parked",
        "target",
        "prefill",
        "rank",
        "reregistered",
        "returns",
        "request",
        "sequence",
        "state",
        "tokens_at",
        "tokens_seen",
        "upstream",
        "work",
        "workspace",
    )

    def __init__(self, request: WaitingRequest, sequence: int, now: float) -> None:
        self.request = request
        self.workspace = request.workspace
        self.rank = request.tier_rank
        self.sequence = sequence
        self.entered = now
        self.state = JobState.QUEUED
        self.kind = 0
        self.work = 0.0
        self.best_case = 0.0
        self.expected_output = float(request.output_tokens)
        self.kv = request.prompt_tokens + request.output_tokens
        self.order_key = 0.0
        self.late = False
        self.group: tuple = ()
        self.upstream: Upstream | None = None
        self.target: Upstream | None = None
        self.blocked_since: float | None = None
        self.granted_at = 0.0
        self.prefill = 0
        self.expected_cached = 0
        self.expected_total = 0.0
        self.expected_wait = 0.0
        self.in_flight_at_start = 0
        self.first_seen: float | None = None
        self.tokens_seen = 0
        self.tokens_at = 0.0
        self.reregistered = False
        self.returns = 0
        self.parked = 0
        self.adopted = False
        self.guessed = False

    @property
    def queue_rank(self) -> float:
        """Return the place of its queue: what is late comes behind its own tier."""
        return self.rank + LATE_RANKS if self.late else float(self.rank)

    @property
    def waiting(self) -> bool:
        """Tell whether the request has no grant."""
        return self.state in (JobState.QUEUED, JobState.PARKED)
