"""Tunnels whose bytes are always there, and tunnels whose request has ended."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from bitterntiller.components.tunnels import server
from bitterntiller.components.tunnels.client import async_open_tunnel
from bitterntiller.components.tunnels.stream import TunnelSocket, pack_part
from bitterntiller.core.clock import RuntimeClock
from tests.components.tunnels.builders import hosts, upstream
from tests.core.unending import EndlessSocket, TurnCounter, counting_turns

SECONDS = 0.2
END_SECONDS = 0.2
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


async def async_idle(sock: Any) -> None:
    while await sock.recv(65536):
        pass


async def async_flood(sock: Any) -> None:
    while True:
        await sock.sendall(PAYLOAD * 50)
        await curio.sleep(0)


async def async_read_nothing(sock: Any) -> None:
    await curio.sleep(10.0)


@pytest.mark.parametrize("sends", [10, 20_000_000])
@pytest.mark.parametrize("answer", [async_idle, async_flood, async_read_nothing])
def test_tunnel_of_an_ended_request_ends_at_once(answer, sends):
    """A host between keeps a tunnel whose upstream reads nothing until that closes."""

    async def async_main() -> float:
        async with hosts("a", "b") as (a, b), upstream(answer) as e:
            address = b.links.own.address
            sock = await async_open_tunnel(a.links, address, e.destination())
            async with curio.ignore_after(0.3):
                await sock.sendall(b"x" * sends)
            await curio.sleep(0.1)
            assert b.server.carried == 1
            await sock.close()
            closed_at = await curio.clock()
            async with curio.ignore_after(2.0):
                while b.server.carried:
                    await curio.sleep(0.005)
            return await curio.clock() - closed_at

    assert curio.run(async_main) < END_SECONDS
