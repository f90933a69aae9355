"""What a request will cost, from its estimates and what earlier ones cost."""

from collections import Counter

from bitterntiller.components.dispatch.call_durations import CallDurations
from bitterntiller.components.dispatch.const import KIND_PLAIN
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import Completion, PolicyParameters
from bitterntiller.components.dispatch.speed import (
    LONG,
    OVERHEAD_SECONDS,
    SHORT,
    PoolSpeed,
)

RATIO_GAIN = 0.05
"""Least part by which one answer moves the learned part of the stated output."""

MIN_RATIO = 0.05
MAX_RATIO = 2.0
"""Least and most of the stated output that one answer is taken to have used; what lies
outside is a caller's slip and would spoil the mean."""

PRIOR_RATIO = MIN_RATIO**0.5
"""Part of the stated output that is expected before any answer has ended: the middle,
by its logarithm, between the least that is taken for possible and all of it. Callers
state the most they allow, or tokens where an event holds several; with all of it
expected, a new owner refuses as late what idle upstreams would serve well."""

WORKSPACE_PRIOR_ANSWERS = 3
"""Answers for which the part of the whole pool stands beside a workspace's own."""

MEAN_GAIN = 0.01


class SizeEstimator:
    """Learns how much of the stated output is used, and what is long work.

    For a plain service the expected output of a call is its expected seconds.
    """

    def __init__(self, parameters: PolicyParameters, speed: PoolSpeed) -> None:
        self._long_factor = parameters.long_factor
        self._speed = speed
        self._output_ratio = PRIOR_RATIO
        self._answers = 0
        self._ratio_by_workspace: dict[str, float] = {}
        self._answers_by_workspace: Counter[str] = Counter()
        self._mean_work = 0.0
        self._plain = parameters.kind == KIND_PLAIN
        self._calls = CallDurations()

    def estimate(self, job: Job) -> None:
        """Set what is expected of a new request."""
        if self._plain:
            self._size_call(job)
        else:
            self._size_tokens(job)
        if not self._mean_work:
            self._mean_work = job.work
        self._mean_work += MEAN_GAIN * (job.work - self._mean_work)
        job.kind = LONG if job.work > self._long_factor * self._mean_work else SHORT

    def learn(self, job: Job, completion: Completion) -> None:
        """Learn from a request that ended well."""
        if self._plain:
            self._learn_call(job, completion)
            return
        stated = job.request.output_tokens
        if stated < 1 or completion.output_tokens < 1:
            return
        seen = min(max(completion.output_tokens / stated, MIN_RATIO), MAX_RATIO)
        self._answers += 1
        gain = max(1 / self._answers, RATIO_GAIN)
        self._output_ratio += gain * (seen - self._output_ratio)
        known = self._ratio_by_workspace.get(job.workspace, self._output_ratio)
        self._answers_by_workspace[job.workspace] += 1
        answers = self._answers_by_workspace[job.workspace] + WORKSPACE_PRIOR_ANSWERS
        gain = max(1 / answers, RATIO_GAIN)
        self._ratio_by_workspace[job.workspace] = known + gain * (seen - known)

    def _size_tokens(self, job: Job) -> None:
        request = job.request
        ratio = self._ratio_by_workspace.get(job.workspace, self._output_ratio)
        job.expected_output = request.output_tokens * ratio
        job.work = self._speed.work(request.prompt_tokens, job.expected_output)

    def _size_call(self, job: Job) -> None:
        tokens = job.request.prompt_tokens
        job.unmeasured = not self._calls.is_measured(tokens)
        job.expected_output = self._calls.seconds(tokens)
        job.work = OVERHEAD_SECONDS + job.expected_output

    def _learn_call(self, job: Job, completion: Completion) -> None:
        # Long calls are over-represented in what runs at a change of owners, and
        # are all that a new owner hears of at first. It would take their time for
        # the mean, and show as short calls refused as late beside idle services.
        if not job.adopted:
            self._calls.learn(job.request.prompt_tokens, completion.total)
