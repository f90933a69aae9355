"""Tests and properties of the crash history."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.crashes import const
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.models import Clearing, Crash, CrashUpdate
from tests.components.crashes import builders as build

NOW = 1010.0

CRASHES = st.builds(
    Crash,
    st.sampled_from((1, 2)),
    st.sampled_from(("e1", "e2", "e3", "e4")),
    st.sampled_from(("1", "2")),
    st.integers(900, 1000).map(float),
    ran=st.none() | st.integers(0, 30).map(float),
)
CLEARINGS = st.builds(
    Clearing, st.sampled_from((1, 2)), st.integers(90, 100).map(lambda ten: 10.0 * ten)
)


def history(*update: CrashUpdate) -> CrashHistory:
    made = CrashHistory()
    for item in update:
        made.merge(item, NOW)
    return made


def test_request_is_quarantined_from_its_third_crash_on():
    assert not history(build.crashes(2)).quarantined_for(build.POISON, NOW)
    made = history(build.crashes(3, at=NOW))
    assert made.quarantined_for(build.POISON, NOW) == const.FIRST_QUARANTINE_SECONDS


def test_ends_at_one_moment_convict_no_longer_than_until_a_first_trial():
    """Copies of a sound request were refused for minutes after a burst of ends."""
    made = history(build.crashes(6, at=NOW))
    assert made.quarantined_for(build.POISON, NOW) == const.FIRST_QUARANTINE_SECONDS


def test_end_of_a_request_sent_before_the_others_is_no_failed_trial():
    """Long responses that ended one by one doubled the quarantine of their request."""
    made = history(build.crashes(3, at=NOW))
    for ran in (6.0, 12.0, 18.0):
        late = build.crash(f"after-{ran}", at=NOW - 1.0 + ran, ran=ran)
        made.merge(CrashUpdate((late,)), late.at)
        left = made.quarantined_for(build.POISON, late.at)
        assert left == const.FIRST_QUARANTINE_SECONDS


def test_first_trial_that_fails_quarantines_for_long():
    made = history(build.crashes(6, at=NOW))
    trial_at = NOW + const.FIRST_QUARANTINE_SECONDS
    assert not made.quarantined_for(build.POISON, trial_at)
    failed = build.crash("e7", at=trial_at + 0.25, ran=0.25)
    made.merge(CrashUpdate((failed,)), failed.at)
    assert made.quarantined_for(build.POISON, failed.at) == const.QUARANTINE_SECONDS


def test_trials_that_fail_at_one_moment_count_as_one():
    """Each of two owners made its trial, and the quarantine doubled twice."""
    made = history(build.crashes(3, at=NOW - 20.0))
    trials = (build.crash(f"e{n}", at=NOW, ran=0.1) for n in (4, 5, 6))
    made.merge(CrashUpdate(tuple(trials)), NOW)
    assert made.trials_failed(build.POISON, NOW) == 1
    assert made.quarantined_for(build.POISON, NOW) == const.QUARANTINE_SECONDS


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0), (1, 0, 2)])
def test_of_several_requests_at_one_process_the_last_decides(order: tuple[int, ...]):
    runs = (None, 20.0, 0.5)
    made = history(build.crashes(3, at=NOW - 10.0))
    for number in order:
        crash = build.crash("e4", at=NOW, ran=runs[number])
        made.merge(CrashUpdate((crash,)), NOW)
    assert made.count(build.POISON, NOW) == 4
    assert made.trials_failed(build.POISON, NOW) == 1
    assert {c.ran for c in made.snapshot(NOW).crashes} == {None, 0.5}


def test_report_of_an_earlier_release_hides_no_known_time():
    """Hosts of two releases side by side lost what the newer ones had reported."""
    known = CrashUpdate((build.crash("e4", at=NOW, ran=20.0),))
    relayed = CrashUpdate((build.crash("e4", at=NOW + 0.8),))
    made = history(known)
    assert made.merge(relayed, NOW).empty
    assert made.missing_from(relayed, NOW) == known
    assert history(relayed).missing_from(known, NOW).empty


def test_crash_reported_by_many_hosts_counts_once():
    made = history(*[build.crashes(1, at=1000.0 + n) for n in range(5)])
    assert made.count(build.POISON, NOW) == 1


def test_complete_response_clears_a_request():
    made = history(build.crashes(3), build.clearing(1005.0))
    assert made.count(build.POISON, NOW) == 0
    assert not made.quarantined_for(build.POISON, NOW)


def test_late_report_of_a_crash_before_a_clearing_is_ignored():
    made = history(build.clearing(1005.0), build.crashes(3))
    assert made.count(build.POISON, NOW) == 0


def test_quarantine_is_bounded():
    made = history(build.one_by_one(40, newest_at=1000.0))
    assert not made.quarantined_for(build.POISON, 1000.0 + const.MAX_QUARANTINE_SECONDS)


@pytest.mark.parametrize(("count", "doublings"), [(4, 0), (5, 1), (6, 2), (40, 36)])
def test_each_further_crash_doubles_the_quarantine(count: int, doublings: int):
    made = history(build.one_by_one(count, newest_at=1000.0))
    expected = min(
        const.QUARANTINE_SECONDS * 2**doublings, const.MAX_QUARANTINE_SECONDS
    )
    assert made.quarantined_for(build.POISON, 1000.0) == expected


def test_eviction_keeps_the_requests_with_most_crashes():
    made = history(build.crashes(3))
    many = [
        build.crash(fingerprint=n, at=1001.0)
        for n in range(const.MAX_FINGERPRINTS + 50)
    ]
    made.merge(CrashUpdate(tuple(many)), NOW)
    assert len(list(made.fingerprints())) == const.MAX_FINGERPRINTS
    assert made.count(build.POISON, NOW) == 3


def test_old_crashes_expire():
    made = history(build.crashes(3))
    later = 1004.0 + const.RETENTION_SECONDS
    assert made.count(build.POISON, later) == 0
    assert made.snapshot(later).empty
    assert made.merge(build.crashes(3), later).empty


@given(st.lists(CRASHES, max_size=12), st.lists(CLEARINGS, max_size=3), st.randoms())
def test_hosts_agree_whatever_the_order_in_which_they_hear(
    crashes: list[Crash], clearings: list[Clearing], rng: random.Random
):
    # One end of a process has one time, whichever host tells of it.
    crashes = list(
        {(c.fingerprint, c.upstream, c.incarnation): c for c in crashes}.values()
    )
    single: list[CrashUpdate] = [CrashUpdate((item,)) for item in crashes]
    single += [CrashUpdate(clearings=(item,)) for item in clearings]
    shuffled = list(single)
    rng.shuffle(shuffled)
    one, other = history(*single), history(*shuffled)
    for fingerprint in (1, 2):
        assert one.count(fingerprint, NOW) == other.count(fingerprint, NOW)
        assert one.quarantined_for(fingerprint, NOW) == other.quarantined_for(
            fingerprint, NOW
        )


@given(st.lists(CRASHES, max_size=8), st.lists(CRASHES, max_size=8))
def test_two_hosts_know_the_same_after_one_exchange(
    here: list[Crash], there: list[Crash]
):
    one, other = history(CrashUpdate(tuple(here))), history(CrashUpdate(tuple(there)))
    told = one.snapshot(NOW)
    other.merge(told, NOW)
    one.merge(other.missing_from(told, NOW), NOW)
    assert ends(one) == ends(other)


def ends(made: CrashHistory) -> set[tuple]:
    """Return the crashes in a history without their times."""
    return {item[:3] for item in made.snapshot(NOW).crashes}


@given(
    st.lists(
        st.one_of(
            CRASHES.map(lambda item: ((item,), ())),
            CLEARINGS.map(lambda item: ((), (item,))),
        ),
        max_size=12,
    )
)
def test_highest_count_is_that_of_the_fingerprint_with_most_crashes(items):
    made = CrashHistory()
    for crashes, clearings in items:
        made.merge(CrashUpdate(crashes, clearings), NOW)
        assert made.highest_count == max(made.count(1, NOW), made.count(2, NOW))
