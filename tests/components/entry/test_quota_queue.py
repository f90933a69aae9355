"""Tests of the quota queue of a workspace and of quota reserved for retries."""

import pytest

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.quota_counter import QuotaContext
from bitterntiller.components.dispatch.quota_queue import (
    LARGEST_REQUEST_FRACTION,
    QuotaRequest,
    max_min_share,
)
from bitterntiller.components.dispatch.retry_reservations import (
    EARLY_RETRY_SECONDS,
    RETRY_GRACE_SECONDS,
    QuotaRefusal,
)
from bitterntiller.components.entry.quota import QuotaHold
from bitterntiller.components.settings.models import QuotaWindow
from tests.components.entry.quota_hosts import QuotaHosts, workspace

WORKSPACE = workspace(1000.0, 1000.0)
CONFIG = Config(1, {}, {}, {"wards": WORKSPACE}, {})
WINDOW = QuotaWindow(seconds=4.0)
LIMIT = 5000
HOSTS = 5


def test_request_larger_than_the_window_is_refused_without_a_reservation():
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    found = shared.ask(0, LIMIT + 1, patience=1.0)
    assert isinstance(found, QuotaRefusal)
    assert not found.retry_reserved


def test_one_huge_request_does_not_block_all_others():
    """A workspace is refused for half a minute after a request for most of its quota.

    The next request waits until there is enough for the largest recent request.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    assert shared.send(0, 4900)
    shared.report()
    shared.clock.advance(WINDOW.seconds + 1)
    served = 0
    for _ in range(300):
        shared.clock.advance(0.05)
        served += shared.send_all(1, 50, 1)
        shared.report()
    assert served >= (1 - LARGEST_REQUEST_FRACTION) * 300 * 50


def test_queue_is_served_in_the_order_of_arrival():
    """A new small request overtakes queued ones, as the replenished quota covers it."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    while isinstance(shared.ask(0, 100), QuotaHold):
        continue
    waiting = [shared.ask(host, 100, patience=1.0) for host in (1, 2, 3)]
    assert all(isinstance(found, QuotaRequest) for found in waiting)
    admitted = []
    for _ in range(100):
        shared.clock.advance(0.01)
        newcomer = shared.ask(4, 10)
        admitted += [decision.request.request_id for decision in shared.decide_queued()]
        assert isinstance(newcomer, QuotaRefusal) or len(admitted) == 3
    assert admitted == [found.request_id for found in waiting]


def test_request_that_would_wait_too_long_is_refused_at_once():
    """A caller is refused only after its objective has passed."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    while isinstance(shared.ask(0, 100), QuotaHold):
        continue
    waiting = 0
    while isinstance(found := shared.ask(1, 100, patience=0.3), QuotaRequest):
        waiting += 1
    assert 1 <= waiting <= 4
    assert isinstance(found, QuotaRefusal)


def test_request_leaves_the_queue_when_its_patience_ends():
    """A request stays queued long after its caller could have been refused.

    The available quota decreased after the request was queued.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    while isinstance(shared.ask(0, 100), QuotaHold):
        continue
    assert isinstance(shared.ask(1, 100, patience=0.2), QuotaRequest)
    shared.counter.ledger.record_usage("wards", 2000, 0.0, shared.clock.now())
    shared.clock.advance(0.21)
    decisions = shared.decide_queued()
    assert [decision.refusal is not None for decision in decisions] == [True]
    assert decisions[0].refusal.retry_after >= 1.0


def test_queue_is_admitted_when_the_quota_is_removed():
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    while isinstance(shared.ask(0, 100), QuotaHold):
        continue
    assert isinstance(shared.ask(1, 100, patience=0.2), QuotaRequest)
    free = CONFIG._replace(workspaces_by_name={"wards": WORKSPACE._replace(quota=None)})
    decisions = shared.counter.decide_queued(
        QuotaContext(free, 1.0), shared.clock.now()
    )
    assert [decision.refusal for decision in decisions] == [None]


@pytest.mark.parametrize(
    ("asked_for", "share"),
    [
        ([], 12.0),
        ([5.0], 12.0),
        ([20.0], 12.0),
        ([1.0, 4.0, 20.0], 7.0),
        ([9.0] * 3, 4.0),
    ],
)
def test_max_min_share_redistributes_what_others_do_not_need(asked_for, share):
    assert max_min_share(asked_for, 12.0) == share


def test_kind_with_low_demand_is_not_refused_because_of_one_with_high_demand():
    """Small lookups are refused as often as prompts of thousands of tokens.

    The prompts put their workspace far over its quota; refusing the lookups saves next
    to nothing.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    refused = 0
    for _ in range(200):
        shared.clock.advance(0.05)
        for _ in range(3):
            hold = shared.ask(0, 100, kind="prompts")
            if isinstance(hold, QuotaHold):
                shared.accounts[0].spend(WORKSPACE, 100, hold)
        hold = shared.ask(1, 5, kind="lookups")
        if isinstance(hold, QuotaHold):
            shared.accounts[1].spend(WORKSPACE, 5, hold)
        refused += not isinstance(hold, QuotaHold)
        shared.report()
    assert refused <= 4


def refuse(
    shared: QuotaHosts, retry_fingerprint: int, latest_retry: float = 4.0
) -> QuotaRefusal:
    """Use up the quota, send a request and return its refusal."""
    while isinstance(shared.ask(0, 100), QuotaHold):
        continue
    found = shared.ask(
        1, 100, retry_fingerprint=retry_fingerprint, latest_retry=latest_retry
    )
    assert isinstance(found, QuotaRefusal)
    return found


def test_quota_is_reserved_for_a_retry_at_its_time_and_not_before():
    """A caller that retries too early takes the quota of those with an earlier time."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    found = refuse(shared, retry_fingerprint=-1)
    assert found.retry_reserved
    shared.clock.advance(found.retry_after / 2)
    while isinstance(shared.ask(0, 20), QuotaHold):
        continue
    early = shared.ask(1, 100, retry_fingerprint=-1)
    assert isinstance(early, QuotaRefusal)
    assert early.retry_after == pytest.approx(found.retry_after / 2)
    shared.clock.advance(early.retry_after - EARLY_RETRY_SECONDS / 2)
    while isinstance(shared.ask(0, 20), QuotaHold):
        continue
    assert isinstance(shared.ask(1, 100, retry_fingerprint=-1), QuotaHold)


def test_reservation_for_a_missing_retry_is_released():
    """Callers that give up prevent a workspace from using its quota."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    found = refuse(shared, retry_fingerprint=-1)
    shared.clock.advance(found.retry_after + RETRY_GRACE_SECONDS + 0.01)
    late = shared.ask(1, 100, retry_fingerprint=-1)
    assert isinstance(late, QuotaHold)
    left = shared.state().remaining
    assert isinstance(shared.ask(1, 100, retry_fingerprint=-1), QuotaHold)
    assert shared.state().remaining == left - 100


def test_nothing_is_reserved_for_a_caller_that_would_not_wait():
    """The rate of a workspace is reserved for callers that have long given up."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    found = refuse(shared, retry_fingerprint=-1, latest_retry=0.05)
    assert not found.retry_reserved
    assert found.retry_after >= 0.2
