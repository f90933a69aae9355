"""Schedules that chance seldom finds, with their guard and without it."""

import pytest

from . import mutations
from .explorer import ViolationError
from .script import drain, elect, leads, settle, tick, world_of


def _vote_forgotten() -> None:
    world = world_of("abc")
    elect(world, "b", "bc", syncing="b")
    node = world.nodes["c"]
    node.replica, node.write = None, None
    world.start(node)
    tick(world, "c")
    drain(world, "ac")
    tick(world, "ac")
    drain(world, "ac")
    assert elect(world, "a", "ac")


def test_a_vote_is_synced_before_it_is_told():
    """Two hosts answer operators as leader of one term and both accept changes.

    c votes for b, its reply leaves, and c loses power before the vote is on its
    disk. It starts again, hears only a, and votes for a in the same term.
    """
    _vote_forgotten()


def test_without_the_sync_a_term_gets_two_leaders(monkeypatch):
    """The same order of events, with the reply sent before the sync."""
    mutations.vote_told_before_sync(monkeypatch)
    with pytest.raises(ViolationError, match="two leaders"):
        _vote_forgotten()


def _old_entry_counted() -> None:
    world = world_of("abc")
    a, c = world.nodes["a"], world.nodes["c"]
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
    progress = a.replica.state.progress_by_replica[c.disk.replica]
    drain(world, "ac", lambda: progress.match >= index)
    assert progress.match == index
    assert elect(world, "b", "bc")


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting():
    """An operator's accepted change is gone after two changes of leader.

    a's entry reaches a quorum only in a later term of a; b, which holds an entry
    of a term in between, is then elected and overwrites it.
    """
    _old_entry_counted()


def test_with_counting_a_committed_entry_is_lost(monkeypatch):
    """The same order of events, with earlier terms committed by counting."""
    mutations.commits_earlier_terms_by_counting(monkeypatch)
    with pytest.raises(ViolationError, match="lacks committed entry"):
        _old_entry_counted()


def _change(world, host, without) -> None:
    node = world.nodes[host]
    members = node.replica.state.members.all
    kept = [m for m in members if m.host != without]
    node.replica.change_members(kept, node.clock)
    world.after(node)


def _two_histories() -> None:
    world = world_of("abcd")
    assert elect(world, "a", "abcd")
    settle(world, "abcd")
    _change(world, "a", without="d")
    drain(world, "a")
    assert elect(world, "b", "bcd")
    _change(world, "b", without="a")
    for _ in range(3):
        tick(world, "b")
        drain(world, "bd")
    assert elect(world, "a", "ac")
    assert leads(world.nodes["a"])


def test_members_change_only_after_an_entry_of_the_own_term():
    """Two halves of control each accept changes, and one half's are lost.

    a removes d but reaches nobody; b is elected and at once removes a. The two
    memberships share no quorum: {a, c} and {b, d} both decide.
    """
    _two_histories()


def test_without_the_own_term_first_a_committed_entry_is_lost(monkeypatch):
    """The same order of events, with b's change accepted at once."""
    mutations.changes_members_before_own_term_commits(monkeypatch)
    with pytest.raises(ViolationError, match="lacks committed entry"):
        _two_histories()


def _disk_lost_after_commit() -> bool:
    world = world_of("abc")
    assert elect(world, "a", "abc")
    settle(world, "abc")
    world.nodes["a"].replica.propose(b"x")
    world.after(world.nodes["a"])
    settle(world, "ab")
    world.new_identity(world.nodes["b"])
    settle(world, "bc")
    return elect(world, "c", "bc")


def test_a_host_with_an_empty_disk_does_not_vote():
    """A change that an operator saw accepted is gone.

    a and b have committed it, c was cut off. b comes back with an empty disk and
    meets c only; if b voted under its old name, c would lead without it.
    """
    assert not _disk_lost_after_commit()


def test_under_the_old_identity_a_committed_entry_is_lost(monkeypatch):
    """The same order of events, with b starting empty under its old identity."""
    mutations.lost_disk_keeps_its_identity(monkeypatch)
    with pytest.raises(ViolationError, match="lacks committed entry"):
        _disk_lost_after_commit()
