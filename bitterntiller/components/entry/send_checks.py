"""The checks at the moment of sending."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import DepartingView
from bitterntiller.components.entry.models import GrantReceived
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.core.interfaces import Lease, VersionsView
from bitterntiller.core.outcomes import Reason

GRANT_EXPIRED = "expired"
LEASE_EXPIRED = "lease"
UPSTREAM_LEFT = "upstream-left"
VERSION_WITHDRAWN = "version-withdrawn"
NOTHING_SENT = frozenset({UPSTREAM_LEFT, VERSION_WITHDRAWN})
"""Reasons for which an upstream was passed over before anything was sent to it."""


def check_expiry(
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
        return GRANT_EXPIRED
    if not lease.valid():
        return LEASE_EXPIRED
    return None


def check_upstream(
    grant: GrantReceived,
    upstreams: DepartingView | None,
    versions: VersionsView | None,
) -> str | None:
    """Return why an upstream gets nothing more though it was granted, None if it does.

    An owner that is cut off from control grants by the last list that it heard, as long
    as its lease lasts; requests then reach upstreams seconds after these were told that
    nothing more would come. This host may have heard a newer list.
    """
    if upstreams is None:
        return None
    if upstreams.is_departing(grant.upstream):
        return UPSTREAM_LEFT
    labels = upstreams.labels(grant.upstream)
    if versions is None or not labels or versions.may_run(grant.pool, labels):
        return None
    return VERSION_WITHDRAWN


def version_of(grant: GrantReceived, upstreams: DepartingView | None) -> str:
    """Return the version of an upstream's software, empty where it isn't known."""
    if upstreams is None:
        return ""
    return upstreams.labels(grant.upstream).get(LABEL_VERSION, "")
