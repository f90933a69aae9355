"""Schedule the reports to an owner."""

from collections.abc import Iterable

from bitterntiller.components.entry import const
from bitterntiller.components.entry.models import ActiveRequest, Phase


def next_report_at(
    host: str,
    reported_at: float,
    live: Iterable[ActiveRequest],
    unacknowledged: bool,
    quota_pending: bool,
) -> float:
    """Return the time at which the next report to an owner is due.

    reported_at is the time of the last one; live has all live requests of this host.
    unacknowledged states that there are changes to report to this owner, and
    quota_pending that a request waits for this owner's decision on its quota.
    """
    if quota_pending:
        return reported_at + const.REPORT_PERIOD
    own_requests = [
        item for item in live if item.owner is not None and item.owner.host == host
    ]
    waiting = [
        item.registered_at for item in own_requests if item.phase is Phase.WAITING
    ]
    busy = own_requests or unacknowledged
    period = const.BUSY_REPORT_PERIOD if busy else const.IDLE_REPORT_PERIOD
    due = reported_at + period
    if not waiting:
        return due
    return min(due, max(reported_at, min(waiting)) + const.REPORT_PERIOD)
