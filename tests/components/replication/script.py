"""Directed schedules: who is connected, who syncs, who campaigns."""

from collections.abc import Callable, Collection

from bitterntiller.components.replication.state import Role

from .cluster import Node
from .explorer import World
from .profiles import Profile


def world_of(hosts: str) -> World:
    """Return connected replicas that have asked about themselves."""
    # A story says who campaigns; nobody else does so by itself within its ticks.
    profile = Profile(
        hosts=hosts, first=len(hosts), grace=0.0, batch=1, first_election_spacing=0.5
    )
    world = World(1, profile)
    world.calm, world.lateness = True, 0.0
    for node in world.nodes.values():
        node.rate = 1.0
    drain(world, hosts)
    return world


def drain(
    world: World,
    hosts: Collection[str],
    until: Callable[[], bool] = lambda: False,
    syncing: Collection[str] | None = None,
) -> None:
    """Deliver among some hosts until nothing is left; the rest is lost."""
    syncing = hosts if syncing is None else syncing
    for _ in range(2000):
        if until():
            break
        if not _sync_one(world, syncing) and not _deliver_one(world, hosts):
            break
    world.network.clear()


def _sync_one(world: World, hosts: Collection[str]) -> bool:
    for host in hosts:
        node = world.nodes[host]
        if node.write:
            world.finish_write(node)
            node.replica.persisted(node.disk_number, node.clock)
            world.after(node)
            return True
    return False


def _deliver_one(world: World, hosts: Collection[str]) -> bool:
    while world.network:
        source, to, message = world.network.pop(0)
        node = world.nodes[to.partition("/")[0]]
        if source in hosts and node.host in hosts and node.replica:
            node.replica.receive(message, node.clock)
            world.after(node)
            return True
    return False


def elect(
    world: World, host: str, hosts: Collection[str], syncing: str | None = None
) -> bool:
    """Let a host campaign; return whether it leads, all else then lost."""
    node = world.nodes[host]
    for _ in range(4):
        for other in world.nodes.values():
            other.clock += 2.0
        node.replica.tick(node.clock)
        world.after(node)
        drain(world, hosts, lambda: leads(node), syncing)
        if leads(node):
            return True
    return False


def leads(node: Node) -> bool:
    return node.replica.state.role is Role.LEADER


def tick(world: World, hosts: Collection[str]) -> None:
    """Let a heartbeat's time pass for some hosts."""
    for host in hosts:
        node = world.nodes[host]
        node.clock += 0.2
        node.replica.tick(node.clock)
        world.after(node)


def settle(world: World, hosts: Collection[str]) -> None:
    """Let all of some hosts learn what is committed."""
    for _ in range(2):
        tick(world, hosts)
        drain(world, hosts)
