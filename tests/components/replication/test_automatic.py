"""Voters that a leader promotes and replaces without a command."""

import pytest

from bitterntiller.components.replication import join_decisions, repair_decisions
from bitterntiller.components.replication.const import REPAIR_DONE
from bitterntiller.components.replication.members import voters
from bitterntiller.components.replication.models import Member, Tuning
from bitterntiller.components.replication.progress import Progress
from bitterntiller.components.replication.repair_decisions import RepairCommand
from bitterntiller.protocol import messages

from .script import elect, make_simulation, settle

AUTOMATIC = Tuning(trailing_entries=2, target_voters=3, silent_voter_timeout=2.0)


def led_simulation(hosts: str, voters_wanted: int):
    simulation = make_simulation(hosts)
    assert elect(simulation, hosts[0], hosts)
    settle(simulation, hosts)
    state = simulation.nodes[hosts[0]].replica.state
    state.tuning = AUTOMATIC._replace(target_voters=voters_wanted)
    return simulation, state


def add_learner(state, now: float, last_contact: float) -> Member:
    learner = Member("z/1", "z", "z", False)
    state.members = state.members._replace(all=(*state.members.all, learner))
    progress = Progress(1, last_contact, match=state.log.last_index, counted=True)
    state.progress_by_replica["z/1"] = progress
    return learner


def test_joining_host_becomes_a_voter_up_to_the_target():
    """Five control hosts must not tolerate just one failure with three voters."""
    simulation, state = led_simulation("abc", 5)
    now = simulation.nodes["a"].clock
    add_learner(state, now, now)
    step = repair_decisions.next_membership(state, [], now)
    assert [m.replica for m in step if m.voter][-1] == "z/1"


def test_silent_voter_is_replaced_by_a_learner():
    """A lost host is replaced by one at a new address, which must become a voter.

    Otherwise the next two losses leave no quorum.
    """
    simulation, state = led_simulation("abc", 3)
    now = simulation.nodes["a"].clock
    add_learner(state, now + 3, now + 3)
    for replica, progress in state.progress_by_replica.items():
        if replica.startswith("b/"):
            progress.last_contact = now + 3
    step = repair_decisions.next_membership(state, [], now + 3)
    assert step is not None
    assert not any(member.host == "c" for member in step)
    assert next(m for m in step if m.host == "z").promote
    assert len([m for m in step if m.voter]) == 2


def led_with_a_marked_learner(silent=""):
    """Return the state of a leader of five voters with a marked learner, and the time.

    All have just been heard but the voter of a silent host.
    """
    simulation, state = led_simulation("abcde", 5)
    now = simulation.nodes["a"].clock + 3
    learner = add_learner(state, now, now)
    members = [m for m in state.members.all if m != learner]
    state.members = state.members._replace(
        all=(*members, learner._replace(promote=True))
    )
    for replica, progress in state.progress_by_replica.items():
        if not silent or not replica.startswith(f"{silent}/"):
            progress.last_contact = now
    return state, now


def test_marked_learner_replaces_a_silent_voter_once_the_target_is_reached():
    """It became a sixth voter beside a dead one, so that two losses left no quorum.

    It was down when its turn came, and another host was promoted meanwhile.
    """
    state, now = led_with_a_marked_learner(silent="e")
    step = repair_decisions.next_membership(state, [], now)
    assert [m.host for m in step if m.voter] == list("abcd")
    assert next(m for m in step if m.host == "z").promote


def test_silent_voter_beyond_the_target_is_removed():
    """Five live voters of six bear one loss, and without the dead one two."""
    simulation, state = led_simulation("abcdef", 5)
    now = simulation.nodes["a"].clock + 3
    for replica, progress in state.progress_by_replica.items():
        if not replica.startswith("f/"):
            progress.last_contact = now
    step = repair_decisions.next_membership(state, [], now)
    assert [m.host for m in step] == list("abcde")
    state.tuning = state.tuning._replace(target_voters=6)
    assert repair_decisions.next_membership(state, [], now) is None


def test_responding_voter_is_not_replaced():
    simulation, state = led_simulation("abc", 3)
    now = simulation.nodes["a"].clock
    add_learner(state, now, now)
    for progress in state.progress_by_replica.values():
        progress.last_contact = now
    assert repair_decisions.next_membership(state, [], now) is None
    assert len(voters(state.members)) == 3


def test_without_a_target_no_voter_is_replaced():
    simulation, state = led_simulation("abc", 0)
    now = simulation.nodes["a"].clock
    add_learner(state, now + 60, now + 60)
    assert repair_decisions.next_membership(state, [], now + 60) is None


def reply(host: str, status: str = "fresh") -> messages.JoinReply:
    return messages.JoinReply(status, "", f"{host}/1", host, f"10.0.0.{host}:7")


SEEDS = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")


@pytest.mark.parametrize(
    ("own", "replies", "formed"),
    [
        ("1", ["2", "3"], True),
        ("2", ["1", "3"], False),
        ("1", ["2"], False),
        ("9", ["1", "2", "3"], False),
    ],
)
def test_seeds_are_known_by_their_addresses(own, replies, formed):
    """With seeds listed by address, exactly one host must form the membership.

    Otherwise two deployments are formed side by side, or none.
    """
    me = join_decisions.LocalReplica(f"{own}/1", own, f"10.0.0.{own}:7")
    first = join_decisions.first_members(me, SEEDS, [reply(host) for host in replies])
    assert (first is not None) == formed
    if formed:
        assert [member.address for member in first.members] == list(SEEDS)


def test_repair_whose_place_was_taken_does_not_block_the_automatic_one():
    """Its learner stayed marked, and no silent voter was replaced any more."""
    state, now = led_with_a_marked_learner(silent="e")
    step = repair_decisions.next_membership(state, [RepairCommand("x", "z")], now)
    assert step != state.members.all
    assert not any(m.host == "e" for m in step)


def test_repair_whose_place_was_taken_ends():
    """It was told as running for as long as the leader led."""
    state, now = led_with_a_marked_learner()
    command = RepairCommand("x", "z")
    assert repair_decisions.next_membership(state, [command], now) is None
    status = repair_decisions.repair_status(state, command, now).status
    assert status == REPAIR_DONE
