"""This host's account of the quotas of workspaces.

Quotas hold over all hosts. One host keeps the levels; every entry host tells it a few times
a second what it has admitted and hears what is left. In between it admits up to its own
part of the level. What is admitted beyond the quota in that time is owed: the level falls
below 0 and nothing is admitted until it has filled again.
"""

from typing import Any

from bitterntiller.components.config.models import Workspace
from bitterntiller.core.clock import Clock

LEAST_WAIT = 0.05
MOST_WAIT = 30.0
"""Seconds that a caller over its workspace's quota is told to wait."""


class _Level:
    """What is left of one workspace's quota for this host, as it was at a time."""

    __slots__ = ("amount", "at")

    def __init__(self, amount: float, at: float) -> None:
        self.amount = amount
        self.at = at


class QuotaAccount:
    """A QuotaGate that reports what it has let through."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._hosts = 1
        self._level_by_workspace: dict[str, _Level] = {}
        self._unreported_by_workspace: dict[str, int] = {}
        self._workspaces_by_name: dict[str, Workspace] = {}

    def take(self, workspace: Workspace, amount: int) -> float:
        """Take an amount from a quota; return 0, or the seconds until it is there.

        A request is let through while anything is left, also one that is larger than
        that: it would otherwise never be let through beside smaller ones.
        """
        quota = workspace.quota
        if quota is None:
            return 0.0
        now = self._clock.now()
        level = self._level(workspace, now)
        part = 1.0 / self._hosts
        most = quota.burst
        level.amount = min(most, level.amount + quota.rate * part * (now - level.at))
        level.at = now
        if level.amount <= 0:
            wait = (amount * part - level.amount) / max(quota.rate * part, 1e-9)
            return min(max(wait, LEAST_WAIT), MOST_WAIT)
        level.amount -= amount
        name = workspace.name
        unreported = self._unreported_by_workspace.get(name, 0)
        self._unreported_by_workspace[name] = unreported + amount
        return 0.0

    def take_unreported(self) -> dict[str, int]:
        """Return what was let through since the last report, by workspace.

        A workspace that has used nothing lately is told with 0, to hear its level.
        """
        used = dict.fromkeys(self._level_by_workspace, 0)
        used.update(self._unreported_by_workspace)
        self._unreported_by_workspace = {}
        return used

    def put_back(self, used: dict[str, int]) -> None:
        """Report again later what may not have been heard.

        Should it have been heard all the same it counts twice: less is let through for
        a while, which refuses rather than exceeds the quota.
        """
        for name, amount in used.items():
            if amount:
                unreported = self._unreported_by_workspace.get(name, 0)
                self._unreported_by_workspace[name] = unreported + amount

    def take_levels(self, levels: list[Any], entry_hosts: int) -> None:
        """Take messages.QuotaLevel over all hosts, and how many hosts share them."""
        self._hosts = max(1, entry_hosts)
        now = self._clock.now()
        for item in levels:
            unreported = self._unreported_by_workspace.get(item.workspace, 0)
            amount = item.amount - unreported
            self._level_by_workspace[item.workspace] = _Level(amount, now)

    def _level(self, workspace: Workspace, now: float) -> _Level:
        level = self._level_by_workspace.get(workspace.name)
        if level is None:
            burst = workspace.quota.burst if workspace.quota else 0.0
            level = _Level(burst / self._hosts, now)
            self._level_by_workspace[workspace.name] = level
        return level
