"""Pool owners that are computed from the membership."""

from bitterntiller.components.node.models import Host
from bitterntiller.components.node.owners import RendezvousOwners

CORE = ("core-a", "core-b", "core-c")
EDGES = ("edge-a", "edge-b")


class Directory:
    def __init__(self) -> None:
        hosts = [
            Host(name, f"{name}:1", "bole", "i", ("dispatch", "control"))
            for name in CORE
        ]
        hosts += [
            Host(name, f"{name}:1", "bole", "i", ("dispatch", "entry"))
            for name in EDGES
        ]
        self.hosts_by_name = {host.name: host for host in hosts}


def test_same_hosts_give_the_same_owner():
    pools = [f"pool-{number}" for number in range(40)]
    chosen = [RendezvousOwners(Directory()).owner(pool).host for pool in pools]
    assert chosen == [RendezvousOwners(Directory()).owner(pool).host for pool in pools]
    assert set(chosen) == set(CORE)


def test_next_host_owns_until_the_first_responds_again():
    """Guards against seconds without grants after the owner died."""
    owners = RendezvousOwners(Directory())
    first = owners.owner("llm")
    assert owners.suspect(first.host)
    assert not owners.suspect(first.host)
    second = owners.owner("llm")
    assert second.host != first.host
    assert owners.record_answer(first.host, "i2")
    assert owners.owner("llm").host == first.host


def test_entry_hosts_own_pools_while_control_is_down():
    """Guards against a time without grants while all hosts of control restart."""
    owners = RendezvousOwners(Directory())
    for host in CORE:
        owners.suspect(host)
    assert owners.owner("llm").host in EDGES
    for host in EDGES:
        owners.suspect(host)
    assert owners.owner("llm") is None


def test_restarted_owner_is_a_different_owner():
    """An owner restarts quickly and has no record of the waiting requests."""
    owners = RendezvousOwners(Directory())
    host = owners.owner("llm").host
    owners.record_answer(host, "i1")
    before = owners.owner("llm")
    assert owners.record_answer(host, "i2")
    assert owners.owner("llm") != before
