"""Quotas of workspaces over several entry hosts."""

from bitterntiller.components.config.models import Config, Quota, Selector, Workspace
from bitterntiller.components.dispatch.quotas import QuotaLedger
from bitterntiller.components.entry.quota import QuotaAccount
from bitterntiller.components.entry.quota_level import REPEAT_PART
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages

QUOTA = Quota(rate=1000.0, burst=1000.0, counts_tokens=True, untold=1)
WORKSPACE = Workspace("wards", (), "", (), Selector(), {}, quota=QUOTA)
CONFIG = Config(1, {}, {}, {"wards": WORKSPACE}, {})
WINDOW = QuotaWindow(seconds=4.0)
LIMIT = 5000
DEPTH = 1000
HOSTS = 5


def report(
    account: QuotaAccount, ledger: QuotaLedger, now: float, part: float = 1.0
) -> None:
    """Tell the ledger what a host has sent and holds, and the host what is left."""
    name = str(id(ledger))
    told = account.untold(name)
    for used in told.used:
        ledger.note(used.workspace, used.amount, used.age, now)
    ledger.note_held(str(id(account)), told.held_by_workspace)
    levels = [
        messages.QuotaLevel(
            workspace=workspace, amount=int(ledger.left(workspace, CONFIG, part, now))
        )
        for workspace in told.held_by_workspace
    ]
    account.note_told(name, told)
    account.take_levels(levels, HOSTS, told)


def send(account: QuotaAccount, amount: int) -> bool:
    """Hold an amount and send at once; return whether the quota let it."""
    if account.hold(WORKSPACE, amount).wait > 0:
        return False
    account.spend(WORKSPACE, amount, amount)
    return True


def admit(account: QuotaAccount, amount: int, tries: int) -> int:
    return sum(amount for _ in range(tries) if send(account, amount))


def accounts(clock: ManualClock, ledger: QuotaLedger) -> list[QuotaAccount]:
    found = [QuotaAccount(clock, WINDOW) for _ in range(HOSTS)]
    for account in found:
        send(account, 0)
        report(account, ledger, clock.now())
    return found


def test_hosts_that_lost_the_counting_host_admit_one_burst_together():
    """A workspace that asks for too much gets several times its quota for a moment.

    The host that counts dies. Each entry host had heard that a whole burst is left, and
    admits a whole burst before it hears of another counting host.
    """
    clock = ManualClock()
    hosts = accounts(clock, QuotaLedger(WINDOW))
    admitted = sum(admit(host, 50, 200) for host in hosts)
    assert LIMIT <= admitted <= LIMIT + HOSTS * 50


def test_new_ledger_is_told_what_was_used():
    """Each loss of the counting host gives a workspace another whole window.

    All have used what they had. The successor knows nothing of it but what they tell.
    """
    clock = ManualClock()
    hosts = accounts(clock, QuotaLedger(WINDOW))
    for host in hosts:
        admit(host, 50, 200)
    successor = QuotaLedger(WINDOW)
    for host in hosts * 2:
        report(host, successor, clock.now())
    assert sum(admit(host, 50, 200) for host in hosts) <= 2 * HOSTS * 50


def test_use_keeps_to_the_limit_of_every_window():
    """A workspace that asks for six times its quota gets more than it in some window.

    Hosts admit by levels that are a report old; what that adds stays below a tenth.
    """
    clock = ManualClock()
    ledger = QuotaLedger(WINDOW)
    hosts = accounts(clock, ledger)
    admitted = []
    for _ in range(200):
        clock.advance(0.1)
        admitted.append(0)
        for host in hosts:
            admitted[-1] += admit(host, 20, 6)
            report(host, ledger, clock.now())
    spans = [sum(admitted[at : at + 40]) for at in range(160)]
    assert max(spans) <= 1.1 * LIMIT
    assert min(spans) >= 3500


def test_host_tells_when_to_come_back():
    clock = ManualClock()
    host = accounts(clock, QuotaLedger(WINDOW))[0]
    assert admit(host, 500, 2) == 1000
    wait = host.hold(WORKSPACE, 100).wait
    assert 0.2 <= wait <= 1.0


def test_workspace_far_over_its_quota_is_told_to_wait_for_long():
    """A caller comes back after a moment, is refused again, and gives up.

    Its workspace asks for four times its quota, so all that was refused comes back too.
    """
    clock = ManualClock()
    host = QuotaAccount(clock, WINDOW)
    waits = []
    admit(host, 500, 12)
    for _ in range(60):
        clock.advance(0.05)
        waits.append(host.hold(WORKSPACE, 200).wait)
    assert max(waits) > 2.0


def test_hosts_that_are_cut_off_use_their_part_alone():
    """A cut in two gives a workspace its quota twice.

    Two of five hosts reach another counting host only, while the three that are left
    go on with the first one.
    """
    clock = ManualClock()
    ledgers = (QuotaLedger(WINDOW), QuotaLedger(WINDOW))
    hosts = accounts(clock, ledgers[0])
    admitted = 0
    for _ in range(40):
        clock.advance(0.1)
        for number, host in enumerate(hosts):
            admitted += admit(host, 20, 6)
            side = int(number < 2)
            report(host, ledgers[side], clock.now(), part=0.4 if side else 0.6)
    assert admitted <= 1.15 * LIMIT


def test_use_at_another_ledger_is_told_on_the_return():
    """A cut heals, and a workspace gets what it has used behind the cut once more."""
    clock = ManualClock()
    first, other = QuotaLedger(WINDOW), QuotaLedger(WINDOW)
    hosts = accounts(clock, first)
    admit(hosts[0], 100, 5)
    report(hosts[0], first, clock.now())
    clock.advance(0.5)
    report(hosts[0], other, clock.now())
    assert admit(hosts[0], 100, 5) == 500
    report(hosts[0], other, clock.now())
    clock.advance(0.5)
    report(hosts[0], first, clock.now())
    assert first.left("wards", CONFIG, 1.0, clock.now()) == LIMIT - 1000


def test_started_host_lets_little_through_before_it_has_heard():
    """Hosts that were killed together let a whole window through at their start."""
    clock = ManualClock()
    started = QuotaAccount(clock, WINDOW)
    assert admit(started, 10, 1000) <= 300


def test_queue_that_empties_at_once_keeps_to_one_window():
    """A workspace gets more than its quota after a pause in which nothing was sent.

    Its requests are admitted over two windows, wait behind a lost owner, and are all
    sent in the moment when another one answers.
    """
    clock = ManualClock()
    ledger = QuotaLedger(WINDOW)
    hosts = accounts(clock, ledger)
    held = 0
    for _ in range(80):
        clock.advance(0.1)
        for host in hosts:
            tries = [host.hold(WORKSPACE, 50).wait == 0 for _ in range(4)]
            held += 50 * sum(tries)
            report(host, ledger, clock.now())
    assert LIMIT <= held <= 1.1 * LIMIT


def test_request_that_ends_unsent_gives_back_what_it_held():
    """A workspace is refused for a window after its requests were given up unsent."""
    clock = ManualClock()
    ledger = QuotaLedger(WINDOW)
    hosts = accounts(clock, ledger)
    while hosts[0].hold(WORKSPACE, 500).wait == 0:
        report(hosts[0], ledger, clock.now())
    report(hosts[1], ledger, clock.now())
    assert not send(hosts[1], 500)
    held = hosts[0].untold("").held_by_workspace["wards"]
    hosts[0].release(WORKSPACE, held)
    for host in hosts:
        report(host, ledger, clock.now())
    assert ledger.left("wards", CONFIG, 1.0, clock.now()) == LIMIT
    assert admit(hosts[0], 50, 1) == 50


def test_repeat_counts_like_a_first_sending():
    """A workspace uses more than its quota while many of its requests fail.

    Each that failed is sent to a second upstream, which runs it as well.
    """
    clock = ManualClock()
    ledger = QuotaLedger(WINDOW)
    host = accounts(clock, ledger)[0]
    assert send(host, 500)
    host.spend(WORKSPACE, 500, 0)
    report(host, ledger, clock.now())
    assert ledger.left("wards", CONFIG, 1.0, clock.now()) == LIMIT - 1000


def test_new_ledger_hears_when_it_was_used():
    """A burst, then the loss of the counting host: a workspace gets a part twice.

    The successor took the use of the last second for one spread evenly over the
    window, and let it leave the window long before its time.
    """
    clock = ManualClock()
    hosts = accounts(clock, QuotaLedger(WINDOW))
    clock.advance(2 * WINDOW.seconds)
    for host in hosts:
        admit(host, 50, 200)
    clock.advance(0.3)
    successor = QuotaLedger(WINDOW)
    for host in hosts * 2:
        report(host, successor, clock.now())
    for _ in range(32):
        for host in hosts:
            report(host, successor, clock.now())
            assert admit(host, 50, 4) == 0
        clock.advance(0.1)


def test_lost_ledger_gives_back_what_has_left_the_window():
    """A workspace that used its burst gets its rate on top while no host counts.

    The burst is within the window, so nothing has come back yet.
    """
    clock = ManualClock()
    host = accounts(clock, QuotaLedger(WINDOW))[0]
    first = admit(host, 50, 200)
    clock.advance(0.9 * WINDOW.seconds)
    assert admit(host, 50, 200) == 0
    clock.advance(0.2 * WINDOW.seconds)
    assert admit(host, 50, 200) == first


def test_large_requests_of_several_hosts_fit_beside_each_other():
    """A workspace gets twice its quota by large requests at several hosts at once.

    Each host lets one through as long as anything at all is left.
    """
    clock = ManualClock()
    ledger = QuotaLedger(WINDOW)
    hosts = accounts(clock, ledger)
    admitted = sum(admit(host, 100, 7) for host in hosts)
    for _ in range(2):
        for host in hosts:
            report(host, ledger, clock.now())
    admitted += sum(admit(host, 1000, 2) for host in hosts)
    assert admitted <= LIMIT


def test_host_lets_one_large_request_through_between_two_reports():
    """Every host takes what is left for its own when large requests come together."""
    clock = ManualClock()
    hosts = accounts(clock, QuotaLedger(WINDOW))
    assert sum(admit(host, 1100, 4) for host in hosts) <= HOSTS * 1100


def test_request_larger_than_an_own_part_is_let_through():
    """A large request is refused by each host though hardly anything is used."""
    clock = ManualClock()
    hosts = accounts(clock, QuotaLedger(WINDOW))
    assert admit(hosts[0], 4 * LIMIT // HOSTS, 2) == 4 * LIMIT // HOSTS


def test_repeats_exceed_a_quota_by_a_bound():
    """Half of a workspace's requests fail, and their repeats exceed its quota.

    All of it is used when they fail, and each is sent again.
    """
    clock = ManualClock()
    ledger = QuotaLedger(WINDOW)
    hosts = accounts(clock, ledger)
    for host in hosts:
        admit(host, 50, 20)
        report(host, ledger, clock.now())
    report(hosts[0], ledger, clock.now())
    repeats = sum(hosts[0].hold_repeat(WORKSPACE, 50) for _ in range(50))
    assert 0 < repeats * 50 <= REPEAT_PART * LIMIT
    assert not hosts[0].has_room_for_repeat(WORKSPACE, 50)


def paced(ledger: QuotaLedger, now: float) -> float:
    return ledger.paced("wards", CONFIG, 1.0, now)


def test_workspace_over_its_quota_is_served_at_its_rate_all_the_while():
    """For five seconds of each eight a workspace is refused also what it is owed.

    It asks for six times its quota, gets a whole window of it in the first seconds,
    and nothing until that has left the window.
    """
    clock, ledger = ManualClock(), QuotaLedger(WINDOW)
    admitted = []
    for _ in range(200):
        clock.advance(0.1)
        used = min(600.0, max(0.0, paced(ledger, clock.now())))
        ledger.note("wards", used, 0.0, clock.now())
        admitted.append(used)
    seconds = [sum(admitted[at : at + 10]) for at in range(20, 190)]
    assert min(seconds) >= 0.85 * QUOTA.rate
    assert max(seconds) <= 1.15 * QUOTA.rate + DEPTH
    spans = [sum(admitted[at : at + 40]) for at in range(160)]
    assert max(spans) <= LIMIT


def test_idle_workspace_may_use_all_of_its_window():
    """A request is never served that is larger than the bucket of its workspace."""
    ledger = QuotaLedger(WINDOW)
    ledger.note("wards", 900, 0.0, 10.0)
    assert paced(ledger, 10.1) <= 200
    assert paced(ledger, 12.0) == LIMIT - 900


def test_bucket_keeps_within_the_window():
    for window in (WINDOW, WINDOW._replace(factor=0.5), WINDOW._replace(besides=900)):
        bucket = window.bucket(QUOTA.rate, QUOTA.burst)
        most = window.limit(QUOTA.rate, QUOTA.burst)
        assert bucket.rate * window.seconds + bucket.depth <= most + 1e-6
    assert window.bucket(QUOTA.rate, QUOTA.burst) == (QUOTA.rate, QUOTA.burst + 900)
