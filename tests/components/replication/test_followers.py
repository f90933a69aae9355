"""What a leader holds for followers that are slow, down or loading a snapshot."""

import random

import curio

from bitterntiller.components.replication import sending
from bitterntiller.components.replication.core import Replica
from bitterntiller.components.replication.members import encode_members
from bitterntiller.components.replication.memory import pinned_bytes
from bitterntiller.components.replication.models import (
    Append,
    AppendReply,
    Entry,
    HardState,
    Member,
    PersistentState,
    SnapshotPiece,
    SnapshotReply,
    Tuning,
)
from bitterntiller.components.replication.outbox import Outbox
from bitterntiller.components.replication.progress import Progress
from bitterntiller.components.replication.state import Role
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.core.runtime import Runtime
from bitterntiller.protocol import messages

from .builders import NoMetrics

SIZE = 100_000
BUDGET = Tuning().budget._replace(
    in_flight=3 * SIZE, pinned=2 * SIZE, uncommitted=10**9, outbox=5 * SIZE
)
TUNING = Tuning(budget=BUDGET, startup_check_grace=0.0, piece_bytes=SIZE // 4)


def make_leader(followers):
    """Return a leader at time 0 whose followers have the first entries."""
    members = [Member(f"{name}/1", name, name, True) for name in "a" + followers]
    first = Entry(1, 1, 2, encode_members(members))
    restored = PersistentState("a/1", HardState(1, "a/1", 1), {}, None, (first,))
    replica = Replica(restored, TUNING, random.Random(1), 0.0)
    state = replica.state
    state.role, state.leader, state.commit = Role.LEADER, "a/1", 1
    for name in followers:
        state.progress_by_replica[f"{name}/1"] = Progress(2, 0.0, match=1, counted=True)
    acknowledge(replica, 1)
    return replica


def acknowledge(replica, index, now=0.0, names=None):
    state = replica.state
    for name in names or list(state.progress_by_replica):
        reply = AppendReply(state.term, name, True, index, 0, 0, True, 9)
        replica.receive(reply, now)


def sent(replica, now):
    """Run a replica's effects; return its messages by follower."""
    messages_by_follower = {}
    for _ in range(8):
        effects = replica.take_effects(now)
        for outgoing in effects.messages:
            messages_by_follower.setdefault(outgoing.to, []).append(outgoing.message)
        if effects.persist is None:
            break
        replica.persisted(effects.persist.number, now)
    return messages_by_follower


def test_entries_on_their_way_to_a_slow_follower_are_bounded_in_bytes():
    """Eight messages of any size were on their way to each follower."""
    replica = make_leader("bc")
    for _ in range(20):
        replica.propose(b"x" * SIZE)
    found = sent(replica, 0.01)
    for name in ("b/1", "c/1"):
        appends = [m for m in found[name] if isinstance(m, Append)]
        size = sum(len(e.data) for m in appends for e in m.entries)
        assert size <= BUDGET.in_flight + TUNING.batch_bytes
    acknowledge(replica, replica.state.log.last_index, 0.02)
    assert replica.state.progress_by_replica["b/1"].in_flight_bytes == 0


def follow_with_snapshots(replica, names):
    """Let each follower begin to load a snapshot of its own."""
    for index, name in enumerate(names):
        replica.propose(b"x")
        sent(replica, 0.01)
        acknowledge(replica, replica.state.log.last_index, 0.01)
        sent(replica, 0.01)
        replica.snapshot_taken(replica.state.delivered, b"s" * SIZE)
        state = replica.state
        state.progress_by_replica[name].begin_snapshot(state.snapshot)
        assert state.snapshot.index == 2 + index


def test_snapshots_that_followers_load_are_bounded_in_bytes():
    """Each follower that loads slowly kept a snapshot of its own at the leader.

    The one that began first goes on, so that frequent snapshots can't keep a slow
    follower from finishing.
    """
    replica = make_leader("bcdef")
    names = [f"{name}/1" for name in "bcdef"]
    follow_with_snapshots(replica, names)
    state = replica.state
    first = state.progress_by_replica["b/1"].snapshot
    assert pinned_bytes(state) <= 2 * SIZE
    assert first.index == 2
    for offset in range(0, SIZE, SIZE // 4):
        assert state.progress_by_replica["b/1"].snapshot_offset == offset
        reply = SnapshotReply(1, "b/1", 2, offset + SIZE // 4, 0, False, True, 9)
        replica.receive(reply, 0.02)
    done = SnapshotReply(1, "b/1", 2, SIZE, 0, True, True, 9)
    replica.receive(done, 0.02)
    assert state.progress_by_replica["b/1"].snapshot is None


def test_follower_that_is_down_gets_no_pieces_until_it_replies():
    """A piece for each heartbeat of a follower that is down filled the queues."""
    replica = make_leader("bc")
    follow_with_snapshots(replica, ["c/1"])
    state = replica.state
    later = 0.01 + 2 * TUNING.election_max
    acknowledge(replica, state.log.last_index, later, ["b/1"])
    sending.broadcast(state, later)
    pieces = [m for m in sent(replica, later)["c/1"] if isinstance(m, SnapshotPiece)]
    assert pieces
    assert all(not piece.data and not piece.done for piece in pieces)
    replica.receive(SnapshotReply(1, "c/1", 2, 0, 0, False, True, 9), later)
    sending.broadcast(state, later)
    pieces = [m for m in sent(replica, later)["c/1"] if isinstance(m, SnapshotPiece)]
    assert len(pieces[0].data) == SIZE // 4


def test_messages_for_peers_that_take_none_are_bounded_in_bytes():
    """256 messages of any size were queued for each of them."""

    class StuckLinks:
        async def async_send(self, address, message):
            await curio.sleep(1000)

    async def run():
        runtime = Runtime(None, RuntimeClock(), NoMetrics())
        runtime.links = StuckLinks()
        outbox = Outbox(runtime, BUDGET.outbox)
        async with runtime.stack:
            for number in range(40):
                entries = [messages.Entry(number, 1, 1, b"x" * SIZE)]
                append = messages.Append(entries=entries)
                await outbox.async_put(f"10.0.0.{number % 2}:1", append)
                await curio.sleep(0)
                assert outbox.queued_bytes <= BUDGET.outbox

    curio.run(run)
