"""Changes in an owner's view of its upstreams, kept until they are logged."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

MAX_EVENTS = 256
"""Changes that are kept; the oldest goes first if nobody takes them."""


class UpstreamChange(StrEnum):
    """What changed: whether an upstream is given work, and why not.

    A sick one failed several times in a row and is only probed. A forgotten one is
    unknown until it is announced again. A limited one names in its answers how many
    requests a second it takes. A withheld one has a version that gets no requests.
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


class UpstreamEvent(NamedTuple):
    """One change, and what it rests on; times in seconds.

    heard is how old the newest announcement is, worked how long ago the upstream last
    showed that it works, and probe_in when a sick one is tried again. limit is what its
    answers name, in requests a second.
    """

    upstream: str
    change: UpstreamChange
    announcement_age: float
    activity_age: float
    in_flight: int
    probe_in: float | None = None
    limit: float | None = None


class UpstreamEvents:
    """Collects changes in their order."""

    def __init__(self) -> None:
        self._events: deque[UpstreamEvent] = deque(maxlen=MAX_EVENTS)

    def record(self, event: UpstreamEvent) -> None:
        """Note a change."""
        self._events.append(event)

    def take(self) -> list[UpstreamEvent]:
        """Return what was noted since the last call."""
        taken = list(self._events)
        self._events.clear()
        return taken
