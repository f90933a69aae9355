"""Which upstreams are sick: found within seconds, probed, taken back."""

from enum import Enum

FAILURES_TO_SICK = 3
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 10.0

MOMENT_SECONDS = 0.1
"""Lost answers within this time of the first are one piece of evidence: what one reset
or one lost host breaks is told by several hosts within some milliseconds."""


class Failure(Enum):
    """How an upstream failed.

    ANSWERED: it told so itself. LOST: no answer came, which may be the link's fault or
    the caller's host's. REFUSED: it takes no connection, and more tries won't help.
    """

    ANSWERED = "answered"
    LOST = "lost"
    REFUSED = "refused"


class Health:
    """Counts failures in a row; a sick upstream pauses, then gets one probe.

    The pause doubles with every failed probe. One good answer ends it.
    """

    __slots__ = ("_failures", "_lost_at", "_pause", "paused_until", "sick")

    def __init__(self) -> None:
        self.sick = False
        self.paused_until = 0.0
        self._lost_at = float("-inf")
        self._failures = 0
        self._pause = FIRST_PAUSE_SECONDS

    def failure(self, failure: Failure, now: float) -> bool:
        """Note a failure; return True when the upstream has become sick."""
        if failure is Failure.LOST:
            if now - self._lost_at < MOMENT_SECONDS:
                return False
            self._lost_at = now
        self._failures += 1
        if self.sick:
            if now >= self.paused_until:
                self._pause = min(self._pause * 2, MAX_PAUSE_SECONDS)
                self.paused_until = now + self._pause
            return False
        if failure is not Failure.REFUSED and self._failures < FAILURES_TO_SICK:
            return False
        self.sick = True
        self.paused_until = now + self._pause
        return True

    def success(self) -> None:
        """Note a good answer."""
        self.sick = False
        self.paused_until = 0.0
        self._failures = 0
        self._pause = FIRST_PAUSE_SECONDS

    def hurry(self, now: float) -> None:
        """Have a sick upstream probed soon, as there is none in its place."""
        self._pause = FIRST_PAUSE_SECONDS
        self.paused_until = min(self.paused_until, now + FIRST_PAUSE_SECONDS)

    def allowed(self, in_flight: int, tried_at: float, now: float) -> bool:
        """Tell whether the upstream may be given one more request.

        tried_at is when it was given the last one. A sick one gets one probe a pause,
        also beside work that runs there: a long stream that runs well would otherwise
        keep it shut out until it has ended.
        """
        if not self.sick:
            return True
        if now < self.paused_until:
            return False
        return in_flight == 0 or now - tried_at >= self._pause
