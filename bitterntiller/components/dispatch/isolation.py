"""Isolation of requests that may have crashed upstreams.

Each request that was running on an upstream when it crashed is a suspect, and most are
innocent. So is each part of its prompt, unless its output had begun. Only one request
with a suspected fingerprint runs at a time until its output shows that it is sound. One
with at least ISOLATED_FROM crashes runs alongside no other suspect, so its next crash
identifies the culprit, and preferably alongside few others.
"""

from collections.abc import Iterable

from bitterntiller.components.crashes.broken_responses import BrokenResponses
from bitterntiller.components.dispatch.jobs import Job
from bitterntiller.components.dispatch.ledger import Ledger
from bitterntiller.components.dispatch.models import WaitingRequest
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.core.interfaces import Conviction, CrashView

ISOLATED_FROM = 2
"""Number of crashes from which a request doesn't run alongside other suspects."""

NEIGHBOUR_SECONDS = 0.5
"""Delay that is accepted to run a request with ISOLATED_FROM crashes beside one request
fewer, since its crash would break off the responses to all of them."""


class NoCrashes:
    """CrashView without any crashes."""

    any = False
    highest_count = 0

    def count(self, fingerprint: int, now: float) -> int:
        """Return 0."""
        return 0

    def upstreams(self, fingerprint: int, since: float) -> frozenset[str]:
        """Return no upstreams."""
        return frozenset()

    def conviction(self, fingerprints: Iterable[int], now: float) -> None:
        """Return None."""


class Isolation:
    """Decides alongside which requests a suspect may run, by their crash counts."""

    def __init__(self, crashes: CrashView, pool: Pool) -> None:
        self._crashes = crashes
        self._pool = pool
        self._broken = BrokenResponses(crashes)

    @property
    def active(self) -> bool:
        """Return whether there may be any suspects."""
        return self._crashes.any or self._broken.any

    def conviction(self, request: WaitingRequest, now: float) -> Conviction | None:
        """Return why a request is kept from upstreams, None if it isn't."""
        return self._crashes.conviction(request.fingerprints, now)

    def suspect_key(self, request: WaitingRequest, now: float) -> tuple[int, ...]:
        """Return the suspected fingerprints of a request, empty if it is no suspect.

        They are part of the queue group, so that a suspect that has to wait doesn't
        block other requests.
        """
        if not self.active:
            return ()
        return tuple(item for item in request.fingerprints if self._level(item, now))

    def allows(self, request: WaitingRequest, ledger: Ledger, now: float) -> bool:
        """Return whether a request may run alongside the requests of an upstream."""
        suspected = self.suspect_key(request, now)
        if not suspected:
            return True
        if any(self._occupied(item, now) for item in suspected):
            return False
        worst = max(self._level(item, now) for item in suspected)
        others = (
            self._suspicion(job, now)
            for job in ledger.jobs_by_id.values()
            if job.request.fingerprint != request.fingerprint
        )
        worst_other = max(others, default=0)
        return not worst_other or max(worst_other, worst) < ISOLATED_FROM

    def neighbour_seconds(
        self, request: WaitingRequest, ledger: Ledger, now: float
    ) -> float:
        """Return the cost in seconds of the requests alongside which one would run.

        It keeps isolated suspects and other requests apart where upstreams are free.
        """
        if not self._broken.any and self._crashes.highest_count < ISOLATED_FROM:
            return 0.0
        if self._worst(request.fingerprints, now) >= ISOLATED_FROM:
            return NEIGHBOUR_SECONDS * ledger.in_flight
        suspicions = (self._suspicion(job, now) for job in ledger.jobs_by_id.values())
        isolated = max(suspicions, default=0) >= ISOLATED_FROM
        return NEIGHBOUR_SECONDS if isolated else 0.0

    def record_break(self, job: Job, now: float) -> frozenset[int]:
        """Record that a response broke before any output; return the suspects.

        Parts that other running requests hold are sound if the output of these has
        begun.
        """
        upstream = job.upstream
        if upstream is None:
            return frozenset()
        sound = self._sound_parts(upstream.name)
        suspected = frozenset(job.request.fingerprints) - sound
        self._broken.add(suspected, upstream.name, now)
        return suspected

    def record_output(self, job: Job, done: bool) -> None:
        """Record output of a request in flight, which speaks for it and its upstream.

        done states whether the response is complete.
        """
        if not self._broken.any or job.upstream is None:
            return
        self._broken.drop_upstream(job.upstream.name)
        request = job.request
        self._broken.drop(request.fingerprints if done else request.parts)

    def review(self, fingerprints: Iterable[int], now: float) -> None:
        """Apply new evidence on fingerprints."""
        self._broken.review(fingerprints, now)

    def expire(self, now: float) -> None:
        """Forget broken responses that no crash explains."""
        if self._broken.any:
            self._broken.expire(now)

    def _sound_parts(self, broken_upstream: str) -> set[int]:
        """Return the parts on which other upstreams have begun their output."""
        return {
            part
            for upstream in self._pool.upstreams_by_name.values()
            if upstream.name != broken_upstream
            for job in upstream.ledger.jobs_by_id.values()
            if not job.awaits_output
            for part in job.request.parts
        }

    def _occupied(self, fingerprint: int, now: float) -> bool:
        """Return whether the one request that may run is in flight or just broke."""
        if self._pool.fingerprints.count(fingerprint):
            return True
        broken = self._broken.count(fingerprint, now)
        return bool(broken) and self._level(fingerprint, now) >= ISOLATED_FROM

    def _suspicion(self, job: Job, now: float) -> int:
        """Return the suspicion of a request in flight."""
        request = job.request
        if job.awaits_output:
            return self._worst(request.fingerprints, now)
        return self._level(request.fingerprint, now)

    def _worst(self, fingerprints: Iterable[int], now: float) -> int:
        return max((self._level(item, now) for item in fingerprints), default=0)

    def _level(self, fingerprint: int, now: float) -> int:
        """Return how many upstreams have or may have crashed under a fingerprint."""
        known = self._crashes.count(fingerprint, now)
        return known + self._broken.count(fingerprint, now)
