"""Schedules that random search rarely finds, run with and without their guard."""

import pytest

from . import mutations
from .checker import ViolationError
from .explorer import Simulation
from .script import drain, elect, make_simulation, settle, tick


def vote_forgotten() -> None:
    """Two hosts lead the same term, and both accept operators' changes.

    c votes for b, sends its reply, and loses power before the vote is synced. It
    restarts, reaches only a, and votes for a in the same term.
    """
    simulation = make_simulation("abc")
    elect(simulation, "b", "bc", syncing="b")
    restart(simulation, "c")
    settle(simulation, "ac")
    assert elect(simulation, "a", "ac")


def replicated_to_a_and_b(syncing: str) -> Simulation:
    """Return a simulation led by a, whose entry reaches b; only syncing syncs it."""
    simulation = make_simulation("abc")
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    simulation.nodes["a"].replica.propose(b"x")
    simulation.apply_effects(simulation.nodes["a"])
    drain(simulation, "ab", syncing=syncing)
    return simulation


def acknowledgement_forgotten() -> None:
    """A change that was reported as accepted is lost after a power loss.

    b acknowledges it before it is synced, so a commits it; b loses power, restarts
    and reaches only c, which had been partitioned.
    """
    simulation = replicated_to_a_and_b(syncing="a")
    restart(simulation, "b")
    settle(simulation, "bc")
    assert elect(simulation, "c", "bc")


def own_entry_forgotten() -> None:
    """The same loss if the leader's own disk is the slow one.

    a counts its own unsynced copy together with b's and commits; it loses power,
    restarts and reaches only c.
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
    """An accepted change is lost after two changes of leader (figure 8 of the paper).

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
    """Two halves of control each accept changes, and those of one half are lost.

    a removes d but reaches no other host; b is elected and removes a at once. Quorums
    of the two memberships don't overlap: {a, c} and {b, d} both commit.
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
    """A change that was reported as accepted is lost.

    a and b have committed it while c was partitioned. b restarts with an empty disk
    and reaches only c; if b voted under its old identity, c would lead without it.
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
def test_each_schedule_needs_its_guard(schedule, mutation, violation, monkeypatch):
    """Each schedule passes with its guard and violates safety without it."""
    schedule()
    mutation(monkeypatch)
    with pytest.raises(ViolationError, match=violation):
        schedule()
