"""Test helpers: links to counting hosts with a real QuotaService, and their faults."""

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

COUNTING_HOSTS = ("core-1", "core-2")


class _Runtime(NamedTuple):
    clock: Clock
    metrics: FakeMetrics
    incarnation: str


class CountingHost:
    """A counting host that runs in the process of the test."""

    def __init__(
        self, config: Config, window: QuotaWindow, incarnation: str, clock: Clock
    ) -> None:
        self.basis: QuotaContext | None = QuotaContext(config, 1.0)
        self.counter = QuotaCounter(window)
        runtime = _Runtime(clock, FakeMetrics(), incarnation)
        self.service = QuotaService(runtime, self.counter, lambda: self.basis)


class CountingLinks:
    """Links to two counting hosts.

    Calls to hosts in silent are dropped. Calls to hosts in reply_lost are decided, but
    their replies are dropped.
    """

    def __init__(
        self, config: Config, window: QuotaWindow, clock: Clock | None = None
    ) -> None:
        clock = clock or RuntimeClock()
        self.host_by_name = {
            name: CountingHost(config, window, f"i-{name}", clock)
            for name in COUNTING_HOSTS
        }
        self.silent: set[str] = set()
        self.reply_lost: set[str] = set()
        self.calls: list[tuple[str, Any]] = []

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        """Call the QuotaService of a host, as its link would."""
        self.calls.append((address, message))
        if address not in self.silent:
            async with curio.ignore_after(timeout):
                service = self.host_by_name[address].service
                answer = await service.async_on_ask("", message)
                if address not in self.reply_lost:
                    return answer
        await curio.sleep(timeout)
        raise LinkTimeoutError("no answer")


class FakeCountingHostView:
    """Returns the counting host: the first one, until a test sets another name."""

    def __init__(self) -> None:
        self.name: str | None = COUNTING_HOSTS[0]

    def owner(self, _pool: str) -> Ownership | None:
        """Return the counting host."""
        return None if self.name is None else Ownership(self.name, self.name, 0)

    def incarnation(self, host: str) -> str:
        """Return the incarnation of a host's last reply."""
        return f"i-{host}"
