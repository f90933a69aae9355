"""Tests of workspace quotas over several entry hosts."""

import pytest

from bitterntiller.components.config.models import Config
from bitterntiller.components.dispatch.quota_counter import LENT_FRACTION, QuotaContext
from bitterntiller.components.dispatch.quota_queue import QuotaRequest
from bitterntiller.components.dispatch.quotas import (
    RESERVATION_EXPIRY_SECONDS,
    QuotaLedger,
)
from bitterntiller.components.entry.quota import QuotaAccount, QuotaHold
from bitterntiller.components.settings.models import (
    RETRY_OVERDRAFT_FRACTION,
    QuotaWindow,
)
from bitterntiller.core.clock import ManualClock
from tests.components.entry.quota_hosts import COUNTER, QuotaHosts, workspace

WORKSPACE = workspace(1000.0, 1000.0)
CONFIG = Config(1, {}, {}, {"wards": WORKSPACE}, {})
WINDOW = QuotaWindow(seconds=4.0)
LIMIT = 5000
HOSTS = 5
SUCCESSOR = "successor"


def five_hosts() -> QuotaHosts:
    """Return hosts that have each sent something and were lent quota."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    for host in range(HOSTS):
        shared.send(host, 1)
    shared.report()
    shared.report()
    return shared


def test_hosts_without_a_counting_host_send_only_what_they_were_lent():
    """An overloading workspace gets several times its quota for a moment.

    The counting host dies. Each entry host knows that a whole burst is left and
    continues to admit it until it learns of the next counting host.
    """
    shared = five_hosts()
    sent = 0
    for account in shared.accounts:
        while (hold := account.hold_lent(WORKSPACE, 20)) is not None:
            account.spend(WORKSPACE, 20, hold)
            sent += 20
    assert 0 < sent <= LENT_FRACTION * LIMIT


def test_usage_is_reported_to_a_new_ledger():
    """Each loss of the counting host gives a workspace another whole window.

    All hosts have used their quota. The next counting host knows only their reports.
    """
    shared = five_hosts()
    sent = sum(shared.send_all(host, 50, 200) for host in range(HOSTS))
    shared.replace_counter(SUCCESSOR)
    shared.report()
    sent += sum(shared.send_all(host, 50, 200) for host in range(HOSTS))
    assert sent <= LIMIT


def test_new_ledger_admits_only_the_share_of_the_hosts_that_report_to_it():
    """A workspace gets a second window from a counting host that half of the hosts use.

    Those hosts have used little; the others have used up the quota.
    """
    shared = five_hosts()
    sent = sum(shared.send_all(host, 50, 200) for host in (0, 1, 2))
    shared.replace_counter(SUCCESSOR, [3, 4])
    shared.report()
    sent += sum(shared.send_all(host, 50, 200) for host in (3, 4))
    assert sent <= 1.4 * LIMIT


@pytest.mark.parametrize("hosts", [1, 9, 60])
def test_usage_stays_within_the_limit_in_every_window(hosts):
    """A workspace with six times the demand of its quota exceeds it in some window.

    Lent quota, and amounts that were reserved but not sent yet, were not counted.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, hosts)
    sent = []
    for _ in range(200):
        shared.clock.advance(0.1)
        sent.append(
            sum(shared.send_all(host, 20, 60 // hosts) for host in range(hosts))
        )
        shared.report()
    spans = [sum(sent[at : at + 40]) for at in range(160)]
    assert max(spans) <= LIMIT
    assert min(spans) >= 3500


def test_partitioned_hosts_use_only_their_share():
    """A network partition gives a workspace its quota twice.

    Two of five hosts reach only another counting host, while the other three continue
    with the first one.
    """
    shared = five_hosts()
    shared.replace_counter(SUCCESSOR, [0, 1])
    sent = 0
    for _ in range(40):
        shared.clock.advance(0.1)
        sent += sum(shared.send_all(host, 20, 6) for host in range(HOSTS))
        shared.report()
    assert sent <= 1.15 * LIMIT


def test_usage_at_another_ledger_is_reported_after_a_partition():
    """A partition heals, and a workspace gets the quota it used during it once more."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    assert shared.send_all(0, 20, 5) == 100
    shared.report([0])
    shared.clock.advance(0.5)
    shared.replace_counter(SUCCESSOR, [0])
    shared.report([0])
    assert shared.send_all(0, 20, 2) == 40
    shared.report([0])
    shared.clock.advance(0.5)
    shared.replace_counter(COUNTER, [0])
    shared.report([0])
    assert shared.counter.ledger.state(
        "wards", CONFIG, 1.0, shared.clock.now()
    ).remaining == (LIMIT - 140 - int(sum(shared.counter.ledger.lent("0").values())))


def test_started_host_admits_nothing_without_a_reservation():
    """Hosts that were killed together admit a whole window when they start."""
    started = QuotaAccount(ManualClock(), WINDOW)
    assert started.hold_lent(WORKSPACE, 1) is None


def test_queue_that_drains_at_once_stays_within_one_window():
    """A workspace exceeds its quota after a pause in which nothing was sent.

    Its requests are admitted over two windows, wait for a lost owner, and are all sent
    at the moment when the next owner grants them.
    """
    shared = five_hosts()
    held = 0
    for _ in range(80):
        shared.clock.advance(0.1)
        for host in range(HOSTS):
            found_holds = [shared.ask(host, 50) for _ in range(4)]
            held += 50 * sum(isinstance(found, QuotaHold) for found in found_holds)
        shared.report()
    assert 0.9 * LIMIT <= held <= LIMIT


def test_request_that_ends_unsent_releases_its_hold():
    """A workspace is refused for a window after its requests ended unsent."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    holds = []
    while isinstance(hold := shared.ask(0, 250), QuotaHold):
        holds.append(hold)
    assert not shared.send(1, 250)
    for hold in holds:
        shared.accounts[0].release(hold)
    shared.report([0])
    lent = sum(shared.counter.ledger.lent("0").values())
    assert shared.state().remaining == LIMIT - lent
    assert shared.state().level == shared.state().depth - lent


def test_holds_of_a_lost_host_count_as_used():
    """A workspace exceeds its quota after a host was suspended and resumes.

    The counting host released the host's reservations, and other hosts used them. When
    the host resumes, it sends its requests all the same.
    """
    shared = five_hosts()
    held = sum(isinstance(shared.ask(0, 100), QuotaHold) for _ in range(60)) * 100
    shared.forget(0)
    sent = 0
    for _ in range(39):
        shared.clock.advance(0.1)
        sent += sum(shared.send_all(host, 50, 4) for host in range(1, HOSTS))
        shared.report(range(1, HOSTS))
    assert held >= 500
    assert held + sent <= LIMIT


def test_lent_quota_is_not_admitted_to_other_hosts():
    """A workspace exceeds its quota by requests that hosts admit from lent quota.

    Meanwhile another host reserves all that is left.
    """
    shared = five_hosts()
    sent = shared.send_all(4, 50, 200)
    for account in shared.accounts[:4]:
        while (hold := account.hold_lent(WORKSPACE, 5)) is not None:
            account.spend(WORKSPACE, 5, hold)
            sent += 5
    assert sent <= shared.state().depth


def test_lent_quota_is_not_used_while_a_report_is_in_flight():
    """A host uses its old lent quota although the counting host has replaced it.

    The reply to its report was lost, and the two hosts disagree on the lent amount.
    """
    shared = five_hosts()
    account = shared.accounts[0]
    account.unacknowledged(COUNTER)
    assert account.hold_lent(WORKSPACE, 5) is None
    shared.report([0])
    assert account.hold_lent(WORKSPACE, 5) is not None


def test_unsettled_reservation_expires():
    """Each lost reply permanently reduces the quota of a workspace."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    assert isinstance(shared.ask(0, 500), QuotaHold)
    shared.clock.advance(RESERVATION_EXPIRY_SECONDS + 1)
    shared.counter.ledger.expire_reservations(shared.clock.now())
    assert shared.state().remaining == LIMIT


def test_reservation_with_a_lost_reply_is_settled_by_the_next_report():
    """A host calls again, and its workspace is charged for both reservations.

    The first reply was lost with its connection after the amount was reserved.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    account = shared.accounts[0]
    number = account.number()
    ask = QuotaRequest("0", number, "r", "wards", 500, 0.0, 0.0, 1)
    assert (
        shared.counter.decide(ask, QuotaContext(CONFIG, 1.0), shared.clock.now())
        is not None
    )
    account.abandon_reservation(COUNTER, number)
    shared.report([0])
    assert shared.state().remaining == LIMIT


def test_repeated_quota_request_reserves_once():
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    ask = QuotaRequest("0", 7, "r", "wards", 500, 0.0, 0.0, 1)
    for _ in range(3):
        shared.counter.decide(ask, QuotaContext(CONFIG, 1.0), shared.clock.now())
    assert shared.state().remaining == LIMIT - 500


def test_repeat_counts_like_a_first_run():
    """A workspace exceeds its quota while many of its requests fail.

    Each failed request is sent to a second upstream, which runs it as well.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    assert shared.send(0, 500)
    shared.accounts[0].spend(WORKSPACE, 500, None)
    shared.report([0])
    assert shared.state().limit - shared.state().remaining >= 1000


def test_usage_is_reported_to_a_new_ledger_with_its_times():
    """A workspace gets quota twice if the counting host is lost after a burst.

    The next counting host treated the usage of the last second as spread evenly over
    the window, so most of it left the window too early.
    """
    shared = five_hosts()
    shared.clock.advance(2 * WINDOW.seconds)
    first = sum(shared.send_all(host, 50, 200) for host in range(HOSTS))
    shared.clock.advance(0.3)
    shared.replace_counter(SUCCESSOR)
    shared.report()
    sent = 0
    for _ in range(32):
        shared.report()
        sent += sum(shared.send_all(host, 50, 4) for host in range(HOSTS))
        shared.clock.advance(0.1)
    assert first + sent <= LIMIT


def test_repeats_exceed_a_quota_by_a_bounded_amount():
    """Half of a workspace's requests fail, and their repeats exceed its quota.

    The quota is used up when they fail, and each of them is sent again.
    """
    shared = five_hosts()
    now = shared.clock.now()
    for host in range(HOSTS):
        shared.send_all(host, 50, 200)
    shared.counter.ledger.record_usage(
        "wards", max(0.0, shared.state().remaining), 0.0, now
    )
    repeats = 0
    for number in range(50):
        ask = QuotaRequest("0", number + 1, "r", "wards", 50, 0.0, 0.0, number)
        decision = shared.counter.decide_repeat(ask, QuotaContext(CONFIG, 1.0), now)
        repeats += decision.refusal is None
    assert 0 < repeats * 50 <= RETRY_OVERDRAFT_FRACTION * LIMIT


def test_workspace_over_its_quota_is_served_at_a_steady_rate():
    """A workspace is refused everything for 5 s of each 8 s.

    Its demand is six times its quota. It gets a whole window in the first seconds, and
    nothing until that usage has left the window.
    """
    clock, ledger = ManualClock(), QuotaLedger(WINDOW)
    sent = []
    for _ in range(200):
        clock.advance(0.1)
        state = ledger.state("wards", CONFIG, 1.0, clock.now())
        used = min(600.0, max(0.0, min(state.remaining, state.level)))
        ledger.record_usage("wards", used, 0.0, clock.now())
        sent.append(used)
    seconds = [sum(sent[at : at + 10]) for at in range(20, 190)]
    assert min(seconds) >= 850
    assert max(seconds) <= 1150 + 1000
    spans = [sum(sent[at : at + 40]) for at in range(160)]
    assert max(spans) <= LIMIT


def test_idle_workspace_may_use_all_of_its_window():
    """A request larger than the token bucket of its workspace is never served."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    shared.clock.advance(WINDOW.seconds)
    assert shared.send(0, 4500)
    assert not shared.send(1, 4500)
    shared.report()
    shared.clock.advance(WINDOW.seconds + 1)
    assert shared.send(1, 4500)


def test_bucket_stays_within_the_window():
    quota = WORKSPACE.quota
    for besides in (0, 900, 9_000, 90_000):
        for factor in (0.5, 1.0, 1.1):
            window = WINDOW._replace(besides=besides, factor=factor)
            bucket = window.bucket(quota.rate, quota.burst)
            most = window.limit(quota.rate, quota.burst)
            assert bucket.rate * window.seconds + bucket.depth <= most + 1e-6
    assert WINDOW.bucket(quota.rate, quota.burst) == (quota.rate, quota.burst)


def test_bucket_uses_what_the_window_allows_beyond_the_rate():
    """A workspace is refused although a third of its window is never used.

    The deployment allows far more in each window than the quota's rate provides. All of
    the excess was added to the depth of the bucket, which is used only once.
    """
    quota = WORKSPACE.quota
    window = WINDOW._replace(besides=9_000)
    bucket = window.bucket(quota.rate, quota.burst)
    most = window.limit(quota.rate, quota.burst)
    assert bucket.rate * window.seconds >= 0.7 * most
    assert bucket.depth >= quota.burst
