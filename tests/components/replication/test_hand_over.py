"""A leader that stops hands its lead over."""

import pytest

from bitterntiller.components.replication.models import TimeoutNow

from .explorer import World
from .script import drain, elect, leads, settle, tick, world_of


def led_by_a() -> World:
    world = world_of("abc")
    assert elect(world, "a", "abc")
    settle(world, "abc")
    return world


def hand_over(world: World) -> str:
    """Have a hand over and stop; return who was asked."""
    node = world.nodes["a"]
    successor = node.replica.transfer_leadership(node.clock)
    world.after(node)
    return successor


def leaders(world: World) -> list[str]:
    return [host for host, node in world.nodes.items() if leads(node)]


def test_another_replica_leads_before_any_time_passes():
    """Calls are refused for a second each time a control host is restarted.

    Its leader stops and hands its lead to nobody. The others wait for an election
    timeout, and hosts whose leases end in it take no work.
    """
    world = led_by_a()
    successor = hand_over(world)
    drain(world, "abc")
    assert [f"{host}/1" for host in leaders(world)] == [successor]
    assert successor != "a/1"


def test_lead_goes_to_the_replica_that_lacks_least():
    """The lead is offered to a replica that may not win, and an election follows."""
    world = led_by_a()
    leader = world.nodes["a"]
    for number in range(9):
        leader.replica.propose(b"%d" % number)
        world.after(leader)
        drain(world, "ac")
    tick(world, "a")
    assert hand_over(world) == "c/1"
    drain(world, "abc")
    assert leaders(world) == ["c"]


def test_what_is_on_its_way_reaches_the_successor_before_its_call():
    """A change of the last moment keeps the successor from being elected."""
    world = led_by_a()
    leader = world.nodes["a"]
    leader.replica.propose(b"last")
    hand_over(world)
    drain(world, "abc")
    assert leaders(world) != ["a"]
    assert len(leaders(world)) == 1


@pytest.mark.parametrize("host", ["b", "c"])
def test_replica_that_does_not_lead_hands_nothing_over(host):
    world = led_by_a()
    node = world.nodes[host]
    assert node.replica.transfer_leadership(node.clock) == ""


def test_leader_that_hears_nobody_keeps_its_lead():
    """A control host stops as the last one, and has nobody to wait for."""
    world = led_by_a()
    world.nodes["a"].clock += 0.9
    assert hand_over(world) == ""


def test_late_call_of_an_earlier_term_is_ignored():
    """A leader is deposed by a call to lead that was delayed for a minute."""
    world = led_by_a()
    successor = hand_over(world)
    late = [item for item in world.network if isinstance(item[2], TimeoutNow)]
    drain(world, "abc")
    assert elect(world, "a", "abc")
    term = world.nodes["a"].replica.state.term
    world.network += late
    drain(world, "abc")
    assert successor
    assert leaders(world) == ["a"]
    assert world.nodes["a"].replica.state.term == term
