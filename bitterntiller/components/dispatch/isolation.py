"""Isolation of requests that may have crashed upstreams.

Each request that was running on an upstream when it crashed is a suspect, and most are
innocent. Only one copy of a suspect runs at a time. One with at least ISOLATED_FROM
crashes runs alongside no other suspect, so its next crash identifies the culprit.
"""

from bitterntiller.components.dispatch.ledger import Ledger
from bitterntiller.components.dispatch.models import WaitingRequest
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.core.interfaces import CrashView

ISOLATED_FROM = 2
"""Number of crashes from which a request doesn't run alongside other suspects."""

NOT_SUSPECT = 0


class NoCrashes:
    """CrashView without any crashes."""

    def count(self, fingerprint: int, now: float) -> int:
        """Return 0."""
        return 0

    def quarantined_for(self, fingerprint: int, now: float) -> float:
        """Return 0."""
        return 0.0


class Isolation:
    """Decides alongside which requests a suspect may run, by their crash counts."""

    def __init__(self, crashes: CrashView, pool: Pool) -> None:
        self._crashes = crashes
        self._pool = pool

    def quarantined_for(self, request: WaitingRequest, now: float) -> float:
        """Return the seconds for which a request is quarantined, 0 if it isn't."""
        if not request.fingerprint:
            return 0.0
        return self._crashes.quarantined_for(request.fingerprint, now)

    def suspect_key(self, request: WaitingRequest, now: float) -> int:
        """Return the fingerprint of a suspect, or NOT_SUSPECT.

        It is part of the queue group, so that a suspect that has to wait doesn't block
        other requests.
        """
        return request.fingerprint if self._count(request, now) else NOT_SUSPECT

    def allows(self, request: WaitingRequest, ledger: Ledger, now: float) -> bool:
        """Return whether a request may run alongside the requests of an upstream."""
        count = self._count(request, now)
        if count and self._pool.in_flight_by_fingerprint[request.fingerprint]:
            return False
        if not count:
            return True
        others = (
            self._count(job.request, now)
            for job in ledger.jobs_by_id.values()
            if job.request.fingerprint != request.fingerprint
        )
        worst = max(others, default=0)
        return not worst or max(worst, count) < ISOLATED_FROM

    def _count(self, request: WaitingRequest, now: float) -> int:
        if not request.fingerprint:
            return 0
        return self._crashes.count(request.fingerprint, now)
