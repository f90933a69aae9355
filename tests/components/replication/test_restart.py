"""All control hosts restart at once."""

import pytest

from bitterntiller.components.replication import repair_decisions
from bitterntiller.components.replication.const import (
    DEFAULT_FIRST_ELECTION_SPACING,
    DEFAULT_STARTUP_CHECK_GRACE,
)
from bitterntiller.components.replication.identity import StartupCheck
from bitterntiller.components.replication.models import (
    Member,
    Membership,
    ReturnCheckReply,
)
from bitterntiller.components.replication.progress import Progress

from .explorer import Simulation
from .profiles import Profile
from .script import drain, elect, leads, make_simulation, settle

STEP = 0.03
ELECTION_MIN = 0.6
ELECTION_MAX = 1.2


def restart_all(seed: int) -> Simulation:
    """Return five voters with a log, all of them restarted."""
    profile = Profile(
        hosts="abcde", initial_voters=5, grace=DEFAULT_STARTUP_CHECK_GRACE, batch=1
    )
    simulation = Simulation(seed, profile)
    simulation.fault_free, simulation.reorder_probability = True, 0.0
    for node in simulation.nodes.values():
        node.rate = 1.0
    assert seconds_to_lead(simulation, "abcde") < ELECTION_MIN
    simulation.network.clear()
    for node in simulation.nodes.values():
        simulation.start(node)
    return simulation


def seconds_to_lead(simulation: Simulation, hosts: str) -> float:
    """Advance time in steps until a host leads; return the seconds that took."""
    passed = 0.0
    while passed < 4.0:
        drain(simulation, hosts)
        if any(leads(simulation.nodes[host]) for host in hosts):
            return passed
        passed += STEP
        pass_step(simulation, hosts)
    return passed


def pass_step(simulation: Simulation, hosts: str) -> None:
    """Advance the clocks of some hosts by a step."""
    for host in hosts:
        node = simulation.nodes[host]
        node.clock += STEP
        node.replica.tick(node.clock)
        simulation.apply_effects(node)


def pass_seconds(simulation: Simulation, hosts: str, seconds: float) -> None:
    """Let some hosts run, and exchange messages, for some seconds."""
    for _ in range(round(seconds / STEP)):
        drain(simulation, hosts)
        pass_step(simulation, hosts)


@pytest.mark.parametrize("seed", range(20))
def test_voters_that_start_together_elect_before_an_election_timeout(seed):
    """After a power loss all requests were refused for a second and a half.

    All hosts were up again, and their startup checks had shown that none of them
    leads; each still waited for a leader for a whole election timeout.
    """
    assert seconds_to_lead(restart_all(seed), "abcde") < ELECTION_MIN / 2


SHORT_LEADERLESS = 3.0


@pytest.mark.parametrize("gap", [0.0, 0.8, 1.2, 1.67, 2.5])
@pytest.mark.parametrize("started", ["abc", "abcd"])
def test_voters_that_start_one_by_one_elect_while_others_stay_down(started, gap):
    """Their startup checks were repeated in turns, and no quorum could ever vote."""
    simulation = restart_all(1)
    simulation.network.clear()
    up = ""
    for host in started:
        up += host
        node = simulation.nodes[host]
        simulation.start(node)
        state = node.replica.state
        state.tuning = state.tuning._replace(leaderless_timeout=SHORT_LEADERLESS)
        pass_seconds(simulation, up, gap)
    assert seconds_to_lead(simulation, up) < DEFAULT_STARTUP_CHECK_GRACE + ELECTION_MAX


def reply(voter: str, boot: int = 7) -> ReturnCheckReply:
    return ReturnCheckReply(3, voter, boot, "fine", 9, 3, 1, b"")


def members(*replicas: str) -> Membership:
    return Membership(1, tuple(Member(r, r[0], f"{r[0]}:1", True) for r in replicas))


VOTERS = members("a/1", "b/1", "c/1", "d/1", "e/1")


def test_a_replaced_disk_is_not_waited_for():
    """After a power loss with two lost disks requests were refused for two seconds.

    The other three voters waited for replies of the identities on the lost disks,
    although their hosts were up and replied under new identities.
    """
    state = StartupCheck(0.0)
    for voter in ("b/1", "c/1", "d/2", "e/2"):
        state.add_reply(reply(voter))
    assert state.is_sufficient("a/1", VOTERS, late=False)


@pytest.mark.parametrize(
    "repliers",
    [
        ("b/1", "c/1", "d/2"),
        ("b/1", "c/1", "d/2", "x/2"),
        ("b/1", "c/2", "d/2", "e/2"),
    ],
)
def test_other_voters_are_waited_for(repliers):
    """A voter that may have recorded an acknowledgement must be waited for.

    Either a voter and its host are silent, or too few replies are left for a quorum.
    """
    state = StartupCheck(0.0)
    for voter in repliers:
        state.add_reply(reply(voter))
    assert not state.is_sufficient("a/1", VOTERS, late=False)


def test_first_campaigns_are_staggered():
    """Voters that campaign at the same moment must not split the vote repeatedly."""
    simulation = restart_all(1)
    drain(simulation, "abcde")
    assert all(
        node.replica.state.startup_check.done for node in simulation.nodes.values()
    )
    waits = sorted(
        node.replica.state.election_deadline - node.clock
        for node in simulation.nodes.values()
    )
    gaps = [later - sooner for sooner, later in zip(waits, waits[1:], strict=False)]
    assert min(gaps) >= DEFAULT_FIRST_ELECTION_SPACING / 2


def test_a_repair_waits_until_the_old_identity_is_known_to_be_silent():
    """The repair of a host that restarted quickly never ended, and tolerated no loss.

    The host lost its disk and joined under a new identity before the leader considered
    the old one silent. The new identity became a voter beside the old one, which no
    later step removed.
    """
    simulation = make_simulation("abc")
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    node = simulation.nodes["a"]
    state, now = node.replica.state, node.clock
    learner = Member("b/2", "b", "b", False)
    state.members = state.members._replace(all=(*state.members.all, learner))
    progress = Progress(1, now, match=state.log.last_index, counted=True)
    state.progress_by_replica["b/2"] = progress
    commands = [repair_decisions.RepairCommand("b", "b")]
    assert repair_decisions.next_membership(state, commands, now) is None
    silent = now + state.tuning.election_max + 0.1
    for replica in ("b/2", "c/1"):
        state.progress_by_replica[replica].last_contact = silent
    step = repair_decisions.next_membership(state, commands, silent)
    assert [member.replica for member in step] == ["a/1", "c/1", "b/2"]
