"""What an owner comes to believe of its upstreams, kept until somebody tells it."""

from collections import deque
from enum import StrEnum
from typing import NamedTuple

MOST_NEWS = 256
"""Changes that are kept; the oldest goes first if nobody takes them."""


class UpstreamChange(StrEnum):
    """What changed: whether an upstream is given work, and why not.

    A sick one failed several times in a row and is only probed. A forgotten one is
    unknown until it is announced again.
    """

    RESTARTED = "restarted"
    USABLE = "usable"
    LEAVING = "leaving"
    SILENT = "silent"
    FORGOTTEN = "forgotten"
    SICK = "sick"
    WELL = "well"


class UpstreamNews(NamedTuple):
    """One change, and what it rests on; times in seconds.

    heard is how old the newest announcement is, worked how long ago the upstream last
    showed that it works, and probe_in when a sick one is tried again.
    """

    upstream: str
    change: UpstreamChange
    heard: float
    worked: float
    in_flight: int
    probe_in: float | None = None


class NewsFeed:
    """Collects changes in their order."""

    def __init__(self) -> None:
        self._news: deque[UpstreamNews] = deque(maxlen=MOST_NEWS)

    def note(self, news: UpstreamNews) -> None:
        """Note a change."""
        self._news.append(news)

    def take(self) -> list[UpstreamNews]:
        """Return what was noted since the last call."""
        taken = list(self._news)
        self._news.clear()
        return taken
