"""This host's account of the quotas of workspaces.

Quotas hold over all hosts. One host keeps the levels; every entry host tells it a few
times a second what it has admitted and hears what is left. In between it admits as long
as anything of its own part is left: while the counting host is lost, all hosts together
admit what was left and no more. What is admitted beyond the quota is owed: the level
falls below 0 and nothing is admitted until it has filled again.
"""

import math
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Quota, Workspace
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import Clock

LEAST_WAIT = 0.2
MOST_WAIT = 30.0
"""Seconds that a caller over its workspace's quota is told to wait."""

STALE_SECONDS = 0.5
"""Seconds without a new level after which the counting host counts as lost."""

DEMAND_SECONDS = 2.0
"""Seconds in which a refused request is forgotten to a third; callers come back once,
and few of them later than that."""


class Used(NamedTuple):
    """What was let through since the last report, and the level as it is known."""

    workspace: str
    amount: int
    level: int


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
        self._unreported_by_workspace: dict[str, int] = {}
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
        unreported = self._unreported_by_workspace.get(name, 0)
        self._unreported_by_workspace[name] = unreported + amount
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

    def take_unreported(self) -> list[Used]:
        """Return what was let through since the last report.

        A workspace that has used nothing lately is told with 0, to hear its level.
        """
        used = [
            Used(name, self._unreported_by_workspace.get(name, 0), int(level.total))
            for name, level in self._level_by_workspace.items()
        ]
        self._unreported_by_workspace = {}
        return used

    def put_back(self, used: list[Used]) -> None:
        """Report again later what may not have been heard.

        Should it have been heard all the same it counts twice: less is let through for
        a while, which refuses rather than exceeds the quota.
        """
        for item in used:
            unreported = self._unreported_by_workspace.get(item.workspace, 0)
            self._unreported_by_workspace[item.workspace] = unreported + item.amount

    def take_levels(self, levels: list[Any], entry_hosts: int) -> None:
        """Take messages.QuotaLevel over all hosts, and how many hosts share them."""
        self._hosts = max(1, entry_hosts)
        now = self._clock.now()
        for item in levels:
            unreported = self._unreported_by_workspace.get(item.workspace, 0)
            level = _Level(item.amount - unreported, self._hosts, now)
            self._level_by_workspace[item.workspace] = level

    def _filled(self, name: str, quota: Quota, now: float) -> _Level:
        """Return a level, while the counting host is lost with what has come since.

        Use leaves the window in its own time, which only the counting host knows; each
        host then takes its part of the mean.
        """
        most = self._window.limit(quota.rate, quota.burst)
        level = self._level_by_workspace.get(name)
        if level is None:
            level = self._level_by_workspace[name] = _Level(most, self._hosts, now)
            return level
        if now - level.at > STALE_SECONDS:
            rate = quota.rate * self._window.factor / self._hosts
            level.amount = min(most, level.amount + rate * (now - level.at))
            level.at = now
        return level
