"""Answers hosts that ask for an amount of a quota, at once or when there is enough."""

from collections.abc import Callable
from typing import Any

import curio

from bitterntiller.components.dispatch import const
from bitterntiller.components.dispatch.event_logging import log_quota
from bitterntiller.components.dispatch.quota_counter import (
    CountBasis,
    QuotaCounter,
    QuotaDecision,
)
from bitterntiller.components.dispatch.quota_queue import Ask, Waiter
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages
from bitterntiller.protocol.statuses import (
    QUOTA_NOT_COUNTING,
    QUOTA_REFUSED,
    QUOTA_RESERVED,
)

SHORTEST_WAIT = 0.002
LONGEST_WAIT = 0.05
"""Seconds between two checks of queues in which requests wait. The longer one bounds
the delay after a change of the configuration, or a report that gives something back."""

_Key = tuple[str, int]
"""A host, and its number for a reservation."""

ReadBasis = Callable[[], CountBasis | None]
"""Returns what the count rests on now, None while this host may not count."""


class QuotaService:
    """Takes messages.QuotaAsk, and answers each when it is decided."""

    def __init__(
        self, runtime: Runtime, counter: QuotaCounter, basis: ReadBasis
    ) -> None:
        self._clock = runtime.clock
        self._incarnation = runtime.incarnation
        self._metrics = runtime.metrics
        self._counter = counter
        self._basis = basis
        self._answers_by_key: dict[_Key, curio.Queue] = {}
        self._moved = curio.Event()

    async def async_on_ask(self, _host: str, message: Any) -> Any:
        """Answer one messages.QuotaAsk, after a wait in the queue if need be."""
        basis = self._basis()
        if basis is None:
            return self._not_counting()
        now = self._clock.now()
        ask = _ask(message)
        if message.repeat:
            return self._answer(self._counter.ask_repeat(ask, basis, now))
        decision = self._counter.ask(ask, basis, now)
        if decision is not None:
            return self._answer(decision)
        self._metrics.count(const.METRIC_QUOTA_WAITS)
        return await self._async_wait(ask)

    async def _async_wait(self, ask: Ask) -> Any:
        key = _key(ask)
        answers = self._answers_by_key[key] = curio.Queue()
        await self._moved.set()
        try:
            return await answers.get()
        finally:
            if self._answers_by_key.get(key) is answers:
                del self._answers_by_key[key]

    async def async_moved(self) -> None:
        """Check the queues now: something was given back, or requests have left."""
        await self._moved.set()

    async def async_reject(self, waiters: list[Waiter]) -> None:
        """Answer requests that were taken out of the queue undecided."""
        for waiter in waiters:
            await self._async_answer(_key(waiter.ask), self._not_counting())

    async def async_run(self) -> None:
        """Decide on what waits, until cancelled."""
        while True:
            self._moved.clear()
            basis = self._basis()
            if basis is None:
                await self._async_stop_counting()
                await self._async_pause(None)
                continue
            now = self._clock.now()
            for decision in self._counter.due(basis, now):
                answer = self._answer(decision)
                await self._async_answer(_key(decision.ask), answer)
            await self._async_pause(self._counter.wake_in(basis, now))

    async def _async_stop_counting(self) -> None:
        for key in list(self._answers_by_key):
            await self._async_answer(key, self._not_counting())

    async def _async_pause(self, wake_in: float | None) -> None:
        if wake_in is None and not self._answers_by_key:
            await self._moved.wait()
            return
        pause = LONGEST_WAIT if wake_in is None else wake_in
        pause = min(max(pause, SHORTEST_WAIT), LONGEST_WAIT)
        async with curio.ignore_after(pause):
            await self._moved.wait()

    async def _async_answer(self, key: _Key, answer: Any) -> None:
        answers = self._answers_by_key.pop(key, None)
        if answers is not None:
            await answers.put(answer)

    def _answer(self, decision: QuotaDecision) -> Any:
        log_quota(decision)
        refused = decision.refused
        kind = QUOTA_RESERVED if refused is None else QUOTA_REFUSED
        self._metrics.count(f"{const.METRIC_QUOTA}.{kind}")
        return messages.QuotaAnswer(
            status=kind,
            left=int(decision.state.left),
            paced=int(decision.state.level),
            ahead=decision.ahead,
            waited_ms=int(decision.waited * 1000),
            retry_after_ms=0 if refused is None else int(refused.retry_after * 1000),
            retry_reserved=refused is not None and refused.retry_reserved,
            incarnation=self._incarnation,
        )

    def _not_counting(self) -> Any:
        return messages.QuotaAnswer(
            status=QUOTA_NOT_COUNTING,
            left=0,
            paced=0,
            ahead=0,
            waited_ms=0,
            retry_after_ms=0,
            retry_reserved=False,
            incarnation=self._incarnation,
        )


def _key(ask: Ask) -> _Key:
    return ask.host, ask.reservation


def _ask(message: Any) -> Ask:
    return Ask(
        host=message.entry_host,
        reservation=message.reservation,
        request_id=message.request_id,
        workspace=message.workspace,
        amount=message.amount,
        patience=message.patience_ms / 1000,
        latest_retry=message.latest_retry_ms / 1000,
        retry_fingerprint=message.retry_fingerprint,
        kind=message.kind,
    )
