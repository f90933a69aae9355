"""A model of a pool's owner: its scheduler, message delays and failover."""

from collections.abc import Callable
from typing import Any

from bench.events import EventLoop
from bitterntiller.components.dispatch.models import (
    Decision,
    Scheduler,
    WorkspaceLimits,
)

SETTLE_SECONDS = 1.0
NEVER = float("inf")


class Owner:
    """Delivers messages to a scheduler, and its decisions to the entry hosts.

    Messages are lost while the pool has no owner. A new owner first adopts the running
    requests, and holds back the registration of waiting ones until its settling time is
    over.
    """

    def __init__(
        self,
        loop: EventLoop,
        make_scheduler: Callable[[], Scheduler],
        workspaces: list[str],
        delay: float,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self._loop = loop
        self._make_scheduler = make_scheduler
        self._limits = {name: WorkspaceLimits() for name in workspaces}
        self._delay = delay
        self._on_decision = on_decision
        self._scheduler: Scheduler | None = None
        self._settled_at = 0.0
        self._epoch = 0
        self._wake_at = NEVER
        self.calls = 0

    @property
    def present(self) -> bool:
        """Return whether the pool has an owner."""
        return self._scheduler is not None

    def start(self, settle: float = 0.0) -> None:
        """Start a new owner whose scheduler has no state."""
        self._epoch += 1
        self._wake_at = NEVER
        self._scheduler = self._make_scheduler()
        now = self._loop.now()
        self._settled_at = now + settle
        self._deliver(self._scheduler.set_limits(self._limits, now))
        self._schedule_tick()

    def kill(self) -> None:
        """Stop the owner; its scheduler and all state are lost."""
        self._epoch += 1
        self._scheduler = None

    def send(self, method: str, *arguments: Any, **named: Any) -> None:
        """Call a method of the scheduler after the message delay."""
        epoch = self._epoch
        self._loop.after(self._delay, self._receive, epoch, method, arguments, named)

    def _receive(self, epoch: int, method: str, arguments: tuple, named: dict) -> None:
        if epoch != self._epoch or self._scheduler is None:
            return
        now = self._loop.now()
        if method == "register" and now < self._settled_at:
            at = self._settled_at
            self._loop.at(at, self._receive, epoch, method, arguments, named)
            return
        self.calls += 1
        decisions = getattr(self._scheduler, method)(*arguments, now, **named)
        if method == "announce":
            decisions = decisions[1]
        self._deliver(decisions)
        self._schedule_tick()

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._loop.after(self._delay, self._on_decision, decision)

    def _schedule_tick(self) -> None:
        """Schedule the next tick unless an earlier one is scheduled already."""
        now = self._loop.now()
        wake = max(now + 0.001, self._scheduler.next_wake(now))
        if wake >= self._wake_at or wake == NEVER:
            return
        self._wake_at = wake
        self._loop.at(wake, self._tick, self._epoch, wake)

    def _tick(self, epoch: int, wake: float) -> None:
        if epoch != self._epoch or wake != self._wake_at:
            return
        self._wake_at = NEVER
        self.calls += 1
        self._deliver(self._scheduler.tick(self._loop.now()))
        self._schedule_tick()
