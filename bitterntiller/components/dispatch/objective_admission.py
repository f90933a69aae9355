"""Admission by objective: refuses at once what would be late, while callers compete.

It answers bursts in which more streams arrive than the engines can begin in time.
Without it every request waits until its caller is about to give up, so that those that
are sent barely meet their objective, and the others are refused a second late.
"""

from bitterntiller.components.dispatch.jobs import Job

OVERDUE_FRACTION = 0.5
"""Fraction of its objective that a request which misses it may be expected to wait on.
A late answer is worth less than one in time, and a longer wait delays the refusal."""

MIN_WAIT_SECONDS = 0.03
"""Expected waits below this refuse nothing: about one round trip of a grant."""

CONGESTED_SECONDS = 1.0
CALM_SECONDS = 1.0
"""A pool is congested once requests have missed their objective for CONGESTED_SECONDS,
until none has for CALM_SECONDS. A queue that drains within an objective refuses
nobody: its callers are served, if some of them late."""


class Congestion:
    """Detects a standing queue by the objectives that waiting requests miss."""

    def __init__(self) -> None:
        self._began_at = float("-inf")
        self._missed_at = float("-inf")

    def record_miss(self, now: float) -> None:
        """Record that a waiting request misses its objective."""
        if now - self._missed_at > CALM_SECONDS:
            self._began_at = now
        self._missed_at = now

    def is_congested(self, now: float) -> bool:
        """Return whether requests have been missing their objective for some time."""
        lasted = self._missed_at - self._began_at
        return lasted >= CONGESTED_SECONDS and now - self._missed_at <= CALM_SECONDS


def admitted_wait(job: Job, now: float) -> float | None:
    """Return the expected wait up to which a new request is admitted, None without one.

    Requests without an objective are admitted, and so are those that have missed it.
    Retries are too: a caller that comes back when it was told to isn't refused again.
    """
    first_by = job.request.first_by
    if first_by is None or first_by <= now or job.is_retry:
        return None
    return max(first_by - now, MIN_WAIT_SECONDS)


def overdue_wait(job: Job) -> float | None:
    """Return the expected wait up to which a request that misses its objective is kept.

    Requests without an objective are kept, and so are retries: None for both.
    """
    first_by = job.request.first_by
    if first_by is None or job.is_retry:
        return None
    objective = max(0.0, first_by - job.request.arrived)
    return max(OVERDUE_FRACTION * objective, MIN_WAIT_SECONDS)
