"""Admission by objective: refuses at once what would be late, while callers compete.

It answers bursts in which more streams arrive than the engines can begin in time.
Without it every request waits until its caller is about to give up, so that those that
are sent barely meet their objective, and the others are refused a second late.
"""

from bitterntiller.components.dispatch.jobs import Job

WAIT_FRACTION = 1.0
"""Fraction of the time to its objective that a request may be expected to wait. The
rest is for its prefill and for the error of the estimate."""

OVERDUE_FRACTION = 0.5
"""Fraction of its objective that a request which misses it may be expected to wait on.
A late answer is worth less than one in time, and a longer wait delays the refusal."""

MIN_WAIT_SECONDS = 0.03
"""Expected waits below this refuse nothing: about one round trip of a grant."""


def admits(job: Job, expected_wait: float, now: float) -> bool:
    """Return whether a new request is expected to be sent in time for its objective.

    Requests without an objective are admitted, and so are those that have missed it.
    """
    first_by = job.request.first_by
    if first_by is None or first_by <= now:
        return True
    return expected_wait <= max(WAIT_FRACTION * (first_by - now), MIN_WAIT_SECONDS)


def keeps_overdue(job: Job, expected_wait: float) -> bool:
    """Return whether a request that misses its objective is expected to be sent soon.

    Requests without an objective are kept.
    """
    first_by = job.request.first_by
    if first_by is None:
        return True
    objective = max(0.0, first_by - job.request.arrived)
    return expected_wait <= max(OVERDUE_FRACTION * objective, MIN_WAIT_SECONDS)
