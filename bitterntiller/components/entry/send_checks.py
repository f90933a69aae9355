"""Checks immediately before a request is sent."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import DepartingView
from bitterntiller.components.entry.models import GrantReceived
from bitterntiller.components.entry.notices import UpstreamNotices
from bitterntiller.components.rollouts.const import LABEL_VERSION
from bitterntiller.core.interfaces import Lease, VersionsView
from bitterntiller.core.outcomes import Reason

GRANT_EXPIRED = "expired"
LEASE_EXPIRED = "lease"
REFUSED_CONNECTION = "refused-connection"
UPSTREAM_SILENT = "upstream-silent"
SAME_UPSTREAM = "same-upstream"
UPSTREAM_LEFT = "upstream-left"
UPSTREAM_PAUSED = "upstream-paused"
VERSION_WITHDRAWN = "version-withdrawn"
OTHER_VERSION = "other-version"
NOT_CONFIRMED = "the upstream did not confirm that it is the start that was granted"
NOTHING_SENT = frozenset(
    {
        REFUSED_CONNECTION,
        SAME_UPSTREAM,
        UPSTREAM_LEFT,
        UPSTREAM_PAUSED,
        VERSION_WITHDRAWN,
        OTHER_VERSION,
    }
)
"""Reasons for which an attempt ended before anything was sent to the upstream."""


def check_expiry(
    grant: GrantReceived, deadline: float, lease: Lease, now: float
) -> str | None:
    """Return what has expired, None if the request may be sent.

    The timers of a process that resumes after having been suspended fire too late: it
    would send under an expired grant, lease or deadline. So each attempt checks the
    clock itself, after its last wait.
    """
    if now >= deadline:
        return Reason.TOO_LATE
    if now >= grant.valid_until - const.GRANT_MARGIN:
        return GRANT_EXPIRED
    if not lease.valid():
        return LEASE_EXPIRED
    return None


def check_notices(
    grant: GrantReceived, notices: UpstreamNotices, now: float
) -> str | None:
    """Return why a granted upstream has said not to send to it, None if it has not.

    The owner grants by what it knew when it decided, and a new owner may know nothing.
    """
    if notices.is_leaving(grant.upstream, grant.incarnation):
        return UPSTREAM_LEFT
    if notices.is_paused(grant.upstream, grant.incarnation, now):
        return UPSTREAM_PAUSED
    return None


def check_upstream(
    grant: GrantReceived,
    upstreams: DepartingView | None,
    versions: VersionsView | None,
) -> str | None:
    """Return why a granted upstream must not get the request, None if it may.

    An owner that is partitioned from control grants by its last list of upstreams until
    its lease expires. Requests would reach upstreams seconds after control has
    confirmed to these that they get no more. This host may have a newer list.
    """
    if upstreams is None:
        return None
    if upstreams.is_departing(grant.upstream):
        return UPSTREAM_LEFT
    labels = upstreams.labels(grant.upstream)
    if versions is None or not labels or versions.may_run(grant.pool, labels):
        return None
    return VERSION_WITHDRAWN


def check_version(
    grant: GrantReceived, required: str | None, upstreams: DepartingView | None
) -> str | None:
    """Return why a granted upstream may not go on with a stream, None if it may.

    The owner may not have been told of the version, or not know that the upstream was
    started again under another one.
    """
    if required is None:
        return None
    labels = upstreams.labels(grant.upstream) if upstreams is not None else {}
    listed = labels.get(LABEL_VERSION, grant.version)
    return None if grant.version == listed == required else OTHER_VERSION
