"""Quotas of workspaces over several entry hosts."""

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
    """Return hosts that have all sent something, and were lent a part."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    for host in range(HOSTS):
        shared.send(host, 1)
    shared.report()
    shared.report()
    return shared


def test_hosts_that_lost_the_counting_host_send_what_they_were_lent():
    """A workspace that asks for too much gets several times its quota for a moment.

    The host that counts dies. Each entry host had heard that a whole burst is left, and
    goes on by that until it hears of another counting host.
    """
    shared = five_hosts()
    sent = 0
    for account in shared.accounts:
        while (hold := account.hold_lent(WORKSPACE, 20)) is not None:
            account.spend(WORKSPACE, 20, hold)
            sent += 20
    assert 0 < sent <= LENT_FRACTION * LIMIT


def test_new_ledger_is_told_what_was_used():
    """Each loss of the counting host gives a workspace another whole window.

    All have used what they had. The successor knows nothing of it but what they tell.
    """
    shared = five_hosts()
    sent = sum(shared.send_all(host, 50, 200) for host in range(HOSTS))
    shared.replace_counter(SUCCESSOR)
    shared.report()
    sent += sum(shared.send_all(host, 50, 200) for host in range(HOSTS))
    assert sent <= LIMIT


def test_new_ledger_counts_for_the_hosts_that_it_has_heard():
    """A workspace gets a second window from a successor that half of the hosts know.

    Those that have turned to it have used little; the others have used what there was.
    """
    shared = five_hosts()
    sent = sum(shared.send_all(host, 50, 200) for host in (0, 1, 2))
    shared.replace_counter(SUCCESSOR, [3, 4])
    shared.report()
    sent += sum(shared.send_all(host, 50, 200) for host in (3, 4))
    assert sent <= 1.4 * LIMIT


@pytest.mark.parametrize("hosts", [1, 9, 60])
def test_use_keeps_to_the_limit_of_every_window(hosts):
    """A workspace that asks for six times its quota gets more than it in some window.

    What a host is lent, and what it has reserved but not sent yet, was not counted.
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


def test_hosts_that_are_cut_off_use_their_part_alone():
    """A cut in two gives a workspace its quota twice.

    Two of five hosts reach another counting host only, while the three that are left
    go on with the first one.
    """
    shared = five_hosts()
    shared.replace_counter(SUCCESSOR, [0, 1])
    sent = 0
    for _ in range(40):
        shared.clock.advance(0.1)
        sent += sum(shared.send_all(host, 20, 6) for host in range(HOSTS))
        shared.report()
    assert sent <= 1.15 * LIMIT


def test_use_at_another_ledger_is_told_on_the_return():
    """A cut heals, and a workspace gets what it has used behind the cut once more."""
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


def test_started_host_sends_nothing_before_it_has_asked():
    """Hosts that were killed together let a whole window through at their start."""
    started = QuotaAccount(ManualClock(), WINDOW)
    assert started.hold_lent(WORKSPACE, 1) is None


def test_queue_that_empties_at_once_keeps_to_one_window():
    """A workspace gets more than its quota after a pause in which nothing was sent.

    Its requests are admitted over two windows, wait behind a lost owner, and are all
    sent in the moment when another one answers.
    """
    shared = five_hosts()
    held = 0
    for _ in range(80):
        shared.clock.advance(0.1)
        for host in range(HOSTS):
            asked = [shared.ask(host, 50) for _ in range(4)]
            held += 50 * sum(isinstance(found, QuotaHold) for found in asked)
        shared.report()
    assert 0.9 * LIMIT <= held <= LIMIT


def test_request_that_ends_unsent_gives_back_what_it_held():
    """A workspace is refused for a window after its requests were given up unsent."""
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


def test_host_that_is_lost_has_used_what_it_held():
    """A workspace gets more than its quota after a host has frozen and wakes up.

    The counting host gave back what the host had reserved; others used it. When the
    host wakes up its requests are sent as if nothing had been.
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


def test_what_hosts_were_lent_is_not_let_through_to_others():
    """A workspace gets more than its quota at once from hosts that did not ask.

    Another one asks for all that is left, while they use what they were lent.
    """
    shared = five_hosts()
    sent = shared.send_all(4, 50, 200)
    for account in shared.accounts[:4]:
        while (hold := account.hold_lent(WORKSPACE, 5)) is not None:
            account.spend(WORKSPACE, 5, hold)
            sent += 5
    assert sent <= shared.state().depth


def test_host_uses_nothing_that_it_was_lent_while_its_report_is_under_way():
    """A host goes on by what it was lent though the counting host has lent it anew.

    The answer to its report was lost; the two believe different amounts.
    """
    shared = five_hosts()
    account = shared.accounts[0]
    account.unacknowledged(COUNTER)
    assert account.hold_lent(WORKSPACE, 5) is None
    shared.report([0])
    assert account.hold_lent(WORKSPACE, 5) is not None


def test_reservation_that_nobody_settles_is_given_back_after_a_while():
    """Each answer that is lost takes something from a workspace for good."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    assert isinstance(shared.ask(0, 500), QuotaHold)
    shared.clock.advance(RESERVATION_EXPIRY_SECONDS + 1)
    shared.counter.ledger.expire_reservations(shared.clock.now())
    assert shared.state().remaining == LIMIT


def test_lost_answer_is_settled_by_the_next_report():
    """A host asks again, and its workspace pays for both reservations.

    The first answer was lost with its connection after the counting host had reserved.
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


def test_repeated_ask_reserves_once():
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    ask = QuotaRequest("0", 7, "r", "wards", 500, 0.0, 0.0, 1)
    for _ in range(3):
        shared.counter.decide(ask, QuotaContext(CONFIG, 1.0), shared.clock.now())
    assert shared.state().remaining == LIMIT - 500


def test_repeat_counts_like_a_first_sending():
    """A workspace uses more than its quota while many of its requests fail.

    Each that failed is sent to a second upstream, which runs it as well.
    """
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    assert shared.send(0, 500)
    shared.accounts[0].spend(WORKSPACE, 500, None)
    shared.report([0])
    assert shared.state().limit - shared.state().remaining >= 1000


def test_new_ledger_hears_when_it_was_used():
    """A burst, then the loss of the counting host: a workspace gets a part twice.

    The successor took the use of the last second for one spread evenly over the
    window, and let it leave the window long before its time.
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


def test_repeats_exceed_a_quota_by_a_bound():
    """Half of a workspace's requests fail, and their repeats exceed its quota.

    All of it is used when they fail, and each is sent again.
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


def test_workspace_over_its_quota_is_served_at_its_rate_all_the_while():
    """For five seconds of each eight a workspace is refused also what it is owed.

    It asks for six times its quota, gets a whole window of it in the first seconds,
    and nothing until that has left the window.
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
    """A request is never served that is larger than the bucket of its workspace."""
    shared = QuotaHosts(WORKSPACE, WINDOW, HOSTS)
    shared.clock.advance(WINDOW.seconds)
    assert shared.send(0, 4500)
    assert not shared.send(1, 4500)
    shared.report()
    shared.clock.advance(WINDOW.seconds + 1)
    assert shared.send(1, 4500)


def test_bucket_keeps_within_the_window():
    quota = WORKSPACE.quota
    for besides in (0, 900, 9_000, 90_000):
        for factor in (0.5, 1.0, 1.1):
            window = WINDOW._replace(besides=besides, factor=factor)
            bucket = window.bucket(quota.rate, quota.burst)
            most = window.limit(quota.rate, quota.burst)
            assert bucket.rate * window.seconds + bucket.depth <= most + 1e-6
    assert WINDOW.bucket(quota.rate, quota.burst) == (quota.rate, quota.burst)


def test_bucket_uses_what_the_window_allows_beyond_the_rate():
    """A workspace is refused while a third of its window is never used.

    The deployment allows far more in each window than the quota's rate gives. All of
    that was the depth of the bucket, which is emptied once.
    """
    quota = WORKSPACE.quota
    window = WINDOW._replace(besides=9_000)
    bucket = window.bucket(quota.rate, quota.burst)
    most = window.limit(quota.rate, quota.burst)
    assert bucket.rate * window.seconds >= 0.7 * most
    assert bucket.depth >= quota.burst
