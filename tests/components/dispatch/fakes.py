"""Fakes of the interfaces that the dispatch role uses."""

from typing import Any, NamedTuple

import curio

from bitterntiller.components.dispatch import make_scheduler
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.settings.models import QuotaWindow, Timings
from bitterntiller.core.clock import ManualClock
from bitterntiller.core.interfaces import Ownership
from tests.components.dispatch import messages_builders as build
from tests.components.entry.fakes import FakeLease, FakeMetrics


class Host(NamedTuple):
    address: str
    incarnation: str
    roles: tuple[str, ...] = ("entry",)


class FakeDirectory:
    """Directory in which this host owns each pool, under an epoch that can be set."""

    def __init__(self) -> None:
        self.epoch = 1
        self.owned = True
        self.hosts_by_name = {"bole-1": Host("1", "i1"), "yeka-1": Host("2", "i2")}

    def owner(self, pool: str) -> Ownership | None:
        return Ownership("own" if self.owned else "other", "0", self.epoch)


class FakeLinks:
    """Records the messages sent; sending to an address in stuck never returns."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []
        self.stuck: set[str] = set()

    async def async_send(self, address: str, message: Any) -> bool:
        if address in self.stuck:
            await curio.sleep(1000.0)
        self.sent.append((address, message))
        return True


class FakeConfig:
    version = 1
    config = build.config()


class FakeSettings(NamedTuple):
    host: str
    timings: Timings
    quota_window: QuotaWindow = QuotaWindow()


class FakeRuntime:
    incarnation = "i1"

    def __init__(self) -> None:
        self.settings = FakeSettings("own", Timings(owner_settle=0.0))
        self.clock = ManualClock()
        self.metrics = FakeMetrics()
        self.links = FakeLinks()


def coordinator(runtime: FakeRuntime, directory: FakeDirectory) -> DispatchCoordinator:
    return DispatchCoordinator(
        runtime, FakeLease(), FakeConfig(), directory, make_scheduler
    )
