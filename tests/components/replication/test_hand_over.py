"""Leadership transfer from a leader that stops."""

import pytest

from bitterntiller.components.replication.models import TimeoutNow

from .explorer import Simulation
from .script import drain, elect, leads, make_simulation, settle, tick


def led_by_a() -> Simulation:
    simulation = make_simulation("abc")
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    return simulation


def transfer_leadership(simulation: Simulation) -> str:
    """Make a transfer its leadership; return the chosen successor."""
    node = simulation.nodes["a"]
    successor = node.replica.transfer_leadership(node.clock)
    simulation.apply_effects(node)
    return successor


def leaders(simulation: Simulation) -> list[str]:
    return [host for host, node in simulation.nodes.items() if leads(node)]


def test_successor_leads_before_any_time_passes():
    """Requests were refused for a second at each restart of a control host.

    Its leader stopped without a transfer. The others waited for an election timeout,
    and hosts whose leases expired in that time accepted no work.
    """
    simulation = led_by_a()
    successor = transfer_leadership(simulation)
    drain(simulation, "abc")
    assert [f"{host}/1" for host in leaders(simulation)] == [successor]
    assert successor != "a/1"


def test_successor_has_the_longest_log():
    """A successor without the longest log might lose, which costs another election."""
    simulation = led_by_a()
    leader = simulation.nodes["a"]
    for number in range(9):
        leader.replica.propose(b"%d" % number)
        simulation.apply_effects(leader)
        drain(simulation, "ac")
    tick(simulation, "a")
    assert transfer_leadership(simulation) == "c/1"
    drain(simulation, "abc")
    assert leaders(simulation) == ["c"]


def test_successor_gets_pending_entries_before_timeout_now():
    """A proposal just before the transfer must not keep the successor from winning."""
    simulation = led_by_a()
    leader = simulation.nodes["a"]
    leader.replica.propose(b"last")
    transfer_leadership(simulation)
    drain(simulation, "abc")
    assert leaders(simulation) != ["a"]
    assert len(leaders(simulation)) == 1


@pytest.mark.parametrize("host", ["b", "c"])
def test_follower_transfers_no_leadership(host):
    simulation = led_by_a()
    node = simulation.nodes[host]
    assert node.replica.transfer_leadership(node.clock) == ""


def test_leader_without_contact_keeps_its_leadership():
    """The last control host that runs must not wait for a successor when it stops."""
    simulation = led_by_a()
    simulation.nodes["a"].clock += 0.9
    assert transfer_leadership(simulation) == ""


def test_timeout_now_of_an_earlier_term_is_ignored():
    """A TimeoutNow that was delayed for a minute must not depose a leader."""
    simulation = led_by_a()
    successor = transfer_leadership(simulation)
    late = [item for item in simulation.network if isinstance(item[2], TimeoutNow)]
    drain(simulation, "abc")
    assert elect(simulation, "a", "abc")
    term = simulation.nodes["a"].replica.state.term
    simulation.network += late
    drain(simulation, "abc")
    assert successor
    assert leaders(simulation) == ["a"]
    assert simulation.nodes["a"].replica.state.term == term
