"""A request as tracked by the owner of a pool."""

from enum import Enum
from typing import TYPE_CHECKING

from bitterntiller.components.dispatch.const import MIN_REMAINING
from bitterntiller.components.dispatch.models import WaitingRequest
from bitterntiller.components.dispatch.stated_speed import Statement

if TYPE_CHECKING:
    from bitterntiller.components.dispatch.upstreams import Upstream

DEMOTION_RANK_OFFSET = 0.5
"""Added to the tier rank of a demoted request: behind its tier, before the next one."""


class JobState(Enum):
    """State of a request.

    PARKED requests wait outside the queue until a busy upstream has capacity. The use
    of the grant of an EXPIRED one was not reported in time. GONE ones are no longer
    tracked and may remain in timers.
    """

    QUEUED = "queued"
    PARKED = "parked"
    GRANTED = "granted"
    RUNNING = "running"
    EXPIRED = "expired"
    GONE = "gone"


class Job:
    """A request and what the owner expects of it; times in seconds.

    work is the expected service time on an average upstream, min_service_seconds a
    lower bound of it on the best one. kv_tokens is the memory that the request takes.
    prefill is the number of prompt tokens to compute at the upstream, expected_cached
    the number expected in its cache. expected_wait is the wait estimated on arrival.
    order_key orders requests within a workspace, and group_key names the queue group.

    demoted is set when a request of typical size could no longer meet the objective,
    adopted if an earlier owner granted the request, and unmeasured if no similar call
    of a plain service has ended yet. park_count counts how often no free upstream could
    finish it in time while a busy one might. target is the upstream reserved for a
    waiting request, or the upstream of an expired grant. awaits_output is set while it
    is in flight and its output hasn't begun. statement is how long work takes as its
    own response stated it, None if it didn't or if the pool isn't uneven.
    is_retry is set if its caller was refused before, as far as that is recognized.
    prefill_ahead is the number of prompt tokens to compute at the upstream before its
    own. late is set if its stream was expected to miss a target when it was granted, or
    has missed its objective.
    load_at_start is the load_seconds of the upstream's ledger when it was sent there.
    """

    __slots__ = (
        "adopted",
        "awaits_output",
        "blocked_since",
        "demoted",
        "expected_cached",
        "expected_output",
        "expected_total",
        "expected_wait",
        "first_output_at",
        "granted_at",
        "group_key",
        "in_flight_at_start",
        "is_retry",
        "kind",
        "kv_tokens",
        "late",
        "load_at_start",
        "min_service_seconds",
        "order_key",
        "park_count",
        "prefill",
        "prefill_ahead",
        "rank",
        "received_at",
        "request",
        "reregistered",
        "return_count",
        "sequence",
        "state",
        "statement",
        "target",
        "target_interval",
        "tokens_at",
        "tokens_seen",
        "unmeasured",
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
        self.prefill_ahead = 0.0
        self.late = False
        self.target_interval = request.target_interval
        self.expected_cached = 0
        self.expected_total = 0.0
        self.statement: Statement | None = None
        self.expected_wait = 0.0
        self.in_flight_at_start = 0
        self.is_retry = False
        self.load_at_start = 0.0
        self.first_output_at: float | None = None
        self.tokens_seen = 0
        self.tokens_at = 0.0
        self.reregistered = False
        self.return_count = 0
        self.park_count = 0
        self.adopted = False
        self.awaits_output = False
        self.unmeasured = False

    @property
    def queue_rank(self) -> float:
        """Return the rank of its queue; demoted requests come behind their own tier."""
        return self.rank + DEMOTION_RANK_OFFSET if self.demoted else float(self.rank)

    @property
    def remaining_output(self) -> float:
        """Return the expected output of its next run, which goes on with its stream."""
        left = self.expected_output - self.tokens_seen
        return max(left, MIN_REMAINING * self.expected_output)

    @property
    def waiting(self) -> bool:
        """Return whether the request waits for a grant."""
        return self.state in (JobState.QUEUED, JobState.PARKED)
