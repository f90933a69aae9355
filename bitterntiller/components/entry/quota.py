"""This host's account of the quotas of workspaces.

Quotas hold over all hosts. One host keeps the levels; every entry host tells it a few
times a second what it has admitted and hears what is left. In between it admits as long
as anything of its own part is left: while the counting host is lost, all hosts together
admit what was left and no more. What is admitted beyond the quota is owed: the level
falls below 0 and nothing is admitted until it has filled again.
"""

import math
from collections import deque
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Quota, Workspace
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import Clock

LEAST_WAIT = 0.2
MOST_WAIT = 30.0
"""Seconds that a caller over its workspace's quota is told to wait."""

FIRST_SECONDS = 0.25
"""Seconds of a quota's rate that a host lets through before it has heard a level; that
takes one report, a tenth of a second."""

MOST_LEDGERS = 16
"""Counting hosts that are remembered with what they have been told."""

STALE_SECONDS = 0.5
"""Seconds without a new level after which the counting host counts as lost."""

DEMAND_SECONDS = 2.0
"""Seconds in which a refused request is forgotten to a third; callers come back once,
and few of them later than that."""


class Used(NamedTuple):
    """What was let through in the last seconds, as one ledger has not heard it yet."""

    workspace: str
    amount: int
    over: float


class Untold(NamedTuple):
    """What a ledger is to be told, and the last request that is in it."""

    used: list[Used]
    upto: int
    at: float


class _Admitted(NamedTuple):
    """One request that was let through; number counts all of them on this host."""

    number: int
    at: float
    amount: int


class _Level:
    """What is left of one workspace's quota: for this host, and over all hosts."""

    __slots__ = ("amount", "at", "total")

    def __init__(self, total: float, hosts: int, at: float) -> None:
        self.total = total
        self.amount = total / hosts if total > 0 else total
        self.at = at


class _Demand:
    """What was refused of late, forgotten by and by."""

    __slots__ = ("amount", "at")

    def __init__(self) -> None:
        self.amount = 0.0
        self.at = 0.0

    def add(self, amount: float, now: float) -> float:
        """Add an amount; return the sum, in which older ones count less."""
        self.amount *= math.exp((self.at - now) / DEMAND_SECONDS)
        self.amount += amount
        self.at = now
        return self.amount


class QuotaAccount:
    """A QuotaGate that reports what it has let through."""

    def __init__(self, clock: Clock, window: QuotaWindow) -> None:
        self._clock = clock
        self._window = window
        self._hosts = 1
        self._level_by_workspace: dict[str, _Level] = {}
        self._number = 0
        self._admitted_by_workspace: dict[str, deque[_Admitted]] = {}
        self._told_by_ledger: dict[str, Untold] = {}
        self._refused_by_workspace: dict[str, _Demand] = {}

    def take(self, workspace: Workspace, amount: int) -> float:
        """Take an amount from a quota; return 0, or the seconds until it is there.

        A request is let through while anything is left, also one that is larger than
        that: it would otherwise never be let through beside smaller ones.
        """
        quota = workspace.quota
        if quota is None:
            return 0.0
        name = workspace.name
        now = self._clock.now()
        level = self._filled(name, quota, now)
        if level.amount <= 0:
            return self._wait(name, quota, level, amount)
        level.amount -= amount
        self._number += 1
        admitted = self._admitted_by_workspace.setdefault(name, deque())
        admitted.append(_Admitted(self._number, now, amount))
        return 0.0

    def _wait(self, name: str, quota: Quota, level: _Level, amount: int) -> float:
        """Return when a refused request would be let through.

        All that was refused of late comes back as well. A workspace that asks for
        several times its quota would otherwise be told to come back at once, again and
        again, and be refused each time.
        """
        refused = self._refused_by_workspace.setdefault(name, _Demand())
        demand = refused.add(amount, self._clock.now())
        debt = max(0.0, -level.total) / self._hosts
        rate = quota.rate * self._window.factor / self._hosts
        wait = (debt + demand) / max(rate, 1e-9)
        return min(max(wait, LEAST_WAIT), MOST_WAIT)

    def untold(self, ledger: str) -> Untold:
        """Return what a ledger has not been told yet, of the last window.

        A workspace that has used nothing lately is told with 0, to hear its level. A
        ledger that is new to this host is told all of the window: hosts that come back
        from another ledger, or whose counting host is another, have used it all the
        same.
        """
        now = self._clock.now()
        oldest = now - self._window.seconds
        told = self._told_by_ledger.get(ledger, Untold([], 0, oldest))
        over = min(now - told.at, self._window.seconds)
        used = [
            Used(name, self._used_since(name, told.upto, oldest), over)
            for name in self._level_by_workspace
        ]
        return Untold(used, self._number, now)

    def note_told(self, ledger: str, told: Untold) -> None:
        """Note that a ledger has heard what it had not been told.

        An answer that is lost leaves it as it was: the use is told, and counted, once
        more, which refuses rather than exceeds the quota.
        """
        self._told_by_ledger[ledger] = told
        while len(self._told_by_ledger) > MOST_LEDGERS:
            self._told_by_ledger.pop(next(iter(self._told_by_ledger)))

    def _used_since(self, name: str, number: int, oldest: float) -> int:
        admitted = self._admitted_by_workspace.get(name)
        if admitted is None:
            return 0
        while admitted and admitted[0].at < oldest:
            admitted.popleft()
        return sum(item.amount for item in admitted if item.number > number)

    def take_levels(self, levels: list[Any], entry_hosts: int, told: Untold) -> None:
        """Take messages.QuotaLevel over all hosts, and how many hosts share them.

        told is what the report told that they answer.
        """
        self._hosts = max(1, entry_hosts)
        now = self._clock.now()
        oldest = now - self._window.seconds
        for item in levels:
            since = self._used_since(item.workspace, told.upto, oldest)
            level = _Level(item.amount - since, self._hosts, now)
            self._level_by_workspace[item.workspace] = level

    def _filled(self, name: str, quota: Quota, now: float) -> _Level:
        """Return a level, while the counting host is lost with what has come since.

        Use leaves the window in its own time, which only the counting host knows; each
        host then takes its part of the mean.
        """
        most = self._window.limit(quota.rate, quota.burst)
        level = self._level_by_workspace.get(name)
        if level is None:
            first = FIRST_SECONDS * quota.rate
            level = _Level(min(most, first), 1, now)
            self._level_by_workspace[name] = level
            return level
        if now - level.at > STALE_SECONDS:
            rate = quota.rate * self._window.factor / self._hosts
            level.amount = min(most, level.amount + rate * (now - level.at))
            level.at = now
        return level
