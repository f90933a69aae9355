"""Decides over all hosts which requests their workspaces' quotas let through."""

from typing import NamedTuple

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.quota_queue import Ask, QuotaQueue, Waiter
from bitterntiller.components.dispatch.quotas import QuotaLedger, QuotaState
from bitterntiller.components.dispatch.retry_reservations import Refused
from bitterntiller.components.settings.models import REPEAT_PART, QuotaWindow

LENT_PART = 0.5
PLENTY_PART = 0.5
"""Part of what is left above half of a quota that hosts may use without asking, all of
them together. Where less than half is left every request is asked for, large and small:
what is lent to one of many hosts fits none but the smallest requests."""

UNLIMITED = QuotaState(0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
"""What is told of a workspace that has no quota here; a change of it may be on its way
to one of the two hosts."""


class CountBasis(NamedTuple):
    """What the count rests on: the configuration, and the part of hosts heard here."""

    config: Config
    part: float


class QuotaDecision(NamedTuple):
    """What was decided on a request, and by what.

    refused is None for one that is let through; waited is in seconds, ahead what was
    before it in the line.
    """

    ask: Ask
    state: QuotaState
    ahead: int = 0
    waited: float = 0.0
    refused: Refused | None = None


class QuotaCounter:
    """The counting host's decisions; told of the time, and free of input and output."""

    def __init__(self, window: QuotaWindow) -> None:
        self.ledger = QuotaLedger(window)
        self._line_by_workspace: dict[str, QuotaQueue] = {}

    def ask(self, ask: Ask, basis: CountBasis, now: float) -> QuotaDecision | None:
        """Decide on a request; None for one that waits in the line."""
        state = self._state(ask.workspace, basis, now)
        if state is None:
            return QuotaDecision(ask, UNLIMITED)
        if self.ledger.is_reserved(ask.host, ask.reservation):
            return QuotaDecision(ask, state)
        line = self._line_by_workspace.setdefault(ask.workspace, QuotaQueue())
        line.leave(ask.host, ask.reservation)
        ahead = line.ahead
        found = line.arrive(ask, state, now)
        if isinstance(found, Waiter):
            return None
        decision = QuotaDecision(ask, state)._replace(ahead=ahead, refused=found)
        return self._carry_out(decision, now)

    def ask_repeat(self, ask: Ask, basis: CountBasis, now: float) -> QuotaDecision:
        """Decide on a request that has run and is to run once more; it never waits."""
        state = self._state(ask.workspace, basis, now)
        if state is None:
            return QuotaDecision(ask, UNLIMITED)
        fits = state.left - ask.amount >= -REPEAT_PART * state.most
        refused = None if fits else Refused(0.0, False)
        decision = QuotaDecision(ask, state)._replace(refused=refused)
        return self._carry_out(decision, now)

    def settle(self, host: str, numbers: list[int], now: float) -> list[Waiter]:
        """End reservations of a host; return what it waits for no more in a line."""
        self.ledger.settle(host, numbers, now)
        lines = [line for line in self._line_by_workspace.values() if line.ahead]
        left = [line.leave(host, number) for line in lines for number in numbers]
        return [waiter for waiter in left if waiter is not None]

    def due(self, basis: CountBasis, now: float) -> list[QuotaDecision]:
        """Return what is decided now on requests that wait."""
        decisions = []
        for name, line in list(self._line_by_workspace.items()):
            if line.ahead:
                decisions += self._due(name, line, basis, now)
            elif line.idle(now):
                del self._line_by_workspace[name]
        return decisions

    def _due(
        self, name: str, line: QuotaQueue, basis: CountBasis, now: float
    ) -> list[QuotaDecision]:
        decisions = []
        while (state := self._state(name, basis, now)) is not None:
            passing = line.next_to_pass(state, now)
            if passing is not None:
                decision = _waited(passing, state, now)
                decisions.append(self._carry_out(decision, now))
                continue
            late = line.next_too_late(state, now)
            if late is None:
                return decisions
            decisions.append(_waited(late[0], state, now)._replace(refused=late[1]))
        # The quota was taken away while requests waited for it.
        decisions += [_waited(item, UNLIMITED, now) for item in line.leave_all()]
        return decisions

    def wake_in(self, basis: CountBasis, now: float) -> float | None:
        """Return in how many seconds due() may decide on something, None for never."""
        waits = []
        for name, line in self._line_by_workspace.items():
            state = self._state(name, basis, now) if line.ahead else None
            if state is not None:
                waits.append(line.wake_in(state, now))
        return min(waits, default=None)

    def waiting(self) -> dict[str, int]:
        """Return what waits in each line that isn't empty, by workspace."""
        lines = self._line_by_workspace.items()
        return {name: line.ahead for name, line in lines if line.ahead}

    def lend(
        self,
        host: str,
        workspaces: list[str],
        hosts: int,
        basis: CountBasis,
        now: float,
    ) -> dict[str, tuple[QuotaState, int]]:
        """Return what is left to workspaces, and what a host may use without asking."""
        self.ledger.lend(host, {})
        told = {}
        for name in workspaces:
            state = self._state(name, basis, now)
            if state is not None:
                told[name] = (state, int(_lendable(state) / max(1, hosts)))
        lent_by_workspace = {name: lent for name, (_, lent) in told.items() if lent}
        self.ledger.lend(host, lent_by_workspace)
        return told

    def forget(self, host: str, now: float) -> list[Waiter]:
        """Forget a host that reports no more; return its requests that waited."""
        self.ledger.forget(host, now)
        leaving = []
        for line in self._line_by_workspace.values():
            leaving += line.leave_host(host)
        return leaving

    def _state(
        self, workspace: str, basis: CountBasis, now: float
    ) -> QuotaState | None:
        return self.ledger.state(workspace, basis.config, basis.part, now)

    def _carry_out(self, decision: QuotaDecision, now: float) -> QuotaDecision:
        if decision.refused is None:
            ask = decision.ask
            self.ledger.reserve(
                ask.host, ask.reservation, ask.workspace, ask.amount, now
            )
        return decision


def _lendable(state: QuotaState) -> float:
    """Return what all hosts together may use of a quota without asking."""
    spare = min(
        state.left - PLENTY_PART * state.most,
        state.level - PLENTY_PART * state.depth,
    )
    return max(0.0, LENT_PART * spare)


def _waited(waiter: Waiter, state: QuotaState, now: float) -> QuotaDecision:
    return QuotaDecision(waiter.ask, state, waiter.ahead, now - waiter.since)
