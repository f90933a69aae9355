"""Callers with an objective for the first output, and what their answers are worth."""

from bench.entry import Attempt, EntryHosts
from bench.events import EventLoop
from bench.models import OfferedRequest
from bench.owner import Owner
from bench.routed.sheets import Kind
from bitterntiller.components.dispatch.models import WaitingRequest

MAX_RETRY_WAIT_FRACTION = 1 / 3
"""Part of the time that a caller has left up to which it waits as it is told."""

RETRIES = 1


class RoutedAttempt(Attempt):
    """An attempt whose first output is due by an objective."""

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
        """Return what the owner is told of it.

        A host knows of a caller that comes back no more than of a new one.
        """
        request = super().waiting_request()
        return request._replace(
            first_by=self.arrived + self.kind.objective,
            start_by=min(self.deadline, self.arrived + self.kind.patience),
        )


class RoutedEntryHosts(EntryHosts):
    """Entry hosts whose callers come back once, as they are told."""

    def __init__(
        self, loop: EventLoop, owner: Owner, delay: float, kinds: dict[str, Kind]
    ) -> None:
        super().__init__(loop, owner, delay, RETRIES)
        self._kinds_by_name = kinds

    def accept(self, request: OfferedRequest, retries: int = 0) -> None:
        """Take a request and register it with the owner."""
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
