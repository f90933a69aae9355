"""A request as the owner of a pool keeps it."""

from enum import Enum
from typing import TYPE_CHECKING

from bitterntiller.components.dispatch.models import WaitingRequest

if TYPE_CHECKING:
    from bitterntiller.components.dispatch.upstreams import Upstream

DEMOTION_RANK_OFFSET = 0.5
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
    EXPIRED = "expired"
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
        "min_service_seconds",
        "blocked_since",
        "received_at",
        "expected_cached",
        "expected_output",
        "expected_total",
        "expected_wait",
        "first_output_at",
        "granted_at",
        "group_key",
        "unmeasured",
        "in_flight_at_start",
        "kind",
        "kv_tokens",
        "demoted",
        "order_key",
        "park_count",
        "target",
        "prefill",
        "rank",
        "reregistered",
        "return_count",
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
        self.received_at = now
        self.state = JobState.QUEUED
        self.kind = 0
        self.work = 0.0
        self.min_service_seconds = 0.0
        self.expected_output = float(request.output_tokens)
        self.kv_tokens = request.prompt_tokens + request.output_tokens
        self.order_key = 0.0
        self.demoted = False
        self.group_key: tuple = ()
        self.upstream: Upstream | None = None
        self.target: Upstream | None = None
        self.blocked_since: float | None = None
        self.granted_at = 0.0
        self.prefill = 0
        self.expected_cached = 0
        self.expected_total = 0.0
        self.expected_wait = 0.0
        self.in_flight_at_start = 0
        self.first_output_at: float | None = None
        self.tokens_seen = 0
        self.tokens_at = 0.0
        self.reregistered = False
        self.return_count = 0
        self.park_count = 0
        self.adopted = False
        self.unmeasured = False

    @property
    def queue_rank(self) -> float:
        """Return the place of its queue: what is late comes behind its own tier."""
        return self.rank + DEMOTION_RANK_OFFSET if self.demoted else float(self.rank)

    @property
    def waiting(self) -> bool:
        """Tell whether the request has no grant."""
        return self.state in (JobState.QUEUED, JobState.PARKED)
