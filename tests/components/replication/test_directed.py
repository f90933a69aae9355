"""Orders of events that chance seldom finds, with their guard and without it."""

import pytest

from . import mutations
from .checker import ViolationError
from .explorer import World
from .script import drain, elect, settle, tick, world_of


def vote_forgotten() -> None:
    """Two hosts answer operators as leader of one term and both accept changes.

    c votes for b, its reply leaves, and c loses power before the vote is on its
    disk. It starts again, hears only a, and votes for a in the same term.
    """
    world = world_of("abc")
    elect(world, "b", "bc", syncing="b")
    restart(world, "c")
    settle(world, "ac")
    assert elect(world, "a", "ac")


def told_to_a_and_b(syncing: str) -> World:
    """Return a world led by a, whose change reaches b; one of the two syncs it."""
    world = world_of("abc")
    assert elect(world, "a", "abc")
    settle(world, "abc")
    world.nodes["a"].replica.propose(b"x")
    world.after(world.nodes["a"])
    drain(world, "ab", syncing=syncing)
    return world


def acknowledgement_forgotten() -> None:
    """A change that an operator saw accepted is gone after a power loss.

    b acknowledges it before it is on its disk, so a accepts it; b loses power,
    starts again and meets only c, which had been cut off.
    """
    world = told_to_a_and_b(syncing="a")
    restart(world, "b")
    settle(world, "bc")
    assert elect(world, "c", "bc")


def own_entry_forgotten() -> None:
    """The same when the leader's own disk is the slow one.

    a counts its own unsynced copy beside b's and accepts; it loses power, starts
    again and meets only c.
    """
    world = told_to_a_and_b(syncing="b")
    restart(world, "a")
    settle(world, "ac")
    assert elect(world, "c", "ac")


def restart(world: World, host: str) -> None:
    node = world.nodes[host]
    node.replica, node.write = None, None
    world.start(node)


def old_entry_counted() -> None:
    """An operator's accepted change is gone after two changes of leader.

    a's entry reaches a quorum only in a later term of a; b, which holds an entry
    of a term in between, is then elected and overwrites it.
    """
    world = world_of("abc")
    a = world.nodes["a"]
    assert elect(world, "a", "abc")
    settle(world, "abc")
    a.replica.propose(b"x")
    world.after(a)
    drain(world, "a")
    index = a.replica.state.log.last_index
    assert elect(world, "b", "bc")
    drain(world, "b")
    assert elect(world, "a", "ac")
    tick(world, "a")
    progress = a.replica.state.progress_by_replica["c/1"]
    drain(world, "ac", lambda: progress.match >= index)
    assert progress.match == index
    assert elect(world, "b", "bc")


def two_histories_of_members() -> None:
    """Two halves of control each accept changes, and one half's are lost.

    a removes d but reaches nobody; b is elected and at once removes a. The two
    memberships share no quorum: {a, c} and {b, d} both decide.
    """
    world = world_of("abcd")
    assert elect(world, "a", "abcd")
    settle(world, "abcd")
    remove(world, "a", "d")
    drain(world, "a")
    assert elect(world, "b", "bcd")
    remove(world, "b", "a")
    for _ in range(3):
        tick(world, "b")
        drain(world, "bd")
    assert elect(world, "a", "ac")


def disk_lost_after_commit() -> None:
    """A change that an operator saw accepted is gone.

    a and b have committed it, c was cut off. b comes back with an empty disk and
    meets c only; if b voted under its old name, c would lead without it.
    """
    world = world_of("abc")
    assert elect(world, "a", "abc")
    settle(world, "abc")
    world.nodes["a"].replica.propose(b"x")
    world.after(world.nodes["a"])
    settle(world, "ab")
    world.new_identity(world.nodes["b"])
    settle(world, "bc")
    assert not elect(world, "c", "bc")


def remove(world: World, leader: str, host: str) -> None:
    node = world.nodes[leader]
    members = node.replica.state.members.all
    node.replica.change_members([m for m in members if m.host != host], node.clock)
    world.after(node)


CASES = (
    (vote_forgotten, mutations.vote_told_before_sync, "two leaders"),
    (
        acknowledgement_forgotten,
        mutations.no_sync_before_acknowledgement,
        "lacks committed",
    ),
    (own_entry_forgotten, mutations.own_entries_count_unsynced, "lacks committed"),
    (old_entry_counted, mutations.commits_earlier_terms_by_counting, "lacks committed"),
    (
        two_histories_of_members,
        mutations.changes_members_before_own_term_commits,
        "lacks committed",
    ),
    (disk_lost_after_commit, mutations.lost_disk_keeps_its_identity, "lacks committed"),
)


@pytest.mark.parametrize(("story", "mutation", "violation"), CASES)
def test_the_guard_holds_and_is_needed(story, mutation, violation, monkeypatch):
    """Each story passes with its guard; without it a promise is seen broken."""
    story()
    mutation(monkeypatch)
    with pytest.raises(ViolationError, match=violation):
        story()
