"""Tests of reserving quota at the counting host, and of faults during the call."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from bitterntiller.components.config.models import Config
from bitterntiller.components.entry import quota_client
from bitterntiller.components.entry.quota import QuotaAccount
from bitterntiller.components.entry.quota_client import (
    QuotaClient,
    QuotaRequest,
    QuotaVerdict,
)
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import Clock, ManualClock, RuntimeClock
from tests.components.entry.counting import (
    COUNTING_HOSTS,
    CountingLinks,
    FakeCountingHostView,
)
from tests.components.entry.quota_hosts import workspace

WORKSPACE = workspace(1000.0, 1000.0)
CONFIG = Config(1, {}, {}, {"wards": WORKSPACE}, {})
WINDOW = QuotaWindow(seconds=4.0)
LIMIT = 5000
FIRST, SECOND = COUNTING_HOSTS
LEDGER = f"{FIRST}/i-{FIRST}"


class Deployment:
    """One entry host and two counting hosts."""

    def __init__(self, counting_clock: Clock | None = None) -> None:
        self.clock = RuntimeClock()
        self.links = CountingLinks(CONFIG, WINDOW, counting_clock)
        self.counting = FakeCountingHostView()
        self.account = QuotaAccount(self.clock, WINDOW)
        self.client = QuotaClient(
            self.account, self.links, self.counting, self.clock, "bole-1"
        )

    def request(self, amount: int, objective: float = 0.8) -> QuotaRequest:
        """Return a request that has just arrived."""
        now = self.clock.now()
        return QuotaRequest(
            "r1", WORKSPACE, amount, 1, "reports", now + objective, now + 10.0
        )

    def left(self, host: str = FIRST) -> float:
        """Return the remaining quota according to a counting host."""
        ledger = self.links.host_by_name[host].counter.ledger
        return ledger.state("wards", CONFIG, 1.0, self.clock.now()).remaining

    def settle(self, host: str = FIRST) -> None:
        """Send the settled reservations to a counting host, as a report does."""
        report = self.account.unacknowledged(f"{host}/i-{host}")
        counter = self.links.host_by_name[host].counter
        counter.settle("bole-1", report.settled, self.clock.now())


def run(
    main: Callable[[Deployment], Awaitable[None]], counting_clock: Clock | None = None
) -> None:
    """Run a test while both counting hosts decide on queued requests."""

    async def async_main() -> None:
        deployment = Deployment(counting_clock)
        async with curio.TaskGroup(wait=None) as group:
            for host in deployment.links.host_by_name.values():
                await group.spawn(host.service.async_run)
            await main(deployment)

    curio.run(async_main)


def test_amount_is_reserved_and_released():
    async def main(deployment: Deployment) -> None:
        verdict = await deployment.client.async_hold(deployment.request(500))
        assert verdict.wait is None
        assert deployment.left() == LIMIT - 500
        deployment.client.release(verdict.hold)
        deployment.settle()
        assert deployment.left() == LIMIT

    run(main)


def test_request_is_queued_until_quota_is_available():
    async def main(deployment: Deployment) -> None:
        verdicts = []
        while (await deployment.client.async_hold(deployment.request(100, 0.0))).hold:
            continue
        begun = deployment.clock.now()
        for _ in range(2):
            request = deployment.request(100)
            verdicts.append(await deployment.client.async_hold(request))
        assert [verdict.wait for verdict in verdicts] == [None, None]
        assert 0.05 <= deployment.clock.now() - begun <= 0.5

    run(main)


def test_request_over_the_quota_gets_a_retry_time_immediately():
    async def main(deployment: Deployment) -> None:
        ledger = deployment.links.host_by_name[FIRST].counter.ledger
        ledger.record_usage("wards", 3000, 0.0, deployment.clock.now())
        begun = deployment.clock.now()
        verdict = await deployment.client.async_hold(deployment.request(100))
        assert deployment.clock.now() - begun < 0.1
        assert 1.5 <= verdict.wait <= 3.0
        assert verdict.retry_reserved
        assert verdict.counted

    run(main)


def test_next_counting_host_is_called_after_the_loss_of_one():
    """Each request is refused for a second when the counting host freezes.

    Calls to it get no reply. A moment later a report to it times out, and another host
    becomes the counting host.
    """

    async def main(deployment: Deployment) -> None:
        deployment.links.silent.add(FIRST)

        async def async_pass_over() -> None:
            await curio.sleep(0.3)
            deployment.counting.name = SECOND

        async with curio.TaskGroup() as group:
            await group.spawn(async_pass_over)
            verdict = await deployment.client.async_hold(deployment.request(100, 0.2))
        assert verdict.wait is None
        assert deployment.left(SECOND) == LIMIT - 100

    run(main)


def test_nothing_is_admitted_without_a_counting_host(monkeypatch):
    """A workspace gets several times its quota while there is no counting host.

    Each entry host admits as much as is left to all of them together.
    """
    monkeypatch.setattr(quota_client, "FAILOVER_SECONDS", 0.2)

    async def main(deployment: Deployment) -> None:
        deployment.counting.name = None
        verdict = await deployment.client.async_hold(deployment.request(1))
        assert verdict == QuotaVerdict(1.0, counted=False)

    run(main)


@pytest.mark.parametrize("lost", ["no lease", "lease lost while it waits"])
def test_request_moves_on_from_a_counting_host_without_a_lease(lost):
    """Requests stay queued at a counting host that has lost its lease.

    Another host counts by then, so the requests that this one admits exceed the quota.
    Its clock stands still in this test, so that no quota is replenished meanwhile.
    """
    clock = ManualClock()

    async def main(deployment: Deployment) -> None:
        first = deployment.links.host_by_name[FIRST]
        if lost == "no lease":
            first.basis = None
        else:
            first.counter.ledger.record_usage("wards", 640, 0.0, clock.now())

        async def async_lose() -> None:
            await curio.sleep(0.05)
            first.basis = None
            deployment.counting.name = SECOND

        async with curio.TaskGroup() as group:
            await group.spawn(async_lose)
            verdict = await deployment.client.async_hold(deployment.request(400))
        assert verdict.wait is None
        assert deployment.left(SECOND) == LIMIT - 400

    run(main, clock)


def test_reservation_is_settled_if_its_reply_is_lost(monkeypatch):
    """A workspace loses quota with each reply that is lost with its connection.

    The counting host has reserved the amount; the entry host calls again without
    knowing of it.
    """
    monkeypatch.setattr(quota_client, "FAILOVER_SECONDS", 0.1)
    monkeypatch.setattr(quota_client, "REPLY_TIMEOUT", 0.05)

    async def main(deployment: Deployment) -> None:
        deployment.links.reply_lost.add(FIRST)
        verdict = await deployment.client.async_hold(deployment.request(300, 0.0))
        assert not verdict.counted
        assert deployment.left() < LIMIT
        deployment.settle()
        assert deployment.left() == LIMIT

    run(main)


def test_reservation_of_a_disconnected_caller_is_settled():
    """A workspace loses quota with callers that disconnect while they are queued."""

    async def main(deployment: Deployment) -> None:
        deployment.links.reply_lost.add(FIRST)
        task = await curio.spawn(deployment.client.async_hold, deployment.request(300))
        await curio.sleep(0.05)
        await task.cancel()
        assert deployment.left() == LIMIT - 300
        deployment.settle()
        assert deployment.left() == LIMIT

    run(main)


def test_repeat_over_its_bound_is_refused_immediately():
    async def main(deployment: Deployment) -> None:
        ledger = deployment.links.host_by_name[FIRST].counter.ledger
        ledger.record_usage("wards", LIMIT, 0.0, deployment.clock.now())
        small = await deployment.client.async_hold_repeat(deployment.request(100))
        large = await deployment.client.async_hold_repeat(deployment.request(900))
        assert small.wait is None
        assert large.wait is not None

    run(main)


def test_holds_at_one_counting_host_are_reported_to_the_next():
    """Requests queued behind a lost owner exceed what the next counting host admits."""

    async def main(deployment: Deployment) -> None:
        await deployment.client.async_hold(deployment.request(300))
        first = deployment.account.unacknowledged(LEDGER)
        second = deployment.account.unacknowledged(f"{SECOND}/i-{SECOND}")
        assert first.held_by_workspace == {"wards": 0}
        assert second.held_by_workspace == {"wards": 300}

    run(main)
