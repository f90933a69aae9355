"""What a request will cost, from its estimates and what earlier ones cost."""

from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import Completion, PolicyParameters
from bitterntiller.components.dispatch.speed import LONG, SHORT, PoolSpeed

RATIO_GAIN = 0.05
MIN_RATIO = 0.05
MAX_RATIO = 2.0
MEAN_GAIN = 0.01


class Sizes:
    """Learns how much of the stated output is used, and what is long work."""

    def __init__(self, parameters: PolicyParameters, speed: PoolSpeed) -> None:
        self._long_factor = parameters.long_factor
        self._speed = speed
        self._ratio = 1.0
        self._ratio_by_workspace: dict[str, float] = {}
        self._mean_work = 0.0

    def size(self, job: Job) -> None:
        """Set what is expected of a new request."""
        request = job.request
        ratio = self._ratio_by_workspace.get(job.workspace, self._ratio)
        job.expected_output = request.output_tokens * ratio
        job.work = self._speed.work(request.prompt_tokens, job.expected_output)
        if not self._mean_work:
            self._mean_work = job.work
        self._mean_work += MEAN_GAIN * (job.work - self._mean_work)
        job.kind = LONG if job.work > self._long_factor * self._mean_work else SHORT

    def learn(self, job: Job, completion: Completion) -> None:
        """Learn from a request that ended well."""
        stated = job.request.output_tokens
        if stated < 1 or completion.output_tokens < 1:
            return
        seen = min(max(completion.output_tokens / stated, MIN_RATIO), MAX_RATIO)
        self._ratio += RATIO_GAIN * (seen - self._ratio)
        known = self._ratio_by_workspace.get(job.workspace, self._ratio)
        self._ratio_by_workspace[job.workspace] = known + RATIO_GAIN * (seen - known)
