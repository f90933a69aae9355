"""What an owner concludes from the successes and failures of paths."""

import random

import pytest

from bitterntiller.components.paths.const import (
    FRESH_SECONDS,
    KEPT_SECONDS,
    MAX_PAUSE_SECONDS,
    MAX_REACHING_HOSTS,
    RELAY_MEMORY_SECONDS,
)
from bitterntiller.components.paths.path_table import PathTable

NOW = 1000.0


def test_one_failed_connection_or_three_lost_responses_fail_a_path():
    table = PathTable()
    assert table.record_failed_path("a", "e1", True, NOW)
    assert [table.record_failed_path("a", "e2", False, NOW) for _ in range(3)] == [
        False,
        False,
        True,
    ]
    assert table.unreached("a", NOW) == {"e1", "e2"}
    assert table.unreached("b", NOW) == frozenset()


def test_pause_of_a_failed_path_ends_and_doubles_up_to_its_limit():
    """A host got no requests for an upstream long after its path worked again."""
    table = PathTable()
    now = NOW
    pauses = []
    for _ in range(4):
        table.record_failed_path("a", "e1", True, now)
        began = now
        while "e1" in table.unreached("a", now):
            now += 0.125
        pauses.append(now - began)
    assert pauses == [0.5, 1.0, 2.0, MAX_PAUSE_SECONDS]


def test_success_ends_the_failure_of_a_path():
    table = PathTable()
    table.record_failed_path("a", "e1", True, NOW)
    assert table.record_reached("a", "e1", NOW + 0.1)
    assert not table.record_reached("a", "e1", NOW + 0.2)
    assert table.unreached("a", NOW + 0.1) == frozenset()


def test_success_of_another_host_counts_only_while_it_is_fresh_and_without_failure():
    table = PathTable()
    table.record_reached("b", "e1", NOW)
    assert table.reached_by_another("a", "e1", NOW + FRESH_SECONDS)
    assert not table.reached_by_another("a", "e1", NOW + FRESH_SECONDS + 0.1)
    assert not table.reached_by_another("b", "e1", NOW)
    table.record_failed_upstream("b", "e1", NOW + 0.1)
    assert not table.reached_by_another("a", "e1", NOW + 0.1)
    assert table.unreached("b", NOW + 0.1) == frozenset()


def test_restarted_upstream_has_no_failed_paths():
    table = PathTable()
    table.record_failed_path("a", "e1", True, NOW)
    table.record_reached("b", "e1", NOW)
    table.forget_upstream("e1")
    assert table.unreached("a", NOW) == frozenset()
    assert not table.reached_by_another("a", "e1", NOW)


def test_hosts_to_go_through_are_named_only_for_a_host_that_had_to():
    table = PathTable()
    for number in range(4):
        table.record_reached(f"h{number}", "e1", NOW + number)
    assert table.relays("a", "e1", NOW + 4) == ()
    table.record_relayed("a", NOW + 4)
    assert table.relays("a", "e1", NOW + 4) == ("h3", "h2")
    assert table.relays("h3", "e1", NOW + 4) == ()
    assert table.relays("a", "e2", NOW + 4) == ()
    assert table.relays("a", "e1", NOW + 4 + RELAY_MEMORY_SECONDS + 1) == ()


@pytest.mark.parametrize("seed", range(5))
def test_hosts_and_paths_that_come_and_go_leave_bounded_state(seed):
    draw = random.Random(seed)
    table = PathTable()
    now = NOW
    for _ in range(5000):
        now += draw.random() * 0.05
        host, upstream = f"h{draw.randrange(300)}", f"e{draw.randrange(20)}"
        if draw.random() < 0.5:
            table.record_reached(host, upstream, now)
        else:
            table.record_failed_path(host, upstream, draw.random() < 0.5, now)
        if draw.random() < 0.02:
            table.prune(now)
        table.record_relayed(host, now)
        reached = table._reached_at_by_host_by_upstream.values()
        assert all(len(hosts) <= MAX_REACHING_HOSTS for hosts in reached)
    table.prune(now + KEPT_SECONDS + 1)
    assert not table._reached_at_by_host_by_upstream
    assert not table._failure_by_upstream_by_host
    assert not table._relayed_at_by_host


def test_answer_to_what_was_granted_before_a_failure_does_not_end_it():
    """A host got requests again for an upstream that it did not reach."""
    table = PathTable()
    table.record_failed_path("a", "e1", True, NOW)
    for sent_at in (NOW - 5.0, NOW):
        assert not table.record_reached("a", "e1", NOW + 0.1, sent_at)
    assert table.unreached("a", NOW + 0.1) == {"e1"}
    assert not table.reached_by_another("b", "e1", NOW + 0.1)
    assert table.record_reached("a", "e1", NOW + 0.7, NOW + 0.6)
    assert table.unreached("a", NOW + 0.7) == frozenset()


def test_answers_to_earlier_requests_show_that_lost_ones_are_not_consecutive():
    """A host lost its path to an upstream that lost one response in ten."""
    table = PathTable()
    for step in range(20):
        now = NOW + step / 10
        assert not table.record_failed_path("a", "e1", False, now)
        table.record_reached("a", "e1", now + 0.05, now - 1.0)
    assert table.unreached("a", now) == frozenset()
