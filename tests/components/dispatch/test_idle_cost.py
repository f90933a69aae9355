"""Cost of idle hosts, and decisions of an owner after an idle time."""

import time

import curio
import pytest

from bitterntiller.components.dispatch import make_scheduler
from bitterntiller.components.dispatch.coordinator import DispatchCoordinator
from bitterntiller.components.dispatch.reports import ReportReceiver
from bitterntiller.components.entry import const
from bitterntiller.components.entry.report_schedule import next_report_at
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build
from tests.components.dispatch.fakes import (
    FakeConfig,
    FakeDirectory,
    FakeRuntime,
    coordinator,
)
from tests.components.entry.fakes import FakeLease

pytestmark = pytest.mark.alone

HOSTS = 300
MAX_REPORTS = 1.0
"""Maximum reports per second of an idle pair of entry host and owner: a tenth of a
constant rate of ten per second that doesn't depend on the load."""

MAX_UNITS = 0.23
"""Maximum processor time per second that an owner spends on the reports of 300 idle
hosts, in units of _unit(): a tenth of the cost of ten reports per second from each."""


class Registered:
    """The upstreams registered with control."""

    def __init__(self) -> None:
        self.version = 1
        self.by_name = {"e1": build.announce("e1", 1)}

    def leave(self) -> None:
        """Set the only upstream to leaving."""
        self.version += 1
        leaving = build.announce("e1", 1)
        leaving.state = "leaving"
        self.by_name = {"e1": leaving}


def owner_with(runtime: FakeRuntime, registered: Registered) -> DispatchCoordinator:
    """Return the dispatch role of a host with registered upstreams."""
    views = (FakeLease(), FakeConfig(), FakeDirectory())
    return DispatchCoordinator(runtime, *views, make_scheduler, registered)


def test_grant_after_a_pause_uses_the_newest_list_of_upstreams():
    """A request is sent to an upstream that left while the owner was idle.

    An idle owner checks the list of upstreams only twice a second.
    """
    runtime = FakeRuntime()
    runtime.clock = RuntimeClock()
    registered = Registered()

    async def async_main() -> None:
        owner = owner_with(runtime, registered)
        task = await curio.spawn(owner.async_run())
        await curio.sleep(0.15)
        registered.leave()
        await owner.async_on_register("bole-1", build.register("r1"))
        await curio.sleep(0.15)
        await task.cancel()

    curio.run(async_main)
    assert not [
        item for _, item in runtime.links.sent if isinstance(item, messages.Grant)
    ]


def test_request_after_a_pause_is_granted_at_once():
    runtime = FakeRuntime()
    runtime.clock = RuntimeClock()

    async def async_main() -> float:
        owner = owner_with(runtime, Registered())
        task = await curio.spawn(owner.async_run())
        await curio.sleep(0.3)
        begun = time.monotonic()
        await owner.async_on_register("bole-1", build.register("r1"))
        while not runtime.links.sent:
            await curio.sleep(0.001)
        await task.cancel()
        return time.monotonic() - begun

    assert curio.run(async_main) < 0.05


def _unit() -> float:
    """Return the processor time in seconds of 100,000 additions."""
    begun = time.process_time()
    total = 0
    for number in range(100_000):
        total += number
    assert total
    return time.process_time() - begun


def reports_a_second() -> float:
    """Return how many reports per second an idle entry host sends to an owner."""
    return 1 / next_report_at(
        "core-1", 0.0, [], unacknowledged=False, quota_pending=False
    )


def test_idle_hosts_cost_an_owner_little():
    """An owner is busy with the reports of 300 idle hosts.

    Each host reported ten times a second, which cost as much as the requests.
    """
    runtime = FakeRuntime()
    reports = [
        messages.EntryReport(
            entry_host=f"h{number}",
            incarnation="i1",
            number=1,
            used=[],
            held=[],
            ended=[],
            counting=False,
            settled=[],
            within_ms=int(const.IDLE_REPORT_PERIOD * 1000),
        )
        for number in range(HOSTS)
    ]

    async def async_main() -> float:
        owner = coordinator(runtime, FakeDirectory())
        receiver = ReportReceiver(
            runtime,
            FakeLease(),
            FakeConfig(),
            FakeDirectory(),
            owner.async_drop_host,
            owner.async_forget_ended,
        )
        begun = time.process_time()
        for _ in range(10):
            for report in reports:
                await receiver.async_on_report("", report)
        return (time.process_time() - begun) / 10

    units = curio.run(async_main) * reports_a_second() / min(_unit() for _ in range(5))
    assert reports_a_second() <= MAX_REPORTS
    assert units <= MAX_UNITS
