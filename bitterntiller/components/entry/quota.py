"""This host's account of the quotas of workspaces.

Quotas hold over all hosts. One host keeps the levels; every entry host tells it a few
times a second what it has sent and what it holds for requests that wait, and hears what
is left. In between it admits what fits into its own part: while the counting host is
lost, all hosts together admit what was left and no more. What is used beyond the quota
is owed: the level falls below 0 and nothing is admitted until it has filled again.

A request is held against the quota while it waits and counts as used from its sending:
a queue that empties at once would otherwise send in one window what was admitted in
several. Each sending counts, also one that repeats another.
"""

from collections import deque
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Quota, Workspace
from bitterntiller.components.entry.quota_level import Level
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import Clock
from bitterntiller.core.fading import COMEBACK_SECONDS, Fading, RecentMost
from bitterntiller.core.told import ToldMarks

LEAST_WAIT = 0.2
MOST_WAIT = 30.0
"""Seconds that a caller over its workspace's quota is told to wait."""

FIRST_SECONDS = 0.25
"""Seconds of a quota's rate that a host lets through before it has heard a level; that
takes one report, a tenth of a second."""

TOLD_SLICES = 16
"""Parts of a window in which a ledger that is new to this host hears what was used in
it; it counts each part as used at its end."""

LARGEST_SECONDS = 30.0
"""How long a request counts as the largest of its kind: one host sees few of them."""

MOST_KINDS = 1024
"""Kinds above which those without a request of late are dropped; the others are bounded
by the routes and workspaces of the configuration."""


class Used(NamedTuple):
    """What was sent about age seconds ago, as one ledger has not heard it yet."""

    workspace: str
    amount: int
    age: float


class Untold(NamedTuple):
    """What a ledger is to be told, and the number of the last sending that is in it.

    held_by_workspace has all that requests which wait now would use.
    """

    used: list[Used]
    held_by_workspace: dict[str, int]
    upto: int


class QuotaVerdict(NamedTuple):
    """Whether a request is let through: after how many seconds, 0 for now.

    level is what was left over all hosts, age how many seconds ago that was heard.
    """

    wait: float
    level: float = 0.0
    age: float = 0.0


class _Sent(NamedTuple):
    """One sending; number counts all of them on this host."""

    number: int
    at: float
    amount: int


class QuotaAccount:
    """A QuotaGate that reports what it has let through."""

    def __init__(self, clock: Clock, window: QuotaWindow) -> None:
        self._clock = clock
        self._window = window
        self._hosts = 1
        self._level_by_workspace: dict[str, Level] = {}
        self._number = 0
        self._sent_by_workspace: dict[str, deque[_Sent]] = {}
        self._held_by_workspace: dict[str, int] = {}
        self._told = ToldMarks()
        self._refused_by_workspace: dict[str, Fading] = {}
        self._largest_by_kind: dict[tuple[str, str], RecentMost] = {}

    def hold(self, workspace: Workspace, amount: int, kind: str = "") -> QuotaVerdict:
        """Hold an amount of a quota for a request that is to wait, or refuse it.

        kind names the requests among which size must make no difference.
        """
        quota = workspace.quota
        if quota is None:
            return QuotaVerdict(0.0)
        level = self._level(workspace.name, quota)
        verdict = QuotaVerdict(0.0, level.paced, self._clock.now() - level.at)
        most = self._most(quota)
        largest = self._largest(workspace.name, kind, amount)
        if not level.has_room(amount, largest, most):
            lacking = level.needed(amount, largest, most) - level.paced
            wait = self._wait(workspace.name, quota, lacking, amount)
            return verdict._replace(wait=wait)
        self._hold(workspace.name, level, amount)
        return verdict

    def hold_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Hold an amount for a request that has run already, if there is room.

        Repeats may exceed what first sendings are let through by, up to a bound: those
        were within the quota when they were let through.
        """
        quota = workspace.quota
        if quota is None:
            return True
        level = self._level(workspace.name, quota)
        if not level.has_room_for_repeat(amount, self._most(quota)):
            return False
        self._hold(workspace.name, level, amount)
        return True

    def has_room_for_repeat(self, workspace: Workspace, amount: int) -> bool:
        """Tell whether hold_repeat would hold an amount now."""
        quota = workspace.quota
        if quota is None:
            return True
        level = self._level(workspace.name, quota)
        return level.has_room_for_repeat(amount, self._most(quota))

    def _most(self, quota: Quota) -> float:
        """Return all that a quota allows in one window."""
        return self._window.limit(quota.rate, quota.burst)

    def _largest(self, name: str, kind: str, amount: int) -> float:
        """Note a request, and return the largest of its workspace and kind of late."""
        now = self._clock.now()
        seen = self._largest_by_kind.get((name, kind))
        if seen is None:
            self._forget_kinds(now)
            seen = self._largest_by_kind[name, kind] = RecentMost(LARGEST_SECONDS)
        return seen.add(amount, now)

    def _forget_kinds(self, now: float) -> None:
        if len(self._largest_by_kind) < MOST_KINDS:
            return
        self._largest_by_kind = {
            kind: seen for kind, seen in self._largest_by_kind.items() if seen.most(now)
        }

    def _hold(self, name: str, level: Level, amount: int) -> None:
        level.take(amount)
        held = self._held_by_workspace.get(name, 0)
        self._held_by_workspace[name] = held + amount

    def release(self, workspace: Workspace, amount: int) -> None:
        """Give back what was held for a request that ends without a sending."""
        if workspace.quota is None or not amount:
            return
        self._held_by_workspace[workspace.name] -= amount
        self._level(workspace.name, workspace.quota).take(-amount)

    def spend(self, workspace: Workspace, amount: int, held: int) -> None:
        """Count a sending, for which some of the amount or nothing was held."""
        if workspace.quota is None:
            return
        name = workspace.name
        level = self._level(name, workspace.quota)
        level.take(amount - held)
        self._held_by_workspace[name] = self._held_by_workspace.get(name, 0) - held
        self._number += 1
        sent = self._sent_by_workspace.setdefault(name, deque())
        sent.append(_Sent(self._number, self._clock.now(), amount))

    def _wait(self, name: str, quota: Quota, lacking: float, amount: int) -> float:
        """Return when a refused request would be let through.

        lacking is what must still come back over all hosts, the request's own amount
        included. All that was refused of late comes back as well. A workspace that asks
        for several times its quota would otherwise be told to come back at once, again
        and again, and be refused each time.
        """
        refused = self._refused_by_workspace.setdefault(name, Fading(COMEBACK_SECONDS))
        demand = refused.add(amount, self._clock.now())
        others = max(0.0, lacking - amount) / self._hosts
        rate = quota.rate * self._window.factor / self._hosts
        wait = (others + demand) / max(rate, 1e-9)
        return min(max(wait, LEAST_WAIT), MOST_WAIT)

    def untold(self, ledger: str) -> Untold:
        """Return what a ledger has not been told yet, of the last window.

        Each known workspace is told with what is held, also if that is 0, to hear its
        level. A ledger that is new to this host is told all of the window, with its
        times: hosts that come back from another ledger, or whose counting host is
        another, have used it all the same, and it leaves the window when it does here.
        """
        upto = self._told.upto(ledger)
        now = self._clock.now()
        used = []
        for name in self._level_by_workspace:
            self._expire(name)
            used += self._slices(name, upto, now)
        held = {
            name: self._held_by_workspace.get(name, 0)
            for name in self._level_by_workspace
        }
        return Untold(used, held, self._number)

    def _slices(self, name: str, upto: int, now: float) -> list[Used]:
        seconds = self._window.seconds / TOLD_SLICES
        amount_by_slice: dict[int, int] = {}
        for item in reversed(self._sent_by_workspace.get(name, ())):
            if item.number <= upto:
                break
            slice_ = int((now - item.at) / seconds)
            amount_by_slice[slice_] = amount_by_slice.get(slice_, 0) + item.amount
        return [
            Used(name, amount, slice_ * seconds)
            for slice_, amount in amount_by_slice.items()
        ]

    def note_told(self, ledger: str, told: Untold) -> None:
        """Note that a ledger has heard what it had not been told.

        An answer that is lost leaves it as it was: the use is told, and counted, once
        more, which refuses rather than exceeds the quota.
        """
        self._told.note(ledger, told.upto)

    def take_levels(self, levels: list[Any], entry_hosts: int, told: Untold) -> None:
        """Take messages.QuotaLevel over all hosts, and how many hosts share them.

        told is what the report told that they answer.
        """
        self._hosts = max(1, entry_hosts)
        now = self._clock.now()
        for item in levels:
            since = self._taken_since(item.workspace, told)
            paced = item.amount if item.paced is None else item.paced
            left = item.amount - since
            paced = min(left, paced - since)
            level = Level(left, self._hosts, now, paced)
            self._level_by_workspace[item.workspace] = level

    def _taken_since(self, name: str, told: Untold) -> int:
        """Return what was sent and held, beyond what a report told."""
        self._expire(name)
        sent = sum(
            item.amount
            for item in self._sent_by_workspace.get(name, ())
            if item.number > told.upto
        )
        held = self._held_by_workspace.get(name, 0)
        return sent + held - told.held_by_workspace.get(name, 0)

    def _level(self, name: str, quota: Quota) -> Level:
        """Return a level, with what this host's own use gave back since it was heard.

        Use leaves the window in its own time. What other hosts have used comes back
        to them, or by the next report.
        """
        level = self._level_by_workspace.get(name)
        if level is None:
            first = min(self._most(quota), FIRST_SECONDS * quota.rate)
            level = Level(first, 1, self._clock.now())
            self._level_by_workspace[name] = level
        self._expire(name)
        return level

    def _expire(self, name: str) -> None:
        sent = self._sent_by_workspace.get(name)
        oldest = self._clock.now() - self._window.seconds
        while sent and sent[0].at < oldest:
            self._level_by_workspace[name].take(-sent.popleft().amount)
