"""Test helpers: simulated entry hosts that share a quota, and their counting hosts."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from bitterntiller.components.config.models import Config, Quota, Selector, Workspace
from bitterntiller.components.dispatch.quota_counter import (
    QuotaContext,
    QuotaCounter,
    QuotaDecision,
)
from bitterntiller.components.dispatch.quota_queue import QuotaRequest
from bitterntiller.components.dispatch.quotas import QuotaState
from bitterntiller.components.dispatch.retry_reservations import QuotaRefusal
from bitterntiller.components.entry.quota import QuotaAccount, QuotaHold
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages

COUNTER = "counter"
PATIENCE = 0.2
LATEST_RETRY = 4.0


def workspace(rate: float, burst: float) -> Workspace:
    """Return a workspace with a quota in tokens per second."""
    quota = Quota(rate=rate, burst=burst, counts_tokens=True, default_amount=1)
    return Workspace("wards", (), "", (), Selector(), {}, quota=quota)


class QuotaHosts:
    """Entry hosts on one manual clock, which report to counting hosts.

    Messages take no time. decide_queued returns the decisions on queued requests.
    """

    def __init__(self, owner: Workspace, window: QuotaWindow, hosts: int) -> None:
        self.clock = ManualClock()
        self.owner = owner
        self.window = window
        self.config = Config(1, {}, {}, {owner.name: owner}, {})
        self.counter_by_name = {COUNTER: QuotaCounter(window)}
        self._counter_by_host = dict.fromkeys(range(hosts), COUNTER)
        # Counted as hosts change, since each request and report needs the number.
        self._host_count_by_counter = Counter({COUNTER: hosts})
        self.accounts = [QuotaAccount(self.clock, window) for _ in range(hosts)]
        self._ids = itertools.count(1)

    @property
    def counter(self) -> QuotaCounter:
        """Return the first counting host."""
        return self.counter_by_name[COUNTER]

    def state(self, name: str = COUNTER) -> QuotaState:
        """Return the state of the quota at a counting host."""
        counter = self.counter_by_name[name]
        basis, now = self.basis(name), self.clock.now()
        return counter.ledger.state("wards", basis.config, basis.host_fraction, now)

    def basis(self, name: str) -> QuotaContext:
        """Return the configuration and the fraction of hosts that report to a host."""
        counted = self._host_count_by_counter[name]
        return QuotaContext(self.config, counted / len(self.accounts))

    def replace_counter(self, name: str, hosts: list[int] | None = None) -> None:
        """Make some hosts, or all of them, use another counting host."""
        self.counter_by_name.setdefault(name, QuotaCounter(self.window))
        for host in range(len(self.accounts)) if hosts is None else hosts:
            self._host_count_by_counter[self._counter_by_host[host]] -= 1
            self._host_count_by_counter[name] += 1
            self._counter_by_host[host] = name

    def ask(
        self,
        host: int,
        amount: int,
        patience: float = 0.0,
        retry_fingerprint: int | None = None,
        latest_retry: float = LATEST_RETRY,
        kind: str = "",
    ) -> QuotaHold | QuotaRefusal | QuotaRequest:
        """Request an amount from a host; a returned QuotaRequest is queued."""
        account = self.accounts[host]
        hold = account.hold_lent(self.owner, amount)
        if hold is not None:
            return hold
        number = next(self._ids)
        ask = QuotaRequest(
            host=str(host),
            reservation=account.number(),
            request_id=str(number),
            workspace=self.owner.name,
            amount=amount,
            patience=patience,
            latest_retry=latest_retry,
            retry_fingerprint=number
            if retry_fingerprint is None
            else retry_fingerprint,
            kind=kind,
        )
        name = self._counter_by_host[host]
        counter, now = self.counter_by_name[name], self.clock.now()
        decision = counter.decide(ask, self.basis(name), now)
        return ask if decision is None else self.take(decision, name)

    def take(
        self, decision: QuotaDecision, name: str = COUNTER
    ) -> QuotaHold | QuotaRefusal:
        """Deliver a decision to the host that requested it."""
        if decision.refusal is not None:
            return decision.refusal
        request = decision.request
        account = self.accounts[int(request.host)]
        return account.hold_reserved(
            self.owner, request.amount, name, request.reservation
        )

    def decide_queued(self, name: str = COUNTER) -> list[QuotaDecision]:
        """Return the decisions that a counting host makes now on queued requests."""
        counter = self.counter_by_name[name]
        return counter.decide_queued(self.basis(name), self.clock.now())

    def send(self, host: int, amount: int) -> bool:
        """Send a request from a host; return whether the quota admitted it."""
        hold = self.ask(host, amount)
        if not isinstance(hold, QuotaHold):
            return False
        self.accounts[host].spend(self.owner, amount, hold)
        return True

    def send_all(self, host: int, amount: int, tries: int) -> int:
        """Send requests from a host; return the sum of the admitted amounts."""
        return sum(amount for _ in range(tries) if self.send(host, amount))

    def report(self, hosts: Iterable[int] | None = None) -> None:
        """Make hosts report their usage and update their quota levels."""
        for host in range(len(self.accounts)) if hosts is None else hosts:
            self._report(host)

    def _report(self, host: int) -> None:
        name = self._counter_by_host[host]
        counter, account = self.counter_by_name[name], self.accounts[host]
        now = self.clock.now()
        report = account.unacknowledged(name)
        for used in report.used:
            counter.ledger.record_usage(used.workspace, used.amount, used.age, now)
        counter.ledger.set_held(str(host), report.held_by_workspace)
        counter.settle(str(host), report.settled, now)
        hosts = self._host_count_by_counter[name]
        lent = counter.lend(
            str(host), list(report.held_by_workspace), hosts, self.basis(name), now
        )
        account.record_acknowledged(name, report)
        account.update_levels([_level(*item) for item in lent.items()])

    def forget(self, host: int) -> None:
        """Make the counting host treat a host as lost."""
        self.counter.forget_host(str(host), self.clock.now())


def _level(name: str, state_and_lent: tuple[QuotaState, int]) -> Any:
    state, lent = state_and_lent
    return messages.QuotaLevel(
        workspace=name, amount=int(state.remaining), paced=int(state.level), lent=lent
    )


class RequestCounts(NamedTuple):
    """Numbers of requests of one size: asked for, and admitted."""

    requested: int
    admitted: int


class LoadResult(NamedTuple):
    """The result of a simulated load.

    max_window_fraction is the largest amount sent in any window, as a fraction of the
    limit. refused is the number of refusals, and failed_retries the number of retries
    that were refused at their reserved time.
    """

    counts_by_size: dict[int, RequestCounts]
    max_window_fraction: float
    refused: int
    failed_retries: int

    def admitted_fraction(self, size: int) -> float:
        """Return the fraction of the requests of a size that were admitted."""
        tries = self.counts_by_size[size]
        return tries.admitted / max(1, tries.requested)


class Request(NamedTuple):
    """One request of a load; is_retry is set for a retry with reserved quota."""

    size: int
    retry_fingerprint: int
    is_retry: bool = False


class QuotaLoad:
    """Simulates load on entry hosts that share a quota, in steps of 10 ms.

    next_sizes returns the sizes of the requests that arrive in a step. A request is
    queued for up to PATIENCE, is sent as soon as it is admitted, and retries once if
    quota is reserved for the retry. Each host reports twice per second.
    """

    STEP = 0.01
    REPORT_STEPS = 50

    def __init__(
        self, shared: QuotaHosts, next_sizes: Callable[[], list[int]], pick: Any
    ) -> None:
        self._shared = shared
        self._next_sizes = next_sizes
        self._pick = pick
        self._numbers = itertools.count(1)
        self._retries: list[tuple[float, int, Request]] = []
        self._waiting_by_reservation: dict[int, Request] = {}
        self._requested: Counter[int] = Counter()
        self._admitted: Counter[int] = Counter()
        self._sent: list[int] = []
        self._refused = 0
        self._failed_retries = 0

    def simulate(self, steps: int, warm_steps: int) -> LoadResult:
        """Simulate some steps; requests of the first warm_steps aren't counted."""
        shared = self._shared
        for step in range(steps):
            shared.clock.advance(self.STEP)
            self._sent.append(0)
            shared.report(self._reporting(step))
            for decision in shared.decide_queued():
                request = self._waiting_by_reservation.pop(decision.request.reservation)
                self._handle_decision(
                    int(decision.request.host), request, shared.take(decision)
                )
            while self._retries and self._retries[0][0] <= shared.clock.now():
                self._send(heapq.heappop(self._retries)[2])
            for size in self._next_sizes():
                if step >= warm_steps:
                    self._requested[size] += 1
                number = next(self._numbers)
                self._send(Request(size, number if step >= warm_steps else -number))
        return self._result()

    def _reporting(self, step: int) -> range:
        hosts = len(self._shared.accounts)
        return range(step % self.REPORT_STEPS, hosts, self.REPORT_STEPS)

    def _send(self, request: Request) -> None:
        host = self._pick()
        found = self._shared.ask(
            host, request.size, PATIENCE, request.retry_fingerprint
        )
        if isinstance(found, QuotaRequest):
            self._waiting_by_reservation[found.reservation] = request
        else:
            self._handle_decision(host, request, found)

    def _handle_decision(
        self, host: int, request: Request, found: QuotaHold | QuotaRefusal
    ) -> None:
        if isinstance(found, QuotaHold):
            self._shared.accounts[host].spend(self._shared.owner, request.size, found)
            self._sent[-1] += request.size
            if request.retry_fingerprint > 0:
                self._admitted[request.size] += 1
            return
        self._refused += 1
        if request.is_retry:
            self._failed_retries += 1
        elif found.retry_reserved:
            at = self._shared.clock.now() + found.retry_after
            again = request._replace(is_retry=True)
            heapq.heappush(self._retries, (at, next(self._numbers), again))

    def _result(self) -> LoadResult:
        shared = self._shared
        span = int(shared.window.seconds / self.STEP)
        sums = [0, *itertools.accumulate(self._sent)]
        most = max(sums[at + span] - sums[at] for at in range(len(sums) - span))
        quota = shared.owner.quota
        limit = shared.window.limit(quota.rate, quota.burst)
        tries = {
            size: RequestCounts(self._requested[size], self._admitted[size])
            for size in self._requested
        }
        return LoadResult(tries, most / limit, self._refused, self._failed_retries)
