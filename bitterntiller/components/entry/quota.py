"""The local account of workspace quotas on an entry host.

A quota applies to all hosts together. One host, the counting host, keeps the ledger.
Each entry host reports its usage periodically and reserves the amount of each request
in advance. While much of a quota is left, the reply to a report lends the entry host a
part of it, from which the host admits requests without a call.

A request holds its amount while it waits, and uses it when it is sent. If usage were
counted at admission, a queue that drains at once could send in one window what was
admitted in several. Every run counts, including repeats.
"""

import random
from collections import deque
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Quota, Workspace
from bitterntiller.components.settings.models import (
    RETRY_OVERDRAFT_FRACTION,
    QuotaWindow,
)
from bitterntiller.core.acknowledged import AcknowledgedPositions
from bitterntiller.core.clock import Clock

REPORT_SLICES = 16
"""Slices of a window in which usage is reported to a ledger that is new to this host.
The ledger counts a slice as used at the slice's end."""

SETTLED_RESEND_SECONDS = 60.0
"""How long settled reservations are resent; a counting host drops older ones."""

RESERVATION_NUMBER_BITS = 62
"""Bits of the random first reservation number. Random, so that a restarted host never
settles or uses a reservation from before the restart."""


class QuotaHold(NamedTuple):
    """The amount of a quota that is held for one request.

    number identifies the reservation at the ledger. For a hold on lent quota, ledger is
    empty and number only makes the hold unique on this host.
    """

    workspace: str
    amount: int
    ledger: str
    number: int


class UnreportedUsage(NamedTuple):
    """Usage from about age seconds ago that a ledger has not acknowledged."""

    workspace: str
    amount: int
    age: float


class UnacknowledgedUse(NamedTuple):
    """The content of a report to a ledger; upto is the number of its last change.

    held_by_workspace has the amounts that waiting requests hold, except those reserved
    at this ledger. settled has the ended reservations of this ledger.
    """

    used: list[UnreportedUsage]
    held_by_workspace: dict[str, int]
    upto: int
    settled: list[int]


class KnownQuotaLevel(NamedTuple):
    """The quota left to all hosts at the time at, and the part lent to this host.

    left is the unused amount of the window, and paced the content of the quota's token
    bucket, each minus what is set aside.
    """

    left: float
    paced: float
    lent: float
    at: float


class _SentUsage(NamedTuple):
    """The usage of one run; change is its sequence number among all changes here."""

    change: int
    at: float
    amount: int


class _SettledReservation(NamedTuple):
    """An ended reservation; change is its sequence number among all changes here."""

    change: int
    at: float
    ledger: str
    number: int


class QuotaAccount:
    """Tracks what this host uses and holds of the quotas of workspaces."""

    def __init__(self, clock: Clock, window: QuotaWindow) -> None:
        self._clock = clock
        self._window = window
        self._level_by_workspace: dict[str, KnownQuotaLevel] = {}
        self._change = 0
        self._number = random.getrandbits(RESERVATION_NUMBER_BITS)
        self._sent_by_workspace: dict[str, deque[_SentUsage]] = {}
        self._settled: deque[_SettledReservation] = deque()
        self._holds: set[QuotaHold] = set()
        self._requested_at_by_workspace: dict[str, float] = {}
        self._acknowledged = AcknowledgedPositions()

    def number(self) -> int:
        """Return the number of a new reservation."""
        self._number += 1
        return self._number

    def hold_lent(self, workspace: Workspace, amount: int) -> QuotaHold | None:
        """Hold an amount of the lent quota; return None if less is left of it."""
        self._requested_at_by_workspace[workspace.name] = self._clock.now()
        level = self._level_by_workspace.get(workspace.name)
        if level is None or amount > level.lent:
            return None
        reduced = level._replace(lent=level.lent - amount)
        self._level_by_workspace[workspace.name] = reduced
        # Holds are kept in a set, so each one needs a unique number.
        hold = QuotaHold(workspace.name, amount, "", self.number())
        self._holds.add(hold)
        return hold

    def hold_reserved(
        self, workspace: Workspace, amount: int, ledger: str, number: int
    ) -> QuotaHold:
        """Hold an amount that a ledger has reserved for this host."""
        hold = QuotaHold(workspace.name, amount, ledger, number)
        self._holds.add(hold)
        return hold

    def abandon_reservation(self, ledger: str, number: int) -> None:
        """Settle a reservation that may exist at the ledger: its reply was lost."""
        self._settle(ledger, number)

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Return whether the last known level allows one more run of a request.

        A repeat may exceed the quota by RETRY_OVERDRAFT_FRACTION of its limit.
        """
        quota = workspace.quota
        level = self._level_by_workspace.get(workspace.name)
        if quota is None or level is None:
            return True
        return level.left - amount >= -RETRY_OVERDRAFT_FRACTION * self._window_limit(
            quota
        )

    def level(self, workspace: str) -> KnownQuotaLevel | None:
        """Return the last known level of a workspace's quota."""
        return self._level_by_workspace.get(workspace)

    def _window_limit(self, quota: Quota) -> float:
        """Return the amount that a quota allows in one window."""
        return self._window.limit(quota.rate, quota.burst)

    def release(self, hold: QuotaHold) -> None:
        """Release the hold of a request that ends without having been sent."""
        self._holds.discard(hold)
        if hold.ledger:
            self._settle(hold.ledger, hold.number)

    def spend(self, workspace: Workspace, amount: int, hold: QuotaHold | None) -> None:
        """Record the usage of a run and release its hold, if it has one."""
        if workspace.quota is None:
            return
        if hold is not None:
            self.release(hold)
        self._change += 1
        sent = self._sent_by_workspace.setdefault(workspace.name, deque())
        sent.append(_SentUsage(self._change, self._clock.now(), amount))

    def _settle(self, ledger: str, number: int) -> None:
        self._change += 1
        now = self._clock.now()
        self._settled.append(_SettledReservation(self._change, now, ledger, number))
        while self._settled[0].at < now - SETTLED_RESEND_SECONDS:
            self._settled.popleft()

    def unacknowledged(self, ledger: str) -> UnacknowledgedUse:
        """Return the changes of the last window that a ledger has not acknowledged.

        The holds list every active workspace, also those with 0, since the reply has
        the levels of the listed ones. A ledger that is new to this host is sent the
        usage of the whole window with its times: the usage counts although it was
        reported to another ledger, and leaves the window at the same time here and
        there.

        This also returns the lent quota: until the reply arrives, every request needs
        a reservation. Otherwise, after a lost reply, this host and the ledger would
        disagree on how much was lent.
        """
        upto = self._acknowledged.position(ledger)
        now = self._clock.now()
        used = []
        for name in list(self._sent_by_workspace):
            self._expire(name)
            used += self._unreported_usage(name, upto, now)
        for name, level in list(self._level_by_workspace.items()):
            self._level_by_workspace[name] = level._replace(lent=0.0)
        settled = [
            item.number
            for item in self._settled
            if item.change > upto and item.ledger == ledger
        ]
        return UnacknowledgedUse(used, self._held(ledger), self._change, settled)

    def _held(self, ledger: str) -> dict[str, int]:
        held = dict.fromkeys(self._active_workspaces(), 0)
        for hold in self._holds:
            if hold.ledger != ledger:
                held[hold.workspace] = held.get(hold.workspace, 0) + hold.amount
        return held

    def _active_workspaces(self) -> set[str]:
        """Return the workspaces in use in the last window; drop the others' levels."""
        oldest = self._clock.now() - self._window.seconds
        requested_at = self._requested_at_by_workspace
        for name in [name for name, at in requested_at.items() if at < oldest]:
            del requested_at[name]
            self._level_by_workspace.pop(name, None)
        return {*requested_at, *self._sent_by_workspace}

    def _unreported_usage(
        self, name: str, upto: int, now: float
    ) -> list[UnreportedUsage]:
        seconds = self._window.seconds / REPORT_SLICES
        amount_by_slice: dict[int, int] = {}
        for item in reversed(self._sent_by_workspace.get(name, ())):
            if item.change <= upto:
                break
            slice_ = int((now - item.at) / seconds)
            amount_by_slice[slice_] = amount_by_slice.get(slice_, 0) + item.amount
        return [
            UnreportedUsage(name, amount, slice_ * seconds)
            for slice_, amount in amount_by_slice.items()
        ]

    def record_acknowledged(self, ledger: str, report: UnacknowledgedUse) -> None:
        """Record that a ledger has acknowledged a report.

        After a lost reply the usage is reported and counted again. This may refuse
        requests, but never exceeds the quota.
        """
        self._acknowledged.record(ledger, report.upto)

    def update_level(self, workspace: str, left: float, paced: float) -> None:
        """Update the level of a quota from the reply to a reservation."""
        known = self._level_by_workspace.get(workspace)
        lent = 0.0 if known is None else known.lent
        now = self._clock.now()
        self._level_by_workspace[workspace] = KnownQuotaLevel(left, paced, lent, now)

    def update_levels(self, levels: list[Any]) -> None:
        """Update the levels and the lent quota from the reply to a report."""
        now = self._clock.now()
        for item in levels:
            paced = item.amount if item.paced is None else item.paced
            level = KnownQuotaLevel(item.amount, paced, item.lent or 0, now)
            self._level_by_workspace[item.workspace] = level

    def _expire(self, name: str) -> None:
        sent = self._sent_by_workspace[name]
        oldest = self._clock.now() - self._window.seconds
        while sent and sent[0].at < oldest:
            sent.popleft()
        if not sent:
            del self._sent_by_workspace[name]
