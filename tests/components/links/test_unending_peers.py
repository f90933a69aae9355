"""Peers whose bytes are always there don't keep a host from its other work."""

import socket
import threading
import time
from typing import Any

import curio
import pytest

from bitterntiller.components.links import handshake
from bitterntiller.components.links.budget import LinkBudget
from bitterntiller.components.links.connection import Connection
from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import pack
from bitterntiller.components.links.models import Peer
from bitterntiller.components.settings.models import Limits
from bitterntiller.protocol import messages
from tests.components.entry.fakes import FakeMetrics
from tests.components.links.builders import KEY
from tests.core.unending import EndlessSocket, counting_turns

PEER = Peer("b", "i", "127.0.0.1:1")
CANCEL = pack(messages.Cancel(request_id="r1", pool="p"))
PONG = pack(messages.LinkPong(unused=False))
SECONDS = 0.2

BACKLOG = 1500
PASS_SECONDS = 0.02
MOST_SECONDS = 10.0
"""Messages that arrive at once, and seconds of each pass of a busy process, in which it
handles 16 of them."""


def make_connection(sock: Any, async_handle: Any) -> Connection:
    return Connection(sock, PEER, async_handle, FakeMetrics(), LinkBudget(Limits()))


@pytest.mark.parametrize("frames", [1, 50])
def test_messages_without_end_are_handled_in_turn_with_other_tasks(frames):
    """A host that sends without pause stops the one that receives."""
    turns_by_message: list[int] = []

    async def async_main() -> bool:
        async with counting_turns() as counter:

            async def async_handle(connection: Connection, incoming: Any) -> None:
                turns_by_message.append(counter.turns)

            sock = EndlessSocket(counter, b"", CANCEL * frames)
            connection = make_connection(sock, async_handle)
            async with curio.ignore_after(SECONDS):
                await connection.async_run()
                return False
            return True

    assert curio.run(async_main)
    assert len(turns_by_message) / len(set(turns_by_message)) <= 20


def test_frame_that_arrives_byte_by_byte_lets_other_tasks_run():
    async def async_main() -> int:
        async with counting_turns() as counter:
            sock = EndlessSocket(counter, b"\0\0\x0f\xff", b"x")
            return len(await handshake.async_read_frame(sock))

    assert curio.run(async_main) == 0xFFF


@pytest.mark.parametrize("accepting", [True, False])
def test_handshake_in_single_bytes_ends_at_its_time(monkeypatch, accepting):
    """A peer that sends a byte now and then puts off the end of the handshake."""
    monkeypatch.setattr(handshake, "HANDSHAKE_TIMEOUT", SECONDS)

    async def async_main() -> float:
        async def async_send_bytes(sock: Any) -> None:
            await sock.sendall(b"\0\0\x0f")
            while True:
                await sock.sendall(b"\xff")
                await curio.sleep(SECONDS / 10)

        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        async with listener, await curio.open_connection("127.0.0.1", port) as peer:
            sock, _ = await listener.accept()
            sending = await curio.spawn(async_send_bytes, peer)
            began = await curio.clock()
            with pytest.raises(HandshakeError):
                if accepting:
                    await handshake.async_accept(sock, KEY, PEER)
                else:
                    await handshake.async_connect(sock, KEY, PEER, PEER.address)
            seconds = await curio.clock() - began
            await sending.cancel()
            await sock.close()
            return seconds

    assert curio.run(async_main) < 5 * SECONDS


def test_peer_is_not_silent_while_its_messages_await_their_turn():
    """A host behind with a peer's messages closed the link and lost the rest."""
    near, far = socket.socketpair()
    handled = []

    def answer() -> None:
        far.sendall(CANCEL * BACKLOG)
        while far.recv(65536):
            far.sendall(PONG)

    async def async_handle(connection: Connection, incoming: Any) -> None:
        handled.append(incoming)

    async def async_be_busy() -> None:
        while True:
            time.sleep(PASS_SECONDS)
            await curio.sleep(0)

    async def async_main() -> bool:
        sock = curio.io.Socket(near)
        connection = make_connection(sock, async_handle)
        busy = await curio.spawn(async_be_busy)
        running = await curio.spawn(connection.async_run)
        began = time.monotonic()
        while (
            connection.open
            and len(handled) < BACKLOG
            and time.monotonic() - began < MOST_SECONDS
        ):
            connection.send(messages.Cancel(request_id="r2", pool="p"))
            await connection.async_flush_soon()
            await curio.sleep(0.05)
        was_open = connection.open
        await busy.cancel()
        await running.cancel()
        return was_open

    peer = threading.Thread(target=answer)
    peer.start()
    assert curio.run(async_main)
    peer.join()
    far.close()
    assert len(handled) == BACKLOG
