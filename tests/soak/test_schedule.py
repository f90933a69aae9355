"""The schedules of soaks."""

import itertools

import pytest

from soak.schedule import FIRST_SECONDS, Kind, Trouble, draw, pairs

SECONDS = 60.0
SEEDS = range(50)


def test_seed_gives_the_same_schedule_each_time():
    assert draw(7, SECONDS) == draw(7, SECONDS)
    assert draw(7, SECONDS) != draw(8, SECONDS)


@pytest.mark.parametrize("seed", [0, 7, 49])
def test_troubles_are_in_order_and_end_within_the_run(seed):
    found = draw(seed, SECONDS)
    assert list(found) == sorted(found)
    assert found[0].at >= FIRST_SECONDS
    assert all(item.ends < SECONDS for item in found)


def test_all_kinds_come_together_in_pairs_within_fifty_seeds():
    found = set().union(*(pairs(draw(seed, SECONDS)) for seed in SEEDS))
    wanted = {
        frozenset(pair) for pair in itertools.combinations_with_replacement(Kind, 2)
    }
    # One at a time: all hosts are down for as long as they need to start.
    wanted -= {frozenset({Kind.KILL_ALL}), frozenset({Kind.POWER_LOSS})}
    assert wanted - found == set()


def test_only_the_chosen_kinds_are_drawn():
    found = draw(3, SECONDS, [Kind.BAD_PART, Kind.CONFIGURE])
    assert {item.kind for item in found} == {Kind.BAD_PART, Kind.CONFIGURE}
    assert draw(3, SECONDS, []) == ()


def test_troubles_are_a_pair_if_they_are_close():
    first = Trouble(10.0, 2.0, Kind.KILL_ALL, (0,))
    near = Trouble(13.9, 1.0, Kind.CONFIGURE, (0,))
    far = near._replace(at=14.1)
    assert pairs((first, near)) == {frozenset({Kind.KILL_ALL, Kind.CONFIGURE})}
    assert pairs((first, far)) == set()
