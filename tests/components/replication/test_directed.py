"""Orders of events that chance seldom finds, with their guard and without it."""

import pytest

from . import mutations
from .checker import ViolationError
from .explorer import Simulation
from .script import drain, elect, make_simulation, settle, tick


def vote_forgotten() -> None:
    """Two hosts answer operators as leader of one term and both accept changes.

    c votes for b, its reply leaves, and c loses power before the vote is on its
    disk. It starts again, hears only a, and votes for a in the same term.
    """
    simulation = make_simulation("abc")
    elect(simulation, "b", "bc", syncing="b")
    restart(simulation, "c")
    settle(simulation, "ac")
    assert elect(simulation, "a", "ac")


def replicated_to_a_and_b(syncing: str) -> Simulation:
    """Return a world led by a, whose change reaches b; one of the two syncs it."""
    simulation = make_simulation("abc")
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    simulation.nodes["a"].replica.propose(b"x")
    simulation.apply_effects(simulation.nodes["a"])
    drain(simulation, "ab", syncing=syncing)
    return simulation


def acknowledgement_forgotten() -> None:
    """A change that an operator saw accepted is gone after a power loss.

    b acknowledges it before it is on its disk, so a accepts it; b loses power,
    starts again and meets only c, which had been cut off.
    """
    simulation = replicated_to_a_and_b(syncing="a")
    restart(simulation, "b")
    settle(simulation, "bc")
    assert elect(simulation, "c", "bc")


def own_entry_forgotten() -> None:
    """The same when the leader's own disk is the slow one.

    a counts its own unsynced copy beside b's and accepts; it loses power, starts
    again and meets only c.
    """
    simulation = replicated_to_a_and_b(syncing="b")
    restart(simulation, "a")
    settle(simulation, "ac")
    assert elect(simulation, "c", "ac")


def restart(simulation: Simulation, host: str) -> None:
    node = simulation.nodes[host]
    node.replica, node.write = None, None
    simulation.start(node)


def old_entry_counted() -> None:
    """An operator's accepted change is gone after two changes of leader.

    a's entry reaches a quorum only in a later term of a; b, which holds an entry
    of a term in between, is then elected and overwrites it.
    """
    simulation = make_simulation("abc")
    a = simulation.nodes["a"]
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    a.replica.propose(b"x")
    simulation.apply_effects(a)
    drain(simulation, "a")
    index = a.replica.state.log.last_index
    assert elect(simulation, "b", "bc")
    drain(simulation, "b")
    assert elect(simulation, "a", "ac")
    tick(simulation, "a")
    progress = a.replica.state.progress_by_replica["c/1"]
    drain(simulation, "ac", lambda: progress.match >= index)
    assert progress.match == index
    assert elect(simulation, "b", "bc")


def two_histories_of_members() -> None:
    """Two halves of control each accept changes, and one half's are lost.

    a removes d but reaches nobody; b is elected and at once removes a. The two
    memberships share no quorum: {a, c} and {b, d} both decide.
    """
    simulation = make_simulation("abcd")
    assert elect(simulation, "a", "abcd")
    settle(simulation, "abcd")
    remove(simulation, "a", "d")
    drain(simulation, "a")
    assert elect(simulation, "b", "bcd")
    remove(simulation, "b", "a")
    for _ in range(3):
        tick(simulation, "b")
        drain(simulation, "bd")
    assert elect(simulation, "a", "ac")


def disk_lost_after_commit() -> None:
    """A change that an operator saw accepted is gone.

    a and b have committed it, c was cut off. b comes back with an empty disk and
    meets c only; if b voted under its old name, c would lead without it.
    """
    simulation = make_simulation("abc")
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    simulation.nodes["a"].replica.propose(b"x")
    simulation.apply_effects(simulation.nodes["a"])
    settle(simulation, "ab")
    simulation.new_identity(simulation.nodes["b"])
    settle(simulation, "bc")
    assert not elect(simulation, "c", "bc")


def remove(simulation: Simulation, leader: str, host: str) -> None:
    node = simulation.nodes[leader]
    members = node.replica.state.members.all
    node.replica.change_members([m for m in members if m.host != host], node.clock)
    simulation.apply_effects(node)


CASES = (
    (vote_forgotten, mutations.vote_reply_before_sync, "two leaders"),
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


@pytest.mark.parametrize(("schedule", "mutation", "violation"), CASES)
def test_the_guard_holds_and_is_needed(schedule, mutation, violation, monkeypatch):
    """Each story passes with its guard; without it a promise is seen broken."""
    schedule()
    mutation(monkeypatch)
    with pytest.raises(ViolationError, match=violation):
        schedule()
