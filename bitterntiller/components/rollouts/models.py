"""Data types of rollouts; times in seconds unless a name says otherwise."""

from enum import StrEnum
from typing import NamedTuple


class Phase(StrEnum):
    """The phase of a rollout.

    JUDGED: the candidate version is evaluated and gets a bounded fraction of the
    requests. COMPLETE and REVERTED are final.
    """

    JUDGED = "judged"
    COMPLETE = "complete"
    REVERTED = "reverted"

    @property
    def under_way(self) -> bool:
        """Return whether the rollout has no verdict yet."""
        return self is Phase.JUDGED


class Cell(NamedTuple):
    """Key of one evidence count.

    second is when the requests were sent, counted from the order. upstream is empty for
    the upstreams of the old version, which are counted together.
    """

    second: int
    route: str
    upstream: str


class Counts(NamedTuple):
    """Counts of one cell.

    failed is how many of the answered requests failed. slow_firsts of the firsts (times
    to the first output) and slow_totals of the totals (times to the complete response)
    took longer than most on the old version.
    """

    answered: int = 0
    failed: int = 0
    firsts: int = 0
    slow_firsts: int = 0
    totals: int = 0
    slow_totals: int = 0

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum with other counts."""
        return Counts(*map(sum, zip(self, other, strict=True)))


class Totals(NamedTuple):
    """Totals of one owner since the order.

    reached is the number of requests that arrived for the service, exposed the number
    of those sent to the candidate version. old_running is how many requests run on the
    old version, as reported at told_ms.
    """

    reached: int
    exposed: int
    old_running: int
    told_ms: int


class VersionRules(NamedTuple):
    """Which versions of a service's upstreams may get requests.

    serving is the version in use, empty while all are. candidate is the version under
    evaluation in a rollout, which gets requests within an allowance; number identifies
    that rollout. denied is the version of the last rollout if it was reverted.
    """

    serving: str = ""
    candidate: str = ""
    denied: str = ""
    number: int = 0

    def may_serve(self, version: str) -> bool:
        """Return whether a version gets requests without an allowance."""
        if version in (self.candidate, self.denied) and version:
            return False
        return not self.serving or version == self.serving

    def may_run(self, version: str) -> bool:
        """Return whether a version may get any request."""
        is_candidate = bool(self.candidate) and version == self.candidate
        return is_candidate or self.may_serve(version)


ANY_VERSION = VersionRules()
