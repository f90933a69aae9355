"""Tunnels whose bytes are always there."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from bitterntiller.components.tunnels import server
from bitterntiller.components.tunnels.stream import TunnelSocket, pack_part
from bitterntiller.core.clock import RuntimeClock
from tests.core.unending import EndlessSocket, TurnCounter, counting_turns

SECONDS = 0.2
PAYLOAD = b"x" * 1000
Pass = Callable[[TurnCounter], Awaitable[None]]


async def async_pass_to_upstream(counter: TurnCounter) -> None:
    source = EndlessSocket(counter, b"", PAYLOAD)
    target = EndlessSocket(counter, b"", PAYLOAD)
    counts = server._Counts()
    await server._async_pass_to_upstream(source, target, counts, RuntimeClock())


async def async_pass_to_host(counter: TurnCounter) -> None:
    source = EndlessSocket(counter, b"", PAYLOAD)
    target = EndlessSocket(counter, b"", PAYLOAD)
    await server._async_pass_to_host(source, target, server._Counts(), lambda: None)


async def async_read_tunnel(counter: TurnCounter) -> None:
    parts = pack_part(PAYLOAD) + pack_part(b"y") * 1000
    sock = TunnelSocket(EndlessSocket(counter, b"", parts))
    reads_by_turn: dict[int, int] = {}
    while await sock.recv(65536):
        reads = reads_by_turn[counter.turns] = reads_by_turn.get(counter.turns, 0) + 1
        assert reads <= 64


@pytest.mark.parametrize(
    "use", [async_pass_to_upstream, async_pass_to_host, async_read_tunnel]
)
def test_tunnel_with_bytes_without_end_lets_other_tasks_run(use):
    """An upstream that sends without pause stops the hosts of its tunnel."""

    async def async_main() -> bool:
        async with counting_turns() as counter:
            async with curio.ignore_after(SECONDS):
                await use(counter)
                return False
        return True

    assert curio.run(async_main)
