"""Entry hosts for callers that have an objective for the first output."""

from bench.entry import Attempt, EntryHosts
from bench.events import EventLoop
from bench.models import OfferedRequest
from bench.owner import Owner
from bench.routed.sheets import Kind
from bitterntiller.components.dispatch.models import WaitingRequest

MAX_RETRY_WAIT_FRACTION = 1 / 3
"""A caller waits for Retry-After, but at most this fraction of its remaining time."""

RETRIES = 1


class RoutedAttempt(Attempt):
    """An attempt with an objective for its first output."""

    __slots__ = ("kind",)

    def __init__(
        self,
        request: OfferedRequest,
        retries: int,
        arrived: float,
        deadline: float,
        kind: Kind,
    ) -> None:
        super().__init__(request, retries, arrived, deadline)
        self.kind = kind

    def waiting_request(self) -> WaitingRequest:
        """Return the registration, with the times of the objective and of giving up.

        An entry host can't distinguish a retry from a new request, so both times
        count from the arrival of this attempt.
        """
        request = super().waiting_request()
        return request._replace(
            first_by=self.arrived + self.kind.objective,
            start_by=min(self.deadline, self.arrived + self.kind.patience),
        )


class RoutedEntryHosts(EntryHosts):
    """Entry hosts whose callers retry once, after Retry-After."""

    def __init__(
        self, loop: EventLoop, owner: Owner, delay: float, kinds: dict[str, Kind]
    ) -> None:
        super().__init__(loop, owner, delay, RETRIES)
        self._kinds_by_name = kinds

    def accept(self, request: OfferedRequest, retries: int = 0) -> None:
        """Accept a request and register it with the owner."""
        kind = self._kinds_by_name[request.kind]
        deadline = request.at + request.deadline
        attempt = RoutedAttempt(request, retries, self._loop.now(), deadline, kind)
        self.attempts_by_id[attempt.request_id] = attempt
        self._loop.at(deadline, self._handle_deadline, attempt)
        self._owner.send("register", attempt.waiting_request())

    def _retry_later(self, attempt: Attempt, retry_after: float) -> None:
        now = self._loop.now()
        wait = min(retry_after, MAX_RETRY_WAIT_FRACTION * (attempt.deadline - now))
        self._loop.at(now + wait, self.accept, attempt.request, attempt.retries + 1)
