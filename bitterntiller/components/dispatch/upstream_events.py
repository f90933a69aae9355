"""State changes of an owner's upstreams, kept until they are logged."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

from bitterntiller.components.dispatch.concurrency import LimitChange

MAX_EVENTS = 256
"""Maximum number of kept changes; the oldest are dropped first."""


class UpstreamChange(StrEnum):
    """How an upstream changed: whether it gets requests, and if not, why.

    An unhealthy upstream failed several times in a row and only gets probes. A
    forgotten one is unknown until it is announced again. A limited one states in its
    responses how many requests per second it accepts. A withheld one has a version that
    gets no requests. A paused one wants no requests from one entry host for some time.
    A lost path means that one entry host does not reach the upstream. An ejected one
    fails more of its requests than the others of its pool, and is probed later.
    Concurrency means that another number of requests in flight was learned to be best.
    """

    RESTARTED = "restarted"
    USABLE = "usable"
    LEAVING = "leaving"
    SILENT = "silent"
    FORGOTTEN = "forgotten"
    UNHEALTHY = "sick"
    HEALTHY = "well"
    LIMITED = "limited"
    UNLIMITED = "unlimited"
    WITHHELD = "withheld"
    PAUSED = "paused"
    PATH_LOST = "path-lost"
    PATH_REGAINED = "path-regained"
    EJECTED = "ejected"
    READMITTED = "readmitted"
    CONCURRENCY = "concurrency"


PATH_CHANGES = frozenset({UpstreamChange.PATH_LOST, UpstreamChange.PATH_REGAINED})
"""Changes that concern one entry host, not the use of the upstream."""


class UpstreamEvent(NamedTuple):
    """A change and the state that it was based on; times in seconds.

    announcement_age is the age of the newest announcement, activity_age the time since
    the upstream's last output or successful response, and probe_in the time until an
    unhealthy upstream is probed. limit is the rate limit that its responses state, in
    requests per second. entry_host and paused_for are set for a pause; an unhealthy
    upstream and a lost path have the entry_host of the last failure and its reason. An
    ejected or readmitted one has its failure rate over its latest requests, their
    number, and the failure rate of the pool.
    concurrency is the change of the learned limit.
    """

    upstream: str
    change: UpstreamChange
    announcement_age: float
    activity_age: float
    in_flight: int
    probe_in: float | None = None
    limit: float | None = None
    entry_host: str | None = None
    paused_for: float | None = None
    reason: str | None = None
    failure_rate: float | None = None
    pool_failure_rate: float | None = None
    samples: int | None = None
    concurrency: LimitChange | None = None


class UpstreamEvents:
    """Collects changes in order."""

    def __init__(self) -> None:
        self._events: deque[UpstreamEvent] = deque(maxlen=MAX_EVENTS)

    def record(self, event: UpstreamEvent) -> None:
        """Record a change."""
        self._events.append(event)

    def take(self) -> list[UpstreamEvent]:
        """Return the changes recorded since the last call."""
        taken = list(self._events)
        self._events.clear()
        return taken
