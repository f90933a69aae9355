"""Which requests a host that stops still admits and passes on."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import ActiveRequest, IdentifiedRequest
from bitterntiller.core.clock import Clock


class StopSchedule:
    """The times of a clean stop; it allows everything until the stop begins.

    A request that is sure to end within the stop, because its own time is over before,
    is always allowed. The stop lasts shutdown seconds; ends_at is when the last
    requests are ended, None before it begins.
    """

    def __init__(self, clock: Clock, shutdown: float) -> None:
        self._clock = clock
        self._shutdown = shutdown
        self._began_at = 0.0
        self.ends_at: float | None = None

    def begin(self) -> None:
        """Begin the stop, unless it has begun."""
        if self.ends_at is None:
            self._began_at = self._clock.now()
            left = max(0.0, self._shutdown - const.STOP_ANSWER_SECONDS)
            self.ends_at = self._began_at + left

    def seconds_left(self) -> float:
        """Return the time until the last requests are ended, after begin()."""
        assert self.ends_at is not None
        return max(0.0, self.ends_at - self._clock.now())

    @property
    def sending_ends(self) -> bool:
        """Return whether only requests that are sure to end are still passed on."""
        return self._has_lasted(const.STOP_SEND_FRACTION * self._shutdown)

    def admits(self, identified: IdentifiedRequest) -> bool:
        """Return whether a request may be admitted that has been read whole now."""
        seconds = const.STOP_SEND_FRACTION * self._shutdown
        late = self._has_lasted(min(const.STOP_ADMIT_SECONDS, seconds))
        return not late or self._ends_in_time(identified)

    def passes_on(self, active: ActiveRequest) -> bool:
        """Return whether an admitted request may be sent to an upstream now.

        One that may have run is sent again: it can't be refused any more.
        """
        if not self.sending_ends or active.has_run:
            return True
        return self._ends_in_time(active.prepared.identified)

    def _has_lasted(self, seconds: float) -> bool:
        if self.ends_at is None:
            return False
        return self._clock.now() >= self._began_at + seconds

    def _ends_in_time(self, identified: IdentifiedRequest) -> bool:
        return self.ends_at is None or identified.deadline <= self.ends_at
