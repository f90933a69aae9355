"""The owner of a pool: a scheduler, the messages to it, and its replacement."""

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
    """Passes messages to a scheduler and its decisions to the entry hosts.

    While nobody owns the pool, messages are lost. A new owner hears of running
    work first and takes waiting requests when it has settled.
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
        """Tell whether somebody owns the pool."""
        return self._scheduler is not None

    def start(self, settle: float = 0.0) -> None:
        """Make a scheduler that knows nothing yet the owner of the pool."""
        self._epoch += 1
        self._wake_at = NEVER
        self._scheduler = self._make_scheduler()
        now = self._loop.now()
        self._settled_at = now + settle
        self._deliver(self._scheduler.set_limits(self._limits, now))
        self._schedule_tick()

    def kill(self) -> None:
        """Lose the scheduler and all it knew."""
        self._epoch += 1
        self._scheduler = None

    def send(self, call: str, *arguments: Any, **named: Any) -> None:
        """Have a call made on the scheduler when the message has arrived."""
        epoch = self._epoch
        self._loop.after(self._delay, self._receive, epoch, call, arguments, named)

    def _receive(self, epoch: int, call: str, arguments: tuple, named: dict) -> None:
        if epoch != self._epoch or self._scheduler is None:
            return
        now = self._loop.now()
        if call == "register" and now < self._settled_at:
            at = self._settled_at
            self._loop.at(at, self._receive, epoch, call, arguments, named)
            return
        self.calls += 1
        decisions = getattr(self._scheduler, call)(*arguments, now, **named)
        if call == "announce":
            decisions = decisions[1]
        self._deliver(decisions)
        self._schedule_tick()

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._loop.after(self._delay, self._on_decision, decision)

    def _schedule_tick(self) -> None:
        """Plan the next tick unless one is due before it anyway."""
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
