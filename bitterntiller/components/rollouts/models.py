"""What the parts of a rollout know and decide; times in seconds."""

from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """How far a rollout is.

    JUDGED: the new version gets a bounded part of the requests. COMPLETE and REVERTED
    are final.
    """

    JUDGED = "judged"
    COMPLETE = "complete"
    REVERTED = "reverted"

    @property
    def under_way(self) -> bool:
        """Tell whether the rollout has no verdict yet."""
        return self is Phase.JUDGED


class Cell(NamedTuple):
    """Names one count of evidence.

    second is that of the sending, counted from the order. upstream is empty for those
    of the old version, which are counted together.
    """

    second: int
    route: str
    upstream: str


class Counts(NamedTuple):
    """What has been seen in one cell.

    Of answered requests failed have ended badly. Of firsts slow_firsts, and of totals
    slow_totals, took longer than most do on the old version.
    """

    answered: int = 0
    failed: int = 0
    firsts: int = 0
    slow_firsts: int = 0
    totals: int = 0
    slow_totals: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Return the sums."""
        return Counts(*map(sum, zip(self, other, strict=True)))


class Totals(NamedTuple):
    """What one owner has counted since the order.

    reached are the requests that came for the service, exposed those sent to the new
    version. old_running are requests that run on the old version, as told at.
    """

    reached: int
    exposed: int
    old_running: int
    told_ms: int


class VersionRules(NamedTuple):
    """Which versions of a service's upstreams may get requests.

    serving is the version in use, empty while any is. candidate is the version of a
    rollout that is judged, served under an allowance; number names that rollout. denied
    is the version of the last rollout that was reverted.
    """

    serving: str = ""
    candidate: str = ""
    denied: str = ""
    number: int = 0

    def may_serve(self, version: str) -> bool:
        """Tell whether a version gets requests without an allowance."""
        if version in (self.candidate, self.denied) and version:
            return False
        return not self.serving or version == self.serving

    def may_run(self, version: str) -> bool:
        """Tell whether a version may get any request."""
        is_candidate = bool(self.candidate) and version == self.candidate
        return is_candidate or self.may_serve(version)


ANY_VERSION = VersionRules()
