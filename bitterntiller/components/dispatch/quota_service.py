"""Replies to quota requests of entry hosts, at once or after a wait in the queue."""

from collections.abc import Callable
from typing import Any

import curio

from bitterntiller.components.dispatch import const
from bitterntiller.components.dispatch.event_logging import log_quota
from bitterntiller.components.dispatch.quota_counter import (
    QuotaContext,
    QuotaCounter,
    QuotaDecision,
)
from bitterntiller.components.dispatch.quota_queue import QueuedRequest, QuotaRequest
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages
from bitterntiller.protocol.statuses import (
    QUOTA_NOT_COUNTING,
    QUOTA_REFUSED,
    QUOTA_RESERVED,
)

MIN_CHECK_INTERVAL = 0.002
MAX_CHECK_INTERVAL = 0.05
"""Bounds of the seconds between two checks of non-empty queues. The upper bound limits
the delay after a configuration change or a report that releases an amount."""

_Key = tuple[str, int]
"""An entry host and its number for a reservation."""

ReadContext = Callable[[], QuotaContext | None]
"""Returns the current quota context, None while this host must not decide."""


class QuotaService:
    """Handles messages.QuotaAsk and replies to each once it is decided."""

    def __init__(
        self, runtime: Runtime, counter: QuotaCounter, context: ReadContext
    ) -> None:
        self._clock = runtime.clock
        self._incarnation = runtime.incarnation
        self._metrics = runtime.metrics
        self._counter = counter
        self._read_context = context
        self._replies_by_key: dict[_Key, curio.Queue] = {}
        self._queues_changed = curio.Event()

    async def async_on_ask(self, _host: str, message: Any) -> Any:
        """Reply to a messages.QuotaAsk, after a wait in the queue if necessary."""
        context = self._read_context()
        if context is None:
            return self._not_counting()
        now = self._clock.now()
        request = _quota_request(message)
        if message.repeat:
            return self._log_and_build_reply(
                self._counter.decide_repeat(request, context, now)
            )
        decision = self._counter.decide(request, context, now)
        if decision is not None:
            return self._log_and_build_reply(decision)
        self._metrics.count(const.METRIC_QUOTA_WAITS)
        return await self._async_wait(request)

    async def _async_wait(self, request: QuotaRequest) -> Any:
        key = _key(request)
        replies = self._replies_by_key[key] = curio.Queue()
        await self._queues_changed.set()
        try:
            return await replies.get()
        finally:
            if self._replies_by_key.get(key) is replies:
                del self._replies_by_key[key]

    async def async_check_queues(self) -> None:
        """Check the queues now: an amount was released, or requests were removed."""
        await self._queues_changed.set()

    async def async_reject(self, cancelled: list[QueuedRequest]) -> None:
        """Reply to requests that were removed from a queue without a decision."""
        for queued in cancelled:
            await self._async_reply(_key(queued.request), self._not_counting())

    async def async_run(self) -> None:
        """Decide on queued requests, until cancelled."""
        while True:
            self._queues_changed.clear()
            context = self._read_context()
            if context is None:
                await self._async_stop_counting()
                await self._async_pause(None)
                continue
            now = self._clock.now()
            for decision in self._counter.decide_queued(context, now):
                reply = self._log_and_build_reply(decision)
                await self._async_reply(_key(decision.request), reply)
            await self._async_pause(self._counter.seconds_until_due(context, now))

    async def _async_stop_counting(self) -> None:
        for key in list(self._replies_by_key):
            await self._async_reply(key, self._not_counting())

    async def _async_pause(self, seconds_until_due: float | None) -> None:
        if seconds_until_due is None and not self._replies_by_key:
            await self._queues_changed.wait()
            return
        pause = MAX_CHECK_INTERVAL if seconds_until_due is None else seconds_until_due
        pause = min(max(pause, MIN_CHECK_INTERVAL), MAX_CHECK_INTERVAL)
        async with ignore_after(pause):
            await self._queues_changed.wait()

    async def _async_reply(self, key: _Key, reply: Any) -> None:
        replies = self._replies_by_key.pop(key, None)
        if replies is not None:
            await replies.put(reply)

    def _log_and_build_reply(self, decision: QuotaDecision) -> Any:
        log_quota(decision)
        refusal = decision.refusal
        status = QUOTA_RESERVED if refusal is None else QUOTA_REFUSED
        self._metrics.count(f"{const.METRIC_QUOTA}.{status}")
        return messages.QuotaAnswer(
            status=status,
            left=int(decision.state.remaining),
            paced=int(decision.state.level),
            ahead=decision.ahead,
            waited_ms=int(decision.waited * 1000),
            retry_after_ms=0 if refusal is None else int(refusal.retry_after * 1000),
            retry_reserved=refusal is not None and refusal.retry_reserved,
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


def _key(request: QuotaRequest) -> _Key:
    return request.host, request.reservation


def _quota_request(message: Any) -> QuotaRequest:
    return QuotaRequest(
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
