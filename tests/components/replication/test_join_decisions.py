"""Who may form the first membership."""

import random

import pytest

from bitterntiller.components.replication import join_decisions, repair_decisions
from bitterntiller.components.replication.core import Replica
from bitterntiller.components.replication.members import encode_members
from bitterntiller.components.replication.models import Member, Tuning
from bitterntiller.components.replication.state import initial_persistent_state
from bitterntiller.protocol import messages

rng = pytest.fixture(lambda: random.Random(1))
BOOTSTRAP = ("a", "b", "c")
OWN = join_decisions.LocalReplica("a/1", "a", "10.0.0.1:1")


def reply(host, status="fresh", members=None):
    return messages.JoinReply(status, "", f"{host}/1", host, "10.0.0.2:1", members)


def replica(name, rng):
    return Replica(initial_persistent_state(name), Tuning(), rng, 100.0)


def test_the_first_host_forms_it_once_all_are_empty():
    formed = join_decisions.first_members(OWN, BOOTSTRAP, [reply("b"), reply("c")])
    assert [member.replica for member in formed] == ["a/1", "b/1", "c/1"]


def test_nobody_else_forms_it():
    """Two hosts of a new deployment each begin a log, and changes go to both."""
    own = join_decisions.LocalReplica("b/1", "b", "10.0.0.2:1")
    assert (
        join_decisions.first_members(own, BOOTSTRAP, [reply("a"), reply("c")]) is None
    )
    own = join_decisions.LocalReplica("d/1", "d", "10.0.0.4:1")
    assert (
        join_decisions.first_members(own, BOOTSTRAP, [reply("b"), reply("c")]) is None
    )


def test_an_empty_host_does_not_form_it_beside_a_living_log():
    """A lost disk makes a host start a second, empty deployment.

    One other host is empty or silent too, so that only one knows of the log, or
    none can be asked. The empty host then waits or joins.
    """
    assert join_decisions.first_members(OWN, BOOTSTRAP, [reply("b")]) is None
    for status in ("exists", "not-leader", "accepted", "formed"):
        replies = [reply("b"), reply("c", status)]
        assert join_decisions.first_members(OWN, BOOTSTRAP, replies) is None


def test_a_formed_membership_is_taken_over_only_by_its_members(rng):
    members = (Member("a/1", "a", "x", True), Member("b/1", "b", "y", True))
    replies = [reply("a", "formed", encode_members(members))]
    assert join_decisions.formed_members(replica("b/1", rng).state, replies) == members
    assert join_decisions.formed_members(replica("b/2", rng).state, replies) is None


def test_an_answer_tells_an_empty_log_from_a_formed_one(rng):
    first = replica("a/1", rng)
    join = messages.Join("b/1", "b", "y", True)
    assert join_decisions.answer(first, OWN, join, 100.0).status == "fresh"
    first.bootstrap([Member("a/1", "a", "x", True), Member("b/1", "b", "y", True)])
    assert join_decisions.answer(first, OWN, join, 100.0).status == "formed"
    lost = messages.Join("b/2", "b", "y", True)
    assert join_decisions.answer(first, OWN, lost, 100.0).status == "exists"


def test_an_empty_old_copy_is_sent_the_log_from_its_start(rng):
    """A host never comes back after a copy of its still empty folder is put back.

    The leader remembers what it had acknowledged and offers only later entries. A
    newcomer's snapshot, which takes long, is not begun again.
    """
    leader = replica("a/1", rng)
    leader.bootstrap([Member("a/1", "a", "x", True)])
    for now in (101.0, 102.0, 103.0, 103.1):
        leader.tick(now)
        if write := leader.take_effects(now).persist:
            leader.persisted(write.number, now)
    join_decisions.answer(leader, OWN, messages.Join("d/1", "d", "y", True), 103.1)
    progress = leader.state.progress_by_replica["d/1"]
    progress.acknowledged(2)
    join_decisions.answer(leader, OWN, messages.Join("d/1", "d", "y", True), 103.2)
    assert progress.match == 0
    progress.begin_snapshot(object())
    join_decisions.answer(leader, OWN, messages.Join("d/1", "d", "y", True), 103.2)
    assert progress.snapshot


def test_a_moved_host_tells_its_new_address(rng):
    """A host gets another IP number and is never reached again."""
    host = replica("a/1", rng)
    host.bootstrap([Member("a/1", "a", "old", True)])
    assert not join_decisions.needs_joining(host.state, "old")
    assert join_decisions.needs_joining(host.state, "new")
    moved = repair_decisions.with_learner(host.state.members, "a/1", "a", "new")
    assert moved == (Member("a/1", "a", "new", True),)
