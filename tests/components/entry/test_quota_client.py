"""An entry host that asks for a part of a quota, and what may go wrong meanwhile."""

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
from tests.components.entry.counting import COUNTERS, Counting, CountingLinks
from tests.components.entry.quota_hosts import workspace

WORKSPACE = workspace(1000.0, 1000.0)
CONFIG = Config(1, {}, {}, {"wards": WORKSPACE}, {})
WINDOW = QuotaWindow(seconds=4.0)
LIMIT = 5000
FIRST, SECOND = COUNTERS
LEDGER = f"{FIRST}/i-{FIRST}"


class Deployment:
    """One entry host before two hosts that can count."""

    def __init__(self, counting_clock: Clock | None = None) -> None:
        self.clock = RuntimeClock()
        self.links = CountingLinks(CONFIG, WINDOW, counting_clock)
        self.counting = Counting()
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
        """Return what a counting host believes to be left."""
        ledger = self.links.host_by_name[host].counter.ledger
        return ledger.state("wards", CONFIG, 1.0, self.clock.now()).remaining

    def settle(self, host: str = FIRST) -> None:
        """Have a counting host hear what was settled, as a report would tell it."""
        told = self.account.unacknowledged(f"{host}/i-{host}")
        counter = self.links.host_by_name[host].counter
        counter.settle("bole-1", told.settled, self.clock.now())


def run(
    main: Callable[[Deployment], Awaitable[None]], counting_clock: Clock | None = None
) -> None:
    """Run a test while the desks of both hosts decide on what waits."""

    async def async_main() -> None:
        deployment = Deployment(counting_clock)
        async with curio.TaskGroup(wait=None) as group:
            for host in deployment.links.host_by_name.values():
                await group.spawn(host.desk.async_run)
            await main(deployment)

    curio.run(async_main)


def test_request_is_reserved_and_given_back():
    async def main(deployment: Deployment) -> None:
        verdict = await deployment.client.async_hold(deployment.request(500))
        assert verdict.wait is None
        assert deployment.left() == LIMIT - 500
        deployment.client.release(verdict.hold)
        deployment.settle()
        assert deployment.left() == LIMIT

    run(main)


def test_request_waits_in_the_line_for_what_comes_back():
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


def test_request_over_the_quota_hears_at_once_when_to_come_back():
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


def test_successor_is_asked_when_the_counting_host_is_lost():
    """Each request is refused for a second when the counting host freezes.

    Asks to it are never answered. The host is passed over a moment later, when a report
    to it has timed out.
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


def test_nothing_is_let_through_while_nobody_counts(monkeypatch):
    """A workspace gets several times its quota while no host counts.

    Each entry host lets through for itself what is left to all of them.
    """
    monkeypatch.setattr(quota_client, "FAILOVER_SECONDS", 0.2)

    async def main(deployment: Deployment) -> None:
        deployment.counting.name = None
        verdict = await deployment.client.async_hold(deployment.request(1))
        assert verdict == QuotaVerdict(1.0, counted=False)

    run(main)


@pytest.mark.parametrize("lost", ["no lease", "lease lost while it waits"])
def test_host_that_may_not_count_sends_its_askers_on(lost):
    """Requests wait in the line of a host that has lost its lease.

    Another host counts by then, and what this one would let through comes on top. Its
    clock stands still here, so that nothing comes back to the quota meanwhile.
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


def test_reservation_whose_answer_is_lost_is_settled(monkeypatch):
    """A workspace pays for each answer that is lost with a connection.

    The counting host had reserved; the host asks again, and knows nothing of it.
    """
    monkeypatch.setattr(quota_client, "FAILOVER_SECONDS", 0.1)
    monkeypatch.setattr(quota_client, "REPLY_TIMEOUT", 0.05)

    async def main(deployment: Deployment) -> None:
        deployment.links.deaf.add(FIRST)
        verdict = await deployment.client.async_hold(deployment.request(300, 0.0))
        assert not verdict.counted
        assert deployment.left() < LIMIT
        deployment.settle()
        assert deployment.left() == LIMIT

    run(main)


def test_reservation_of_a_caller_that_has_left_is_settled():
    """A workspace pays for callers that leave while their requests wait in the line."""

    async def main(deployment: Deployment) -> None:
        deployment.links.deaf.add(FIRST)
        task = await curio.spawn(deployment.client.async_hold, deployment.request(300))
        await curio.sleep(0.05)
        await task.cancel()
        assert deployment.left() == LIMIT - 300
        deployment.settle()
        assert deployment.left() == LIMIT

    run(main)


def test_repeat_is_refused_beyond_its_bound_without_waiting():
    async def main(deployment: Deployment) -> None:
        ledger = deployment.links.host_by_name[FIRST].counter.ledger
        ledger.record_usage("wards", LIMIT, 0.0, deployment.clock.now())
        small = await deployment.client.async_hold_repeat(deployment.request(100))
        large = await deployment.client.async_hold_repeat(deployment.request(900))
        assert small.wait is None
        assert large.wait is not None

    run(main)


def test_successor_hears_what_is_reserved_at_another_host():
    """A queue behind a lost owner is sent on top of what the successor lets through."""

    async def main(deployment: Deployment) -> None:
        await deployment.client.async_hold(deployment.request(300))
        first = deployment.account.unacknowledged(LEDGER)
        second = deployment.account.unacknowledged(f"{SECOND}/i-{SECOND}")
        assert first.held_by_workspace == {"wards": 0}
        assert second.held_by_workspace == {"wards": 300}

    run(main)
