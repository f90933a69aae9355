"""How long a request may wait: until it is late, and until its objective is missed."""

from collections.abc import Callable

from bitterntiller.components.dispatch.const import PARK_SECONDS
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.picker import UpstreamPicker
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.timers import JobTimers
from bitterntiller.components.dispatch.typical import TypicalPrefill

LEAVING_SECONDS = 0.2
"""How long before its caller gives up a request is refused, so that the refusal still
reaches the caller and tells it when to come back."""

START_CHECK_SECONDS = 0.03
"""Least time between two looks at a request whose caller is about to give up; a part of
LEAVING_SECONDS, since what is known of the fastest prefill moves the time a little."""


class WaitDeadlines:
    """Knows when waiting requests have to be looked at, and which are late."""

    def __init__(
        self, parameters: PolicyParameters, pool: Pool, picker: UpstreamPicker
    ) -> None:
        self._no_upstream = parameters.no_upstream_seconds
        self._pool = pool
        self._picker = picker
        self._looks = JobTimers()
        self._objectives = JobTimers()
        self._typical = TypicalPrefill()

    def plan_look(self, job: Job, now: float) -> None:
        """Have a request come up when it may be late, or nobody is there for it."""
        when = self._last_start(job, now)
        if not self._pool.view(job).members:
            when = min(when, job.entered + self._no_upstream)
        pause = PARK_SECONDS if job.request.start_by is None else START_CHECK_SECONDS
        self._looks.add(max(when, now + pause), job)

    def plan_objective(self, job: Job, now: float) -> bool:
        """Have a request come up when a typical one misses its objective.

        Tell if that is over already.
        """
        first_by = job.request.first_by
        if first_by is None or job.late:
            return False
        first_case = self._picker.first_case(job, self._pool.view(job), now)
        self._typical.learn(job.rank, first_case)
        # The same for all sizes: with its own prefill subtracted, a large request would
        # lose its place in a long queue before the small ones around it.
        when = first_by - self._typical.seconds(job.rank)
        if when <= now:
            return True
        self._objectives.add(when, job)
        return False

    def due_looks(self, now: float) -> list[Job]:
        """Take out the requests that may be late now."""
        return self._looks.due(now)

    def due_objectives(self, now: float) -> list[Job]:
        """Take out the requests that miss their objective now."""
        return self._objectives.due(now)

    def next(self) -> float:
        """Return when the next request comes up."""
        return min(self._looks.next(), self._objectives.next())

    def prune(self, live: int, is_live: Callable[[Job], bool]) -> None:
        """Forget the times of requests that have ended."""
        self._looks.prune(live, is_live)
        self._objectives.prune(live, is_live)

    def is_late(self, job: Job, now: float) -> bool:
        """Tell whether no upstream could serve a request while it is of any use.

        Nothing that waits is counted, so a request is never refused as late because of
        work that it could displace.
        """
        view = self._pool.view(job)
        job.best_case = self._picker.best_case(job, view, now)
        if now >= job.request.deadline:
            return True
        if job.request.start_by is not None and now >= self._last_start(job, now):
            return True
        if now + job.best_case < job.request.deadline:
            return False
        return self._picker.probe(job, view, now) is None

    def without_upstream(self, job: Job, now: float) -> bool:
        """Tell whether a request has waited too long for any upstream to be there."""
        waited_out = now >= job.entered + self._no_upstream
        return waited_out and not self._pool.view(job).members

    def _last_start(self, job: Job, now: float) -> float:
        """Return when a request must be sent at the latest to be of any use."""
        request = job.request
        when = request.deadline - job.best_case
        if request.start_by is None:
            return when
        first = self._picker.first_case(job, self._pool.view(job), now)
        return min(when, request.start_by - first - LEAVING_SECONDS)
