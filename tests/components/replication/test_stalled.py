"""Replica whose disk stalls."""

import random

from bitterntiller.components.replication.core import Replica
from bitterntiller.components.replication.models import Member, Tuning
from bitterntiller.components.replication.state import Role, initial_persistent_state


def leader() -> Replica:
    replica = Replica(initial_persistent_state("a/1"), Tuning(), random.Random(1), 0.0)
    replica.bootstrap([Member("a/1", "a", "127.0.0.1:1", True)])
    now = 0.0
    while replica.state.role is not Role.LEADER:
        now += 0.1
        replica.tick(now)
        effects = replica.take_effects(now)
        if effects.persist is not None:
            replica.persisted(effects.persist.number, now)
    return replica


def test_leader_with_a_stalled_disk_steps_down():
    """The leader's disk stalls for seconds, and no change is acknowledged.

    The other replicas have healthy disks and hold each entry, but only the leader
    replies to callers, and it applies only what its own disk holds. It must step down.
    """
    replica = leader()
    assert replica.set_stalled(True, 5.0)
    assert replica.state.role is Role.FOLLOWER
    replica.tick(8.0)
    assert replica.state.role is Role.FOLLOWER
    replica.set_stalled(False, 8.0)
    replica.tick(10.0)
    assert replica.state.role is not Role.FOLLOWER
