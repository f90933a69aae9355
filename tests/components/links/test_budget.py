"""What the links hold for peers that don't read, in bytes."""

import socket

import curio

from bitterntiller.components.links.budget import LinkBudget
from bitterntiller.components.links.connection import Connection
from bitterntiller.components.links.models import Peer
from bitterntiller.components.settings.models import Limits
from bitterntiller.protocol import messages
from tests.components.entry.fakes import FakeMetrics

MEGABYTE = 1024 * 1024
LIMITS = Limits(memory_bytes=64 * MEGABYTE)
PEERS = 20


def piece(size):
    return messages.ConfigPart(status="ok", data=b"x" * size)


def test_peers_that_do_not_read_hold_no_more_than_the_budget():
    """Each of them could take 16 MB, and as much again for what is being written.

    A peer that reads still gets messages while the others have used up the budget.
    """

    async def run():
        budget = LinkBudget(LIMITS)
        pairs = [socket.socketpair() for _ in range(PEERS)]
        connections = []
        async with curio.TaskGroup(wait=any) as group:
            for near, _ in pairs:
                peer = Peer("b", "i", "127.0.0.1:1")
                sock = curio.io.Socket(near)
                connection = Connection(sock, peer, None, FakeMetrics(), budget)
                budget.connections += 1
                connections.append(connection)
                await group.spawn(connection.async_run)
            for _ in range(60):
                for connection in connections[1:]:
                    connection.send(piece(100_000))
                    await connection.async_flush_soon()
                await curio.sleep(0)
            held = budget.queued_bytes
            assert max(c.queued_bytes for c in connections) <= 2 * MEGABYTE
            assert connections[0].send(piece(100_000))
            await group.cancel_remaining()
        for _, far in pairs:
            far.close()
        assert held <= 8 * MEGABYTE
        assert budget.queued_bytes == 0

    curio.run(run)


def test_large_calls_beyond_the_budget_are_not_handled():
    budget = LinkBudget(LIMITS)
    assert budget.may_call(8 * MEGABYTE)
    budget.calls_bytes = 3 * MEGABYTE
    assert budget.may_call(MEGABYTE)
    assert not budget.may_call(2 * MEGABYTE)
    assert budget.may_call(1000)
