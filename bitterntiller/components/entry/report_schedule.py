"""When an owner is to be reported to next."""

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
    """Return the time at which an owner is due for a report.

    reported_at is the time of the last one; live has all requests that are live here.
    pending tells that there is something to tell this owner, and asking that a request
    waits for its count of quotas.
    """
    if quota_pending:
        return reported_at + const.REPORT_PERIOD
    own = [item for item in live if item.owner is not None and item.owner.host == host]
    waiting = [item.registered_at for item in own if item.phase is Phase.WAITING]
    busy = own or unacknowledged
    period = const.BUSY_REPORT_PERIOD if busy else const.IDLE_REPORT_PERIOD
    due = reported_at + period
    if not waiting:
        return due
    return min(due, max(reported_at, min(waiting)) + const.REPORT_PERIOD)
