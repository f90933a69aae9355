"""Which host may form the first membership, and how others join."""

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


def reply(host, status="fresh", members=None, may_form=None):
    return messages.JoinReply(
        status, "", f"{host}/1", host, "10.0.0.2:1", members, may_form
    )


def replica(name, rng):
    return Replica(initial_persistent_state(name), Tuning(), rng, 100.0)


def test_the_first_host_forms_it_once_all_are_empty():
    formed = join_decisions.first_members(OWN, BOOTSTRAP, [reply("b"), reply("c")])
    assert [member.replica for member in formed.members] == ["a/1", "b/1", "c/1"]
    assert not formed.in_place


def test_no_other_host_forms_it():
    """Two hosts of a new deployment must not each form a log and accept changes."""
    own = join_decisions.LocalReplica("b/1", "b", "10.0.0.2:1")
    assert (
        join_decisions.first_members(own, BOOTSTRAP, [reply("a"), reply("c")]) is None
    )
    own = join_decisions.LocalReplica("d/1", "d", "10.0.0.4:1")
    assert (
        join_decisions.first_members(own, BOOTSTRAP, [reply("b"), reply("c")]) is None
    )


def test_the_next_host_forms_it_in_place_of_one_that_has_restarted():
    """The first host ended once while it started, and no host formed control."""
    own = join_decisions.LocalReplica("b/1", "b", "10.0.0.2:1")
    restarted = reply("a", may_form=False)
    replies = [restarted, reply("c", may_form=True)]
    formed = join_decisions.first_members(own, BOOTSTRAP, replies)
    assert [member.replica for member in formed.members] == ["a/1", "b/1", "c/1"]
    assert formed.in_place
    last = join_decisions.LocalReplica("c/1", "c", "10.0.0.3:1")
    replies = [restarted, reply("b", may_form=True)]
    assert join_decisions.first_members(last, BOOTSTRAP, replies) is None


@pytest.mark.parametrize("status", ["exists", "not-leader", "accepted", "formed"])
def test_no_host_forms_it_in_place_of_another_beside_an_existing_log(status):
    """Two hosts that lost their disks must not start a second deployment."""
    own = join_decisions.LocalReplica("b/1", "b", "10.0.0.2:1")
    replies = [reply("a", may_form=False), reply("c", status)]
    assert join_decisions.first_members(own, BOOTSTRAP, replies) is None
    assert join_decisions.first_members(own, BOOTSTRAP, replies[:1]) is None


def test_an_empty_host_does_not_form_it_beside_an_existing_log():
    """A host that lost its disk must not start a second, empty deployment.

    Another host is empty or silent too, so that only one other knows the log, or no
    host can be queried. The empty host must then wait or join.
    """
    assert join_decisions.first_members(OWN, BOOTSTRAP, [reply("b")]) is None
    for status in ("exists", "not-leader", "accepted", "formed"):
        replies = [reply("b"), reply("c", status)]
        assert join_decisions.first_members(OWN, BOOTSTRAP, replies) is None


def test_a_formed_membership_is_adopted_only_by_its_members(rng):
    members = (Member("a/1", "a", "x", True), Member("b/1", "b", "y", True))
    replies = [reply("a", "formed", encode_members(members))]
    assert join_decisions.formed_members(replica("b/1", rng).state, replies) == members
    assert join_decisions.formed_members(replica("b/2", rng).state, replies) is None


def test_join_reply_distinguishes_an_empty_log_from_a_formed_one(rng):
    first = replica("a/1", rng)
    join = messages.Join("b/1", "b", "y", True)
    assert join_decisions.reply_to_join(first, OWN, join, 100.0).status == "fresh"
    first.bootstrap([Member("a/1", "a", "x", True), Member("b/1", "b", "y", True)])
    assert join_decisions.reply_to_join(first, OWN, join, 100.0).status == "formed"
    lost = messages.Join("b/2", "b", "y", True)
    assert join_decisions.reply_to_join(first, OWN, lost, 100.0).status == "exists"


def test_an_empty_old_copy_is_sent_the_log_from_its_start(rng):
    """A host with a restored copy of its still empty folder never caught up again.

    The leader kept what the host had acknowledged and sent only later entries. The
    snapshot transfer to a new learner, which takes long, must not be restarted.
    """
    leader = replica("a/1", rng)
    leader.bootstrap([Member("a/1", "a", "x", True)])
    for now in (101.0, 102.0, 103.0, 103.1):
        leader.tick(now)
        if write := leader.take_effects(now).persist:
            leader.persisted(write.number, now)
    join_decisions.reply_to_join(
        leader, OWN, messages.Join("d/1", "d", "y", True), 103.1
    )
    progress = leader.state.progress_by_replica["d/1"]
    progress.acknowledged(2)
    join_decisions.reply_to_join(
        leader, OWN, messages.Join("d/1", "d", "y", True), 103.2
    )
    assert progress.match == 0
    progress.begin_snapshot(object())
    join_decisions.reply_to_join(
        leader, OWN, messages.Join("d/1", "d", "y", True), 103.2
    )
    assert progress.snapshot


def test_a_host_with_a_new_address_joins_again(rng):
    """A host with a new IP address must join again so that others can reach it."""
    host = replica("a/1", rng)
    host.bootstrap([Member("a/1", "a", "old", True)])
    assert not join_decisions.needs_joining(host.state, "old")
    assert join_decisions.needs_joining(host.state, "new")
    moved = repair_decisions.with_learner(host.state.members, "a/1", "a", "new")
    assert moved == (Member("a/1", "a", "new", True),)
