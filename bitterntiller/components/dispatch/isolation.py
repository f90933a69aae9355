"""Where a request may run under which upstreams have ended.

Whatever ran on an upstream that ended is under suspicion, and most of it is innocent. A
request with a crash runs as one copy at a time; one with ISOLATED_FROM crashes runs
beside no other suspect, so that its next crash tells which of them it was.
"""

from bitterntiller.components.dispatch.ledger import Ledger
from bitterntiller.components.dispatch.models import WaitingRequest
from bitterntiller.components.dispatch.pool import Pool
from bitterntiller.core.interfaces import CrashView

ISOLATED_FROM = 2
"""Crashes from which a request runs beside no other suspect."""

NOT_SUSPECT = 0


class NoCrashes:
    """A CrashView of a deployment in which nothing has crashed."""

    def count(self, fingerprint: int, now: float) -> int:
        """Return 0."""
        return 0

    def quarantined_for(self, fingerprint: int, now: float) -> float:
        """Return 0."""
        return 0.0


class Isolation:
    """Keeps suspects apart from each other, by what is known of their crashes."""

    def __init__(self, crashes: CrashView, pool: Pool) -> None:
        self._crashes = crashes
        self._pool = pool

    def quarantined_for(self, request: WaitingRequest, now: float) -> float:
        """Return the seconds for which a request may not be sent, 0 if it may."""
        if not request.fingerprint:
            return 0.0
        return self._crashes.quarantined_for(request.fingerprint, now)

    def suspect_key(self, request: WaitingRequest, now: float) -> int:
        """Return the fingerprint of a suspect, NOT_SUSPECT for any other request.

        Suspects wait in groups of their own, so that none holds up other requests.
        """
        return request.fingerprint if self._count(request, now) else NOT_SUSPECT

    def allows(self, request: WaitingRequest, ledger: Ledger, now: float) -> bool:
        """Tell whether a request may run beside what runs at an upstream."""
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
