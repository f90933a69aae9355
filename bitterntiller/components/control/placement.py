"""Assignment of pools to processes, without I/O."""

from collections import Counter
from collections.abc import Callable, Iterable

import xxhash

from bitterntiller.components.control.models import Owner, Session
from bitterntiller.protocol import messages


def plan_assignments(
    pools: Iterable[str],
    owners_by_pool: dict[str, Owner],
    hosts: dict[str, Session],
    lease_expired: Callable[[Owner], bool],
) -> list[messages.Assignment]:
    """Return the assignments that are due.

    hosts are the sessions that pools can be assigned to. lease_expired returns whether
    an owner certainly can't act any more. A pool whose owner may still act is not
    moved, not even to a new host: after a move, all waiting requests have to be
    registered again.
    """
    wanted = set(pools)
    kept = {
        pool: owner
        for pool, owner in owners_by_pool.items()
        if pool in wanted and not lease_expired(owner)
    }
    unused = owners_by_pool.keys() - wanted
    if not hosts:
        unused = owners_by_pool.keys() - kept.keys()
    plan = [_assignment(pool, None, owners_by_pool) for pool in sorted(unused)]
    if not hosts:
        return plan
    load = Counter(owner.host for owner in kept.values())
    for pool in sorted(wanted - kept.keys()):
        host = min(hosts, key=lambda name: (load[name], -_weight(pool, name)))
        load[host] += 1
        plan.append(_assignment(pool, hosts[host], owners_by_pool))
    return plan


def _weight(pool: str, host: str) -> int:
    """Return the rendezvous hash weight, which does not depend on other hosts."""
    return xxhash.xxh3_64_intdigest(f"{pool}\0{host}".encode())


def _assignment(
    pool: str, session: Session | None, owners_by_pool: dict[str, Owner]
) -> messages.Assignment:
    owner = owners_by_pool.get(pool)
    return messages.Assignment(
        pool=pool,
        host=session.host if session else "",
        incarnation=session.incarnation if session else "",
        address=session.address if session else "",
        expected_epoch=owner.epoch if owner else 0,
    )
