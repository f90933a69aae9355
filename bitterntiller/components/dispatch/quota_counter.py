"""Quota decisions for the requests of all entry hosts."""

from typing import NamedTuple

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.quota_queue import (
    QueuedRequest,
    QuotaQueue,
    QuotaRequest,
)
from bitterntiller.components.dispatch.quotas import QuotaLedger, QuotaState
from bitterntiller.components.dispatch.retry_reservations import QuotaRefusal
from bitterntiller.components.settings.models import (
    RETRY_OVERDRAFT_FRACTION,
    QuotaWindow,
)

LENT_FRACTION = 0.5
LENDING_FLOOR_FRACTION = 0.5
"""Entry hosts together are lent LENT_FRACTION of the quota that remains above
LENDING_FLOOR_FRACTION of the limit, and use it without asking. Below the floor a host
asks for every request, large or small, since the amount that one of many hosts could be
lent fits only the smallest requests."""

UNLIMITED = QuotaState(0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
"""State reported for a workspace without a quota here. The entry host may see another
configuration, since a change of the quota may not have reached both hosts yet."""


class QuotaContext(NamedTuple):
    """The configuration, and the fraction of entry hosts that report here."""

    config: Config
    host_fraction: float


class QuotaDecision(NamedTuple):
    """A decision on a request, and the state that it was based on.

    refusal is None if the request is admitted. waited is in seconds, and ahead is the
    amount that was queued before the request.
    """

    request: QuotaRequest
    state: QuotaState
    ahead: int = 0
    waited: float = 0.0
    refusal: QuotaRefusal | None = None


class QuotaCounter:
    """Makes the decisions of the counting host, without any I/O or clock of its own."""

    def __init__(self, window: QuotaWindow) -> None:
        self.ledger = QuotaLedger(window)
        self._queue_by_workspace: dict[str, QuotaQueue] = {}

    def decide(
        self, request: QuotaRequest, context: QuotaContext, now: float
    ) -> QuotaDecision | None:
        """Decide on a request; return None if it was queued."""
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
        """Decide on the repeat of a request that has already run; never queue it."""
        state = self._state(request.workspace, context, now)
        if state is None:
            return QuotaDecision(request, UNLIMITED)
        fits = (
            state.remaining - request.amount >= -RETRY_OVERDRAFT_FRACTION * state.limit
        )
        refusal = None if fits else QuotaRefusal(0.0, False)
        decision = QuotaDecision(request, state)._replace(refusal=refusal)
        return self._apply(decision, now)

    def settle(self, host: str, numbers: list[int], now: float) -> list[QueuedRequest]:
        """End reservations of a host; return its requests removed from queues."""
        self.ledger.settle(host, numbers, now)
        queues = [
            queue for queue in self._queue_by_workspace.values() if queue.queued_amount
        ]
        cancelled = [
            queue.cancel(host, number) for queue in queues for number in numbers
        ]
        return [queued for queued in cancelled if queued is not None]

    def decide_queued(self, context: QuotaContext, now: float) -> list[QuotaDecision]:
        """Return the decisions on queued requests that are due now."""
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
        # The quota was removed from the configuration while requests were queued.
        decisions += [
            _decision_on_queued(item, UNLIMITED, now) for item in queue.drain()
        ]
        return decisions

    def seconds_until_due(self, context: QuotaContext, now: float) -> float | None:
        """Return the seconds until decide_queued() is due, None if queues are empty."""
        waits = []
        for name, queue in self._queue_by_workspace.items():
            state = self._state(name, context, now) if queue.queued_amount else None
            if state is not None:
                waits.append(queue.seconds_until_due(state, now))
        return min(waits, default=None)

    def queued_amounts(self) -> dict[str, int]:
        """Return the queued amounts of all non-empty queues, by workspace."""
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
        """Lend amounts to a host; return state and lent amount by workspace."""
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
        """Forget a host that stopped reporting; return its queued requests."""
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
    """Return how much of a quota may be lent to all hosts together."""
    spare = min(
        state.remaining - LENDING_FLOOR_FRACTION * state.limit,
        state.level - LENDING_FLOOR_FRACTION * state.depth,
    )
    return max(0.0, LENT_FRACTION * spare)


def _decision_on_queued(
    queued: QueuedRequest, state: QuotaState, now: float
) -> QuotaDecision:
    return QuotaDecision(queued.request, state, queued.ahead, now - queued.queued_at)
