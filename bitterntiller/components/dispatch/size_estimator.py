"""Estimates the cost of a request from its stated size and from earlier requests."""

from collections import Counter

from bitterntiller.components.dispatch.call_durations import CallDurations
from bitterntiller.components.dispatch.const import KIND_PLAIN, MIN_REMAINING
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import Completion, PolicyParameters
from bitterntiller.components.dispatch.speed import (
    LONG,
    OVERHEAD_SECONDS,
    SHORT,
    PoolSpeed,
)

RATIO_GAIN = 0.05
"""Minimum weight of a new response in the mean used fraction of the stated output."""

MIN_RATIO = 0.05
MAX_RATIO = 2.0
"""Bounds of the used fraction of the stated output in one sample. Values outside come
from a wrong statement of the caller and would distort the mean."""

PRIOR_RATIO = MIN_RATIO**0.5
"""Expected fraction of the stated output before any response has ended: the geometric
mean of MIN_RATIO and 1. Callers state the maximum that they allow, or tokens where an
event of a stream holds several. If all of the stated output were expected, a new owner
would refuse requests as too late that idle upstreams would serve in time."""

WORKSPACE_PRIOR_RESPONSES = 3
"""Number of responses that the pool's mean counts for in the mean of a workspace."""

MEAN_GAIN = 0.01


class SizeEstimator:
    """Learns which fraction of the stated output is used, and the mean work.

    For a plain service the expected output of a call is its expected time in seconds.
    """

    def __init__(self, parameters: PolicyParameters, speed: PoolSpeed) -> None:
        self._long_factor = parameters.long_factor
        self._speed = speed
        self._output_ratio = PRIOR_RATIO
        self._responses = 0
        self._ratio_by_workspace: dict[str, float] = {}
        self._responses_by_workspace: Counter[str] = Counter()
        self._mean_work = 0.0
        self._plain = parameters.kind == KIND_PLAIN
        self._calls = CallDurations()

    def estimate(self, job: Job) -> None:
        """Set the expected output, work and kind (long or short) of a new request."""
        self._mean_work = self.size(job)

    def size(self, job: Job) -> float:
        """Set the same without counting the request; return the mean work with it."""
        if self._plain:
            self._size_call(job)
        else:
            self._size_tokens(job)
        mean = self._mean_work or job.work
        mean += MEAN_GAIN * (job.work - mean)
        job.kind = LONG if job.work > self._long_factor * mean else SHORT
        return mean

    def learn(self, job: Job, completion: Completion) -> None:
        """Update the estimates with a request that ended successfully."""
        if self._plain:
            self._learn_call(job, completion)
            return
        stated = job.request.output_tokens
        if stated < 1 or completion.output_tokens < 1:
            return
        output = job.request.output_before + completion.output_tokens
        seen = min(max(output / stated, MIN_RATIO), MAX_RATIO)
        self._responses += 1
        gain = max(1 / self._responses, RATIO_GAIN)
        self._output_ratio += gain * (seen - self._output_ratio)
        known = self._ratio_by_workspace.get(job.workspace, self._output_ratio)
        self._responses_by_workspace[job.workspace] += 1
        responses = (
            self._responses_by_workspace[job.workspace] + WORKSPACE_PRIOR_RESPONSES
        )
        gain = max(1 / responses, RATIO_GAIN)
        self._ratio_by_workspace[job.workspace] = known + gain * (seen - known)

    def _size_tokens(self, job: Job) -> None:
        request = job.request
        ratio = self._ratio_by_workspace.get(job.workspace, self._output_ratio)
        whole = request.output_tokens * ratio
        job.expected_output = max(whole - request.output_before, MIN_REMAINING * whole)
        job.work = self._speed.work(request.prompt_tokens, job.expected_output)

    def _size_call(self, job: Job) -> None:
        tokens = job.request.prompt_tokens
        job.unmeasured = not self._calls.is_measured(tokens)
        job.expected_output = self._calls.seconds(tokens)
        job.work = OVERHEAD_SECONDS + job.expected_output

    def _learn_call(self, job: Job, completion: Completion) -> None:
        # Long calls are over-represented among those that run when the owner changes,
        # and a new owner receives the ends of these first. With them in the mean, it
        # would refuse short calls as too late although services are idle.
        if not job.adopted:
            self._calls.learn(job.request.prompt_tokens, completion.total)
