"""Directed schedules: which hosts are connected, sync or campaign."""

from collections.abc import Callable, Collection

from bitterntiller.components.replication.state import Role

from .cluster import Node
from .explorer import Simulation
from .profiles import Profile


def make_simulation(hosts: str) -> Simulation:
    """Return connected replicas that have completed their startup checks."""
    # A schedule decides which host campaigns; no other does within its ticks.
    profile = Profile(
        hosts=hosts,
        initial_voters=len(hosts),
        grace=0.0,
        batch=1,
        first_election_spacing=0.5,
    )
    simulation = Simulation(1, profile)
    simulation.fault_free, simulation.reorder_probability = True, 0.0
    for node in simulation.nodes.values():
        node.rate = 1.0
    drain(simulation, hosts)
    return simulation


def drain(
    simulation: Simulation,
    hosts: Collection[str],
    until: Callable[[], bool] = lambda: False,
    syncing: Collection[str] | None = None,
) -> None:
    """Deliver messages and sync among some hosts until idle; drop the rest."""
    syncing = hosts if syncing is None else syncing
    for _ in range(2000):
        if until():
            break
        if not _sync_one(simulation, syncing) and not _deliver_one(simulation, hosts):
            break
    simulation.network.clear()


def _sync_one(simulation: Simulation, hosts: Collection[str]) -> bool:
    for host in hosts:
        node = simulation.nodes[host]
        if node.write:
            simulation.finish_write(node)
            node.replica.persisted(node.disk_number, node.clock)
            simulation.apply_effects(node)
            return True
    return False


def _deliver_one(simulation: Simulation, hosts: Collection[str]) -> bool:
    while simulation.network:
        source, to, message = simulation.network.pop(0)
        node = simulation.nodes[to.partition("/")[0]]
        if source in hosts and node.host in hosts and node.replica:
            node.replica.receive(message, node.clock)
            simulation.apply_effects(node)
            return True
    return False


def elect(
    simulation: Simulation,
    host: str,
    hosts: Collection[str],
    syncing: str | None = None,
) -> bool:
    """Let a host campaign and drop other messages; return whether it leads."""
    node = simulation.nodes[host]
    for _ in range(4):
        for other in simulation.nodes.values():
            other.clock += 2.0
        node.replica.tick(node.clock)
        simulation.apply_effects(node)
        drain(simulation, hosts, lambda: leads(node), syncing)
        if leads(node):
            return True
    return False


def leads(node: Node) -> bool:
    return node.replica.state.role is Role.LEADER


def tick(simulation: Simulation, hosts: Collection[str]) -> None:
    """Advance the clocks of some hosts by more than a heartbeat interval."""
    for host in hosts:
        node = simulation.nodes[host]
        node.clock += 0.2
        node.replica.tick(node.clock)
        simulation.apply_effects(node)


def settle(simulation: Simulation, hosts: Collection[str]) -> None:
    """Let some hosts exchange heartbeats until all know the commit index."""
    for _ in range(2):
        tick(simulation, hosts)
        drain(simulation, hosts)
