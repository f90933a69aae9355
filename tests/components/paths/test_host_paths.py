"""What a host knows of its own paths and of the hosts it sends through."""

import random

import pytest

from bitterntiller.components.paths.const import (
    MAX_KEPT_PATHS,
    MAX_NEEDED_RECEIVED,
    MAX_NEEDED_SENT,
    MAX_PROBES,
    PROBE_PERIOD,
    RELAY_MEMORY_SECONDS,
    SUSPECT_SECONDS,
    UNREPEATABLE_TRIAL_SECONDS,
    UNUSED_SECONDS,
)
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.paths.models import (
    CarriedBytes,
    DueProbe,
    PathFault,
    RelayCandidate,
)

NOW = 1000.0
REFUSED, SILENT, LOST, TRUNCATED = PathFault
FAULTS = (REFUSED, SILENT, LOST)
ANSWER = CarriedBytes(200, 0)
LATER = (NOW + 2.0, NOW + 2.0)
"""When a request was sent, and answered, after the faults of a test."""


def paths(seed: int = 1) -> HostPaths:
    return HostPaths("bole", random.Random(seed))


def candidates(*names: str, zone: str = "yeka") -> list[RelayCandidate]:
    return [RelayCandidate(name, f"{name}:1", zone) for name in names]


def test_failed_path_is_probed_each_second_until_it_works():
    known = paths()
    assert known.record_failed("e1:1", "e1", SILENT, NOW)
    assert not known.record_failed("e1:1", "e1", SILENT, NOW + 0.1)
    assert known.due_probes(NOW + 0.5) == []
    assert known.due_probes(NOW + PROBE_PERIOD) == [DueProbe("e1:1", "e1", "", 0)]
    assert known.due_probes(NOW + PROBE_PERIOD + 0.5) == []
    assert known.record_carried("e1:1", ANSWER, *LATER)
    assert not known.record_carried("e1:1", ANSWER, *LATER)
    assert not known.is_failed("e1:1")


def test_path_that_no_request_needs_is_dropped():
    """A host probed an upstream that had ended for ever."""
    known = paths()
    known.record_failed("e1:1", "e1", REFUSED, NOW)
    known.record_failed("e2:1", "e2", REFUSED, NOW)
    known.record_use("e2:1", NOW + 20)
    assert known.due_probes(NOW + UNUSED_SECONDS + 1) == [DueProbe("e2:1", "e2", "", 0)]
    assert not known.is_failed("e1:1")


def test_path_to_an_ended_upstream_is_not_probed_until_it_is_announced():
    """Every host probed the addresses of ended upstreams each second."""
    known = paths()
    known.record_failed("e1:1", "e1", REFUSED, NOW)
    announced: set[str] = set()
    for second in range(1, 10):
        assert known.due_probes(NOW + second, announced.__contains__) == []
    announced.add("e1")
    expected = [DueProbe("e1:1", "e1", "", 0)]
    assert known.due_probes(NOW + 10, announced.__contains__) == expected


def test_one_regained_path_lets_the_others_be_probed_at_once():
    known = paths()
    for number in range(3):
        known.record_failed(f"e{number}:1", f"e{number}", SILENT, NOW)
    known.record_carried("e0:1", ANSWER, *LATER)
    assert len(known.due_probes(NOW + 0.1)) == 2


def test_probes_and_state_are_bounded_at_many_upstreams():
    known = paths()
    for number in range(2 * MAX_KEPT_PATHS):
        known.record_failed(f"e{number}:1", f"e{number}", SILENT, NOW)
        known.record_relay(f"e{number}:1", "b", True, NOW)
    assert len(known.due_probes(NOW + PROBE_PERIOD)) == MAX_PROBES
    assert len(known.describe(NOW)) == MAX_KEPT_PATHS
    assert len(known._relay_results) == MAX_KEPT_PATHS


def test_idle_connections_from_before_a_silent_failure_are_not_trusted():
    """Requests were sent over kept connections that carried nothing any more."""
    known = paths()
    assert known.trusted_since(NOW) == float("-inf")
    known.record_failed("e1:1", "e1", REFUSED, NOW)
    assert known.trusted_since(NOW) == float("-inf")
    known.record_failed("e2:1", "e2", SILENT, NOW)
    assert known.trusted_since(NOW + 1) == NOW
    assert known.trusted_since(NOW + SUSPECT_SECONDS + 1) == float("-inf")


def test_hosts_that_reached_an_upstream_come_first_and_those_that_failed_last():
    known = paths()
    known.record_relay("e1:1", "c", True, NOW)
    known.record_relay("e1:1", "d", False, NOW)
    hosts = candidates("b", "c", "d")
    firsts = [known.rank_relays("e1:1", hosts, (), NOW)[0].name for _ in range(100)]
    lasts = {known.rank_relays("e1:1", hosts, (), NOW)[-1].name for _ in range(100)}
    assert firsts.count("c") > 80
    assert lasts == {"d"}
    later = NOW + RELAY_MEMORY_SECONDS + 1
    orders = {known.rank_relays("e1:1", hosts, (), later)[0].name for _ in range(100)}
    assert orders == {"b", "c", "d"}


def test_failures_for_other_upstreams_count_where_nothing_else_is_known():
    known = paths()
    known.record_relay("e1:1", "c", True, NOW)
    known.record_relay("e1:1", "d", False, NOW)
    order = [
        item.name for item in known.rank_relays("e2:1", candidates("c", "d"), (), NOW)
    ]
    assert order == ["c", "d"]


def test_hosts_that_the_owner_names_come_before_untried_and_after_proved_ones():
    known = paths()
    known.record_relay("e1:1", "b", True, NOW)
    known.record_relay("e1:1", "c", False, NOW)
    hosts = candidates(*"bcdefgh")
    for _ in range(50):
        order = [i.name for i in known.rank_relays("e1:1", hosts, ("c", "h"), NOW)]
        assert order.index("h") <= 1
        assert order[-1] == "c"


def test_hosts_of_other_zones_are_tried_first():
    known = paths()
    hosts = candidates("b", "c", zone="bole") + candidates("d")
    for _ in range(20):
        assert known.rank_relays("e1:1", hosts, (), NOW)[0].name == "d"


@pytest.mark.parametrize("seed", range(20))
def test_paths_that_come_and_go_are_known_within_a_probe(seed):
    """A host went through another one although its path worked again."""
    draw = random.Random(seed)
    known = paths(seed)
    works = dict.fromkeys((f"e{number}:1" for number in range(6)), True)
    since = dict.fromkeys(works, NOW)
    now = NOW
    for _ in range(2000):
        now += draw.random() * 0.2
        address = draw.choice(list(works))
        if draw.random() < 0.1:
            works[address] = not works[address]
            since[address] = now
        elif known.is_failed(address):
            known.record_use(address, now)
        elif works[address]:
            known.record_carried(address, ANSWER, now, now)
        else:
            known.record_failed(address, address[:2], draw.choice(FAULTS), now)
        for due in known.due_probes(now):
            if works[due.address]:
                known.record_carried(due.address, ANSWER, now, now)
            else:
                known.record_failed(due.address, due.upstream, SILENT, now)
        for each, working in works.items():
            if working and now - since[each] > PROBE_PERIOD + 0.2:
                assert not known.is_failed(each)


def test_path_that_lost_a_long_request_is_not_proved_by_a_short_one():
    """Health checks passed while each long request was lost."""
    known = paths()
    known.record_failed("e1:1", "e1", LOST, NOW, CarriedBytes(sent=2000))
    assert known.due_probes(NOW + PROBE_PERIOD) == [DueProbe("e1:1", "e1", "", 2000)]
    assert not known.record_carried("e1:1", CarriedBytes(1999, 9000), *LATER)
    assert known.leads_around("e1:1")
    assert known.record_carried("e1:1", CarriedBytes(sent=2000), *LATER)
    assert not known.is_failed("e1:1")


def test_what_a_path_must_carry_is_bounded():
    """A path that lost one huge request stayed failed for ever."""
    known = paths()
    known.record_failed("e1:1", "e1", TRUNCATED, NOW, CarriedBytes(10**9, 10**9))
    most = CarriedBytes(MAX_NEEDED_SENT, MAX_NEEDED_RECEIVED)
    assert known.record_carried("e1:1", most, *LATER)


def test_path_on_which_a_response_broke_off_is_not_proved_by_a_shorter_one():
    known = paths()
    known.record_failed("e1:1", "e1", TRUNCATED, NOW, CarriedBytes(received=500))
    assert known.due_probes(NOW + PROBE_PERIOD) == []
    assert not known.record_carried("e1:1", CarriedBytes(300, 499), *LATER)
    assert known.leads_around("e1:1")
    assert known.record_carried("e1:1", CarriedBytes(300, 500), *LATER)


def test_later_refusal_does_not_lower_what_a_path_must_carry():
    known = paths()
    known.record_failed("e1:1", "e1", LOST, NOW, CarriedBytes(sent=2000))
    known.record_failed("e1:1", "e1", REFUSED, NOW + 1)
    assert not known.leads_around("e1:1")
    assert not known.record_carried("e1:1", CarriedBytes(sent=300), *LATER)
    assert known.is_failed("e1:1")


def test_repeatable_requests_test_a_path_less_and_less_often():
    known = paths()
    known.record_failed("e1:1", "e1", TRUNCATED, NOW, CarriedBytes(received=500))
    taken = [
        step / 10
        for step in range(400)
        if known.take_trial("e1:1", True, NOW + step / 10)
    ]
    assert taken == pytest.approx([0, 1, 3, 7, 15, 23, 31, 39])


def test_request_that_may_not_be_repeated_tests_a_path_only_after_long():
    """Each request that may not be repeated was lost on the same path."""
    known = paths()
    known.record_failed("e1:1", "e1", TRUNCATED, NOW, CarriedBytes(received=500))
    taken = [
        step / 10
        for step in range(700)
        if known.take_trial("e1:1", False, NOW + step / 10)
    ]
    assert taken == pytest.approx(
        [UNREPEATABLE_TRIAL_SECONDS, 2 * UNREPEATABLE_TRIAL_SECONDS], abs=0.11
    )


@pytest.mark.parametrize("fault", [REFUSED, SILENT, LOST])
def test_path_that_a_probe_can_prove_is_not_tested_by_requests(fault):
    known = paths()
    known.record_failed("e1:1", "e1", fault, NOW, CarriedBytes(sent=500))
    assert not known.take_trial("e1:1", True, NOW + 100)
    assert not known.take_trial("e2:1", True, NOW)


def test_one_untried_host_comes_first_now_and_then_and_a_proved_one_second():
    """Three untried hosts came first, and all of them had lost their paths too."""
    known = paths()
    known.record_relay("e1:1", "b", True, NOW)
    orders = [
        [item.name for item in known.rank_relays("e1:1", candidates(*"bcdef"), (), NOW)]
        for _ in range(300)
    ]
    assert all("b" in order[:2] for order in orders)
    assert 10 < sum(order[0] != "b" for order in orders) < 60


def test_answer_to_what_was_sent_before_a_fault_does_not_end_it():
    """A path was taken for working by an answer that was under way."""
    known = paths()
    known.record_failed("e1:1", "e1", LOST, NOW, began_at=NOW - 0.1)
    for sent_at in (NOW - 5.0, NOW - 0.05, NOW):
        assert not known.record_carried("e1:1", ANSWER, sent_at, NOW + 0.01)
    assert known.leads_around("e1:1")
    assert known.due_probes(NOW + PROBE_PERIOD) == [DueProbe("e1:1", "e1", "", 0)]
    assert known.record_carried("e1:1", ANSWER, NOW + 0.01, NOW + 0.02)
    assert not known.is_failed("e1:1")


def test_answer_to_what_was_sent_between_two_faults_does_not_end_the_second():
    known = paths()
    known.record_failed("e1:1", "e1", LOST, NOW)
    known.record_failed("e1:1", "e1", LOST, NOW + 2.0, began_at=NOW + 1.0)
    assert not known.record_carried("e1:1", ANSWER, NOW + 1.5, NOW + 2.1)
    assert known.record_carried("e1:1", ANSWER, NOW + 2.1, NOW + 2.2)


def test_response_that_began_before_a_truncated_one_does_not_end_its_fault():
    """The end of a long stream proved a path on which responses broke off since."""
    known = paths()
    needed = CarriedBytes(received=500)
    known.record_failed("e1:1", "e1", TRUNCATED, NOW, needed, began_at=NOW - 1.0)
    long = CarriedBytes(300, 10**6)
    assert not known.record_carried("e1:1", long, NOW - 20.0, NOW + 5.0)
    assert known.is_failed("e1:1")


def test_late_faults_of_before_a_known_one_do_not_hold_back_its_end():
    """Requests that timed out one by one kept a path failed that worked again."""
    known = paths()
    known.record_failed("e1:1", "e1", LOST, NOW, began_at=NOW - 0.4)
    for step in range(20):
        at = NOW + step / 10
        known.record_failed("e1:1", "e1", LOST, at, began_at=NOW - 0.1)
    assert known.record_carried("e1:1", ANSWER, NOW + 0.5, NOW + 2.0)


@pytest.mark.parametrize("fault", PathFault)
def test_fault_of_what_began_before_a_path_was_regained_does_not_fail_it(fault):
    """A path failed anew by a connect that had hung since before it worked again."""
    known = paths()
    known.record_failed("e1:1", "e1", LOST, NOW)
    assert known.record_carried("e1:1", ANSWER, NOW + 1.0, NOW + 1.1)
    assert not known.record_failed("e1:1", "e1", fault, NOW + 1.3, began_at=NOW + 0.5)
    assert not known.is_failed("e1:1")
    assert not known.is_suspect(NOW + 1.3)
    assert known.record_failed("e1:1", "e1", fault, NOW + 1.3, began_at=NOW + 1.2)
    assert known.is_failed("e1:1")


def test_answer_through_another_host_to_what_was_sent_before_its_failure():
    """A host over which a tunnel had just failed came first again."""
    known = paths()
    known.record_relay("e1:1", "c", False, NOW)
    known.record_relay("e1:1", "c", True, NOW + 0.5, sent_at=NOW - 3.0)
    hosts = candidates("b", "c")
    lasts = {known.rank_relays("e1:1", hosts, (), NOW + 1)[-1].name for _ in range(50)}
    assert lasts == {"c"}
    known.record_relay("e1:1", "c", True, NOW + 0.5, sent_at=NOW + 0.1)
    firsts = [known.rank_relays("e1:1", hosts, (), NOW + 1)[0].name for _ in range(100)]
    assert firsts.count("c") > 80
