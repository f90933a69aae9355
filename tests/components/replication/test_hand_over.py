"""A leader that stops hands its lead over."""

import pytest

from bitterntiller.components.replication.models import TimeoutNow

from .explorer import Simulation
from .script import drain, elect, leads, make_simulation, settle, tick


def led_by_a() -> Simulation:
    simulation = make_simulation("abc")
    assert elect(simulation, "a", "abc")
    settle(simulation, "abc")
    return simulation


def hand_over(simulation: Simulation) -> str:
    """Have a hand over and stop; return who was asked."""
    node = simulation.nodes["a"]
    successor = node.replica.transfer_leadership(node.clock)
    simulation.apply_effects(node)
    return successor


def leaders(simulation: Simulation) -> list[str]:
    return [host for host, node in simulation.nodes.items() if leads(node)]


def test_another_replica_leads_before_any_time_passes():
    """Calls are refused for a second each time a control host is restarted.

    Its leader stops and hands its lead to nobody. The others wait for an election
    timeout, and hosts whose leases end in it take no work.
    """
    simulation = led_by_a()
    successor = hand_over(simulation)
    drain(simulation, "abc")
    assert [f"{host}/1" for host in leaders(simulation)] == [successor]
    assert successor != "a/1"


def test_lead_goes_to_the_replica_that_lacks_least():
    """The lead is offered to a replica that may not win, and an election follows."""
    simulation = led_by_a()
    leader = simulation.nodes["a"]
    for number in range(9):
        leader.replica.propose(b"%d" % number)
        simulation.apply_effects(leader)
        drain(simulation, "ac")
    tick(simulation, "a")
    assert hand_over(simulation) == "c/1"
    drain(simulation, "abc")
    assert leaders(simulation) == ["c"]


def test_what_is_on_its_way_reaches_the_successor_before_its_call():
    """A change of the last moment keeps the successor from being elected."""
    simulation = led_by_a()
    leader = simulation.nodes["a"]
    leader.replica.propose(b"last")
    hand_over(simulation)
    drain(simulation, "abc")
    assert leaders(simulation) != ["a"]
    assert len(leaders(simulation)) == 1


@pytest.mark.parametrize("host", ["b", "c"])
def test_replica_that_does_not_lead_hands_nothing_over(host):
    simulation = led_by_a()
    node = simulation.nodes[host]
    assert node.replica.transfer_leadership(node.clock) == ""


def test_leader_that_hears_nobody_keeps_its_lead():
    """A control host stops as the last one, and has nobody to wait for."""
    simulation = led_by_a()
    simulation.nodes["a"].clock += 0.9
    assert hand_over(simulation) == ""


def test_late_call_of_an_earlier_term_is_ignored():
    """A leader is deposed by a call to lead that was delayed for a minute."""
    simulation = led_by_a()
    successor = hand_over(simulation)
    late = [item for item in simulation.network if isinstance(item[2], TimeoutNow)]
    drain(simulation, "abc")
    assert elect(simulation, "a", "abc")
    term = simulation.nodes["a"].replica.state.term
    simulation.network += late
    drain(simulation, "abc")
    assert successor
    assert leaders(simulation) == ["a"]
    assert simulation.nodes["a"].replica.state.term == term
