"""What is remembered of requests under which upstreams ended; times in seconds."""

from typing import NamedTuple


class Crash(NamedTuple):
    """The end of one upstream's process while it ran a request.

    fingerprint names the request over all its copies; at is on this process's clock.
    """

    fingerprint: int
    upstream: str
    incarnation: str
    at: float


class Clearing(NamedTuple):
    """A whole answer to a request, or an operator's word: what was before is void."""

    fingerprint: int
    at: float


class CrashUpdate(NamedTuple):
    """Crashes and clearings that one host tells another."""

    crashes: tuple[Crash, ...] = ()
    clearings: tuple[Clearing, ...] = ()

    @property
    def empty(self) -> bool:
        """Tell whether there is nothing in it."""
        return not self.crashes and not self.clearings

    @property
    def fingerprints(self) -> frozenset[int]:
        """Return the requests that it is about."""
        return frozenset(item.fingerprint for item in self.crashes + self.clearings)
