"""Builders: links on which a real desk counts quotas, and what can go wrong on them."""

from typing import Any, NamedTuple

import curio

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.quota_counter import QuotaContext, QuotaCounter
from bitterntiller.components.dispatch.quota_service import QuotaService
from bitterntiller.components.links.errors import LinkTimeoutError
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import Clock, RuntimeClock
from bitterntiller.core.interfaces import Ownership
from tests.components.entry.fakes import FakeMetrics

COUNTERS = ("core-1", "core-2")


class _Runtime(NamedTuple):
    clock: Clock
    metrics: FakeMetrics
    incarnation: str


class CountingHost:
    """A host that counts quotas in this process."""

    def __init__(
        self, config: Config, window: QuotaWindow, incarnation: str, clock: Clock
    ) -> None:
        self.basis: QuotaContext | None = QuotaContext(config, 1.0)
        self.counter = QuotaCounter(window)
        runtime = _Runtime(clock, FakeMetrics(), incarnation)
        self.desk = QuotaService(runtime, self.counter, lambda: self.basis)


class CountingLinks:
    """Links to two hosts that count; asks to those in silent are never answered.

    Asks to those in deaf are decided, and the answers lost.
    """

    def __init__(
        self, config: Config, window: QuotaWindow, clock: Clock | None = None
    ) -> None:
        clock = clock or RuntimeClock()
        self.host_by_name = {
            name: CountingHost(config, window, f"i-{name}", clock) for name in COUNTERS
        }
        self.silent: set[str] = set()
        self.deaf: set[str] = set()
        self.asked: list[tuple[str, Any]] = []

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        """Have the desk of a host answer, as its link would."""
        self.asked.append((address, message))
        if address not in self.silent:
            async with curio.ignore_after(timeout):
                desk = self.host_by_name[address].desk
                answer = await desk.async_on_ask("", message)
                if address not in self.deaf:
                    return answer
        await curio.sleep(timeout)
        raise LinkTimeoutError("no answer")


class Counting:
    """Says which host counts; the first one until it is passed over."""

    def __init__(self) -> None:
        self.name: str | None = COUNTERS[0]

    def owner(self, _pool: str) -> Ownership | None:
        """Return the counting host."""
        return None if self.name is None else Ownership(self.name, self.name, 0)

    def incarnation(self, host: str) -> str:
        """Return the incarnation in which a host has answered last."""
        return f"i-{host}"
