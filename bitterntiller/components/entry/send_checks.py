"""The checks at the moment of sending."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import GrantReceived
from bitterntiller.core.interfaces import Lease
from bitterntiller.core.outcomes import Reason

LAPSED_GRANT = "expired"
LAPSED_LEASE = "lease"
UPSTREAM_LEFT = "upstream-left"
VERSION_WITHDRAWN = "version-withdrawn"
NOTHING_SENT = frozenset({UPSTREAM_LEFT, VERSION_WITHDRAWN})
"""Reasons for which an upstream was passed over before anything was sent to it."""


def lapsed(
    grant: GrantReceived, deadline: float, lease: Lease, now: float
) -> str | None:
    """Return what has run out, None when the request may be sent.

    A process that was stopped and goes on after an hour finds its timers late:
    it would send under a grant, a lease and a deadline that ran out long ago.
    Every sending therefore asks the clock itself, after all waiting is done.
    """
    if now >= deadline:
        return Reason.TOO_LATE
    if now >= grant.valid_until - const.GRANT_MARGIN:
        return LAPSED_GRANT
    if not lease.valid():
        return LAPSED_LEASE
    return None
