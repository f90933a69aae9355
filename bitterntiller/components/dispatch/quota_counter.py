"""Decides over all hosts which requests their workspaces' quotas let through."""

from typing import NamedTuple

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.quota_queue import (
    QueuedRequest,
    QuotaQueue,
    QuotaRequest,
)
from bitterntiller.components.dispatch.quotas import QuotaLedger, QuotaState
from bitterntiller.components.dispatch.retry_reservations import QuotaRefusal
from bitterntiller.components.settings.models import REPEAT_PART, QuotaWindow

LENT_FRACTION = 0.5
LENDING_FLOOR_FRACTION = 0.5
"""Part of what is left above half of a quota that hosts may use without asking, all of
them together. Where less than half is left every request is asked for, large and small:
what is lent to one of many hosts fits none but the smallest requests."""

UNLIMITED = QuotaState(0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
"""What is told of a workspace that has no quota here; a change of it may be on its way
to one of the two hosts."""


class QuotaContext(NamedTuple):
    """What the count rests on: the configuration, and the part of hosts heard here."""

    config: Config
    host_fraction: float


class QuotaDecision(NamedTuple):
    """What was decided on a request, and by what.

    refused is None for one that is let through; waited is in seconds, ahead what was
    before it in the line.
    """

    request: QuotaRequest
    state: QuotaState
    ahead: int = 0
    waited: float = 0.0
    refusal: QuotaRefusal | None = None


class QuotaCounter:
    """The counting host's decisions; told of the time, and free of input and output."""

    def __init__(self, window: QuotaWindow) -> None:
        self.ledger = QuotaLedger(window)
        self._queue_by_workspace: dict[str, QuotaQueue] = {}

    def decide(
        self, request: QuotaRequest, context: QuotaContext, now: float
    ) -> QuotaDecision | None:
        """Decide on a request; None for one that waits in the line."""
        state = self._state(request.workspace, context, now)
        if state is None:
            return QuotaDecision(request, UNLIMITED)
        if self.ledger.is_reserved(request.host, request.reservation):
            return QuotaDecision(request, state)
        queue = self._queue_by_workspace.setdefault(request.workspace, QuotaQueue())
        queue.cancel(request.host, request.reservation)
        ahead = queue.queued_amount
        found = queue.submit(request, state, now)
        if isinstance(found, QueuedRequest):
            return None
        decision = QuotaDecision(request, state)._replace(ahead=ahead, refusal=found)
        return self._apply(decision, now)

    def decide_repeat(
        self, request: QuotaRequest, context: QuotaContext, now: float
    ) -> QuotaDecision:
        """Decide on a request that has run and is to run once more; it never waits."""
        state = self._state(request.workspace, context, now)
        if state is None:
            return QuotaDecision(request, UNLIMITED)
        fits = state.remaining - request.amount >= -REPEAT_PART * state.limit
        refusal = None if fits else QuotaRefusal(0.0, False)
        decision = QuotaDecision(request, state)._replace(refusal=refusal)
        return self._apply(decision, now)

    def settle(self, host: str, numbers: list[int], now: float) -> list[QueuedRequest]:
        """End reservations of a host; return what it waits for no more in a line."""
        self.ledger.settle(host, numbers, now)
        queues = [
            queue for queue in self._queue_by_workspace.values() if queue.queued_amount
        ]
        cancelled = [
            queue.cancel(host, number) for queue in queues for number in numbers
        ]
        return [queued for queued in cancelled if queued is not None]

    def decide_queued(self, context: QuotaContext, now: float) -> list[QuotaDecision]:
        """Return what is decided now on requests that wait."""
        decisions = []
        for name, queue in list(self._queue_by_workspace.items()):
            if queue.queued_amount:
                decisions += self._decide_queue(name, queue, context, now)
            elif queue.is_idle(now):
                del self._queue_by_workspace[name]
        return decisions

    def _decide_queue(
        self, name: str, queue: QuotaQueue, context: QuotaContext, now: float
    ) -> list[QuotaDecision]:
        decisions = []
        while (state := self._state(name, context, now)) is not None:
            admitted = queue.pop_admissible(state, now)
            if admitted is not None:
                decision = _decision_on_queued(admitted, state, now)
                decisions.append(self._apply(decision, now))
                continue
            expired = queue.pop_expired(state, now)
            if expired is None:
                return decisions
            decisions.append(
                _decision_on_queued(expired[0], state, now)._replace(refusal=expired[1])
            )
        # The quota was taken away while requests waited for it.
        decisions += [
            _decision_on_queued(item, UNLIMITED, now) for item in queue.drain()
        ]
        return decisions

    def seconds_until_due(self, context: QuotaContext, now: float) -> float | None:
        """Return in how many seconds due() may decide on something, None for never."""
        waits = []
        for name, queue in self._queue_by_workspace.items():
            state = self._state(name, context, now) if queue.queued_amount else None
            if state is not None:
                waits.append(queue.seconds_until_due(state, now))
        return min(waits, default=None)

    def queued_amounts(self) -> dict[str, int]:
        """Return what waits in each line that isn't empty, by workspace."""
        queues = self._queue_by_workspace.items()
        return {
            name: queue.queued_amount for name, queue in queues if queue.queued_amount
        }

    def lend(
        self,
        host: str,
        workspaces: list[str],
        hosts: int,
        context: QuotaContext,
        now: float,
    ) -> dict[str, tuple[QuotaState, int]]:
        """Return what is left to workspaces, and what a host may use without asking."""
        self.ledger.set_lent(host, {})
        levels_by_workspace = {}
        for name in workspaces:
            state = self._state(name, context, now)
            if state is not None:
                levels_by_workspace[name] = (
                    state,
                    int(_lendable(state) / max(1, hosts)),
                )
        lent_by_workspace = {
            name: lent for name, (_, lent) in levels_by_workspace.items() if lent
        }
        self.ledger.set_lent(host, lent_by_workspace)
        return levels_by_workspace

    def forget_host(self, host: str, now: float) -> list[QueuedRequest]:
        """Forget a host that reports no more; return its requests that waited."""
        self.ledger.forget_host(host, now)
        cancelled = []
        for queue in self._queue_by_workspace.values():
            cancelled += queue.cancel_host(host)
        return cancelled

    def _state(
        self, workspace: str, context: QuotaContext, now: float
    ) -> QuotaState | None:
        return self.ledger.state(workspace, context.config, context.host_fraction, now)

    def _apply(self, decision: QuotaDecision, now: float) -> QuotaDecision:
        if decision.refusal is None:
            request = decision.request
            self.ledger.reserve(
                request.host,
                request.reservation,
                request.workspace,
                request.amount,
                now,
            )
        return decision


def _lendable(state: QuotaState) -> float:
    """Return what all hosts together may use of a quota without asking."""
    spare = min(
        state.remaining - LENDING_FLOOR_FRACTION * state.limit,
        state.level - LENDING_FLOOR_FRACTION * state.depth,
    )
    return max(0.0, LENT_FRACTION * spare)


def _decision_on_queued(
    queued: QueuedRequest, state: QuotaState, now: float
) -> QuotaDecision:
    return QuotaDecision(queued.request, state, queued.ahead, now - queued.queued_at)
