"""This host's account of the quotas of workspaces.

Quotas hold over all hosts. One host counts; every entry host tells it from time to time
what it has sent, and asks it to reserve what a request would use. While much is left of
a quota, a host is lent a part of it with each report, from which it lets requests
through without asking.

A request is held against the quota while it waits and counts as used from its sending:
a queue that empties at once would otherwise send in one window what was admitted in
several. Each sending counts, also one that repeats another.
"""

import random
from collections import deque
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Quota, Workspace
from bitterntiller.components.settings.models import REPEAT_PART, QuotaWindow
from bitterntiller.core.acknowledged import AcknowledgedPositions
from bitterntiller.core.clock import Clock

REPORT_SLICES = 16
"""Parts of a window in which a ledger that is new to this host hears what was used in
it; it counts each part as used at its end."""

SETTLED_RESEND_SECONDS = 60.0
"""How long a settled reservation is told again; a counting host forgets older ones."""

RESERVATION_NUMBER_BITS = 62
"""Reservations are numbered from a random number on, so that a host that was started
anew never settles or uses one of before."""


class QuotaHold(NamedTuple):
    """What is held of a quota for one request.

    number is that of the reservation at the ledger, 0 for a hold from what was lent.
    """

    workspace: str
    amount: int
    ledger: str
    number: int


class UnreportedUsage(NamedTuple):
    """What was sent about age seconds ago, as one ledger has not heard it yet."""

    workspace: str
    amount: int
    age: float


class UnacknowledgedUse(NamedTuple):
    """What a ledger is to be told, and the number of the last change that is in it.

    held_by_workspace has what requests that wait now hold, but for what is reserved at
    that ledger; settled has its reservations that have ended.
    """

    used: list[UnreportedUsage]
    held_by_workspace: dict[str, int]
    upto: int
    settled: list[int]


class QuotaLevel(NamedTuple):
    """What was left over all hosts when it was heard, and what of that is lent here."""

    left: float
    paced: float
    lent: float
    at: float


class _SentUsage(NamedTuple):
    """One sending; change numbers it among all changes on this host."""

    change: int
    at: float
    amount: int


class _SettledReservation(NamedTuple):
    """The end of a reservation; change numbers it among all changes on this host."""

    change: int
    at: float
    ledger: str
    number: int


class QuotaAccount:
    """What this host has used and holds of the quotas of workspaces."""

    def __init__(self, clock: Clock, window: QuotaWindow) -> None:
        self._clock = clock
        self._window = window
        self._level_by_workspace: dict[str, QuotaLevel] = {}
        self._change = 0
        self._number = random.getrandbits(RESERVATION_NUMBER_BITS)
        self._sent_by_workspace: dict[str, deque[_SentUsage]] = {}
        self._settled: deque[_SettledReservation] = deque()
        self._holds: set[QuotaHold] = set()
        self._asked_at_by_workspace: dict[str, float] = {}
        self._acknowledged = AcknowledgedPositions()

    def number(self) -> int:
        """Return a number for a new reservation."""
        self._number += 1
        return self._number

    def hold_lent(self, workspace: Workspace, amount: int) -> QuotaHold | None:
        """Hold an amount of what was lent to this host, None where it doesn't fit."""
        self._asked_at_by_workspace[workspace.name] = self._clock.now()
        level = self._level_by_workspace.get(workspace.name)
        if level is None or amount > level.lent:
            return None
        left = level._replace(lent=level.lent - amount)
        self._level_by_workspace[workspace.name] = left
        # Each hold has a number of its own, as those of reservations do.
        hold = QuotaHold(workspace.name, amount, "", self.number())
        self._holds.add(hold)
        return hold

    def hold_reserved(
        self, workspace: Workspace, amount: int, ledger: str, number: int
    ) -> QuotaHold:
        """Hold what a ledger has reserved under a number of this host."""
        hold = QuotaHold(workspace.name, amount, ledger, number)
        self._holds.add(hold)
        return hold

    def abandon_reservation(self, ledger: str, number: int) -> None:
        """Settle a reservation that may have been made: its answer didn't come."""
        self._settle(ledger, number)

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Tell whether the last level leaves room for one more run of a request."""
        quota = workspace.quota
        level = self._level_by_workspace.get(workspace.name)
        if quota is None or level is None:
            return True
        return level.left - amount >= -REPEAT_PART * self._window_limit(quota)

    def level(self, workspace: str) -> QuotaLevel | None:
        """Return what was last heard of a workspace's quota."""
        return self._level_by_workspace.get(workspace)

    def _window_limit(self, quota: Quota) -> float:
        """Return all that a quota allows in one window."""
        return self._window.limit(quota.rate, quota.burst)

    def release(self, hold: QuotaHold) -> None:
        """Give back what was held for a request that ends without a sending."""
        self._holds.discard(hold)
        if hold.ledger:
            self._settle(hold.ledger, hold.number)

    def spend(self, workspace: Workspace, amount: int, hold: QuotaHold | None) -> None:
        """Count a sending, for which its amount or nothing was held."""
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
        """Return what a ledger has not been told yet, of the last window.

        Each known workspace is told with what is held, also if that is 0, to hear its
        level. A ledger that is new to this host is told all of the window, with its
        times: hosts that come back from another ledger, or whose counting host is
        another, have used it all the same, and it leaves the window when it does here.

        What was lent is given back by this: until the answer comes every request is
        asked for. A lost answer would otherwise leave the ledger with another belief of
        what this host may use.
        """
        upto = self._acknowledged.upto(ledger)
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
        """Return the workspaces asked for in the last window; forget the others."""
        oldest = self._clock.now() - self._window.seconds
        asked = self._asked_at_by_workspace
        for name in [name for name, at in asked.items() if at < oldest]:
            del asked[name]
            self._level_by_workspace.pop(name, None)
        return {*asked, *self._sent_by_workspace}

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

    def note_acknowledged(self, ledger: str, told: UnacknowledgedUse) -> None:
        """Note that a ledger has heard what it had not been told.

        An answer that is lost leaves it as it was: the use is told, and counted, once
        more, which refuses rather than exceeds the quota.
        """
        self._acknowledged.note(ledger, told.upto)

    def update_level(self, workspace: str, left: float, paced: float) -> None:
        """Note what a ledger's answer tells of a quota."""
        known = self._level_by_workspace.get(workspace)
        lent = 0.0 if known is None else known.lent
        now = self._clock.now()
        self._level_by_workspace[workspace] = QuotaLevel(left, paced, lent, now)

    def update_levels(self, levels: list[Any]) -> None:
        """Take the messages.QuotaLevel that answer a report."""
        now = self._clock.now()
        for item in levels:
            paced = item.amount if item.paced is None else item.paced
            level = QuotaLevel(item.amount, paced, item.lent or 0, now)
            self._level_by_workspace[item.workspace] = level

    def _expire(self, name: str) -> None:
        sent = self._sent_by_workspace[name]
        oldest = self._clock.now() - self._window.seconds
        while sent and sent[0].at < oldest:
            sent.popleft()
        if not sent:
            del self._sent_by_workspace[name]
