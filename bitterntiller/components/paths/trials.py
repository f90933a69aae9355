"""Which requests test a failed path that no probe can test."""

from bitterntiller.components.paths.const import (
    FIRST_TRIAL_PAUSE,
    MAX_TRIAL_PAUSE,
    UNREPEATABLE_TRIAL_SECONDS,
)
from bitterntiller.components.paths.models import FailedPath


def next_trial(path: FailedPath, repeatable: bool, now: float) -> FailedPath | None:
    """Return the path with the times of its next tests, None if none is due now.

    A request that may not be repeated tests a path only if no other one did for long.
    """
    if now < (path.trial_at if repeatable else path.unrepeatable_at):
        return None
    pause = min(2 * path.trial_pause or FIRST_TRIAL_PAUSE, MAX_TRIAL_PAUSE)
    return path._replace(
        trial_at=now + pause,
        trial_pause=pause,
        unrepeatable_at=now + UNREPEATABLE_TRIAL_SECONDS,
    )
