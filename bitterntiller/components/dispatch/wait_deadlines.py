"""Deadlines of waiting requests: too late to be served, and objective missed."""

from collections.abc import Callable

from bitterntiller.components.dispatch.const import KIND_PLAIN, PARK_SECONDS
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.picker import UpstreamPicker
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.components.dispatch.refusal_bounds import (
    ExceededBound,
    RefusalBound,
)
from bitterntiller.components.dispatch.timers import JobTimers
from bitterntiller.components.dispatch.typical_prefill import TypicalPrefill

REFUSAL_LEAD_SECONDS = 0.2
"""How long before its caller gives up a request is refused, so that the refusal and its
Retry-After still reach the caller."""

START_CHECK_SECONDS = 0.03
"""Minimum time between two checks of a request whose caller is about to give up. It is
a fraction of REFUSAL_LEAD_SECONDS because the estimate of the fastest prefill changes,
which moves the time at which the request becomes too late."""


class WaitDeadlines:
    """Schedules checks of waiting requests and decides which are too late."""

    def __init__(
        self, parameters: PolicyParameters, pool: Pool, picker: UpstreamPicker
    ) -> None:
        self._no_upstream_seconds = parameters.no_upstream_seconds
        self._plain = parameters.kind == KIND_PLAIN
        self._pool = pool
        self._picker = picker
        self._checks = JobTimers()
        self._objectives = JobTimers()
        self._typical = TypicalPrefill()

    def schedule_check(self, job: Job, now: float) -> None:
        """Schedule a check for when a request may be too late or without upstreams."""
        when = self._latest_start(job, now)
        if not self._pool.view(job).members:
            when = min(when, job.received_at + self._no_upstream_seconds)
        pause = PARK_SECONDS if job.request.start_by is None else START_CHECK_SECONDS
        self._checks.add(max(when, now + pause), job)

    def schedule_objective(self, job: Job, now: float) -> bool:
        """Schedule the time from which a typical request would miss the objective.

        Return True if that time has passed already.
        """
        first_by = job.request.first_by
        if first_by is None or job.demoted:
            return False
        min_first_output_seconds = self._picker.min_first_output_seconds(
            job, self._pool.view(job), now
        )
        self._typical.learn(job.rank, min_first_output_seconds)
        # The typical prefill of the tier is subtracted for all sizes. With its own
        # prefill subtracted, a large request would be demoted in a long queue before
        # the small ones around it.
        when = first_by - self._typical.seconds(job.rank)
        if self._plain and self._pool.uneven and not job.unmeasured:
            # The first output of a call is its end. A pool that is a little too slow
            # would otherwise end every call late, since each waits until its objective.
            when = first_by - job.work
        if when <= now:
            return True
        self._objectives.add(when, job)
        return False

    def due_checks(self, now: float) -> list[Job]:
        """Remove and return the requests whose check is due."""
        return self._checks.due(now)

    def due_objectives(self, now: float) -> list[Job]:
        """Remove and return the requests that are about to miss their objective."""
        return self._objectives.due(now)

    def next_due(self) -> float:
        """Return the time of the next check or objective."""
        return min(self._checks.next_due(), self._objectives.next_due())

    def prune(self, live: int, is_live: Callable[[Job], bool]) -> None:
        """Drop the timers of requests that have ended."""
        self._checks.prune(live, is_live)
        self._objectives.prune(live, is_live)

    def exceeded(self, job: Job, now: float) -> ExceededBound | None:
        """Return the bound that a request exceeds if no upstream can serve it.

        Queued work isn't counted, so a request is never refused as too late because of
        work that it could displace.
        """
        view = self._pool.view(job)
        job.min_service_seconds = self._picker.min_service_seconds(job, view, now)
        if now >= job.request.deadline:
            return ExceededBound(RefusalBound.DEADLINE)
        if job.request.start_by is not None and now >= self._latest_start(job, now):
            return ExceededBound(RefusalBound.LATEST_START)
        if now + job.min_service_seconds < job.request.deadline:
            return None
        if self._picker.probe(job, view, now) is not None:
            return None
        return ExceededBound(RefusalBound.DEADLINE)

    def no_upstream_for_too_long(self, job: Job, now: float) -> bool:
        """Return whether a request has waited too long without any usable upstream."""
        waited_out = now >= job.received_at + self._no_upstream_seconds
        return waited_out and not self._pool.view(job).members

    def _latest_start(self, job: Job, now: float) -> float:
        """Return the latest time at which sending a request is still useful."""
        request = job.request
        when = request.deadline - job.min_service_seconds
        if request.start_by is None:
            return when
        first = self._picker.min_first_output_seconds(job, self._pool.view(job), now)
        return min(when, request.start_by - first - REFUSAL_LEAD_SECONDS)
