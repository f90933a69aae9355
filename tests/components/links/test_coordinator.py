"""Tests of messages between hosts over loopback."""

import os
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from bitterntiller.components.links import const, coordinator, handshake
from bitterntiller.components.links.errors import LinkUnreachableError
from bitterntiller.components.links.frames import FrameBuffer, pack, unpack
from bitterntiller.components.links.models import Peer
from bitterntiller.core.clock import RuntimeClock
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.protocol import messages
from tests.components.links.builders import (
    KEY,
    free_port,
    make_links,
    serving,
)

CANCEL = messages.Cancel(request_id="r1", pool="p")


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    return curio.run(main)


async def async_until(condition: Callable[[], Any], seconds: float = 5.0) -> None:
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.01)


def collector(got: list[Any]) -> Any:
    async def async_handle(host: str, message: Any) -> None:
        got.append((host, message.request_id))

    return async_handle


def test_messages_reach_a_peer_in_order():
    got: list[Any] = []

    async def async_main() -> None:
        async with serving("a") as (a, _), serving("b") as (b, _):
            b.handle(messages.Cancel, collector(got))
            for number in range(50):
                message = messages.Cancel(request_id=str(number), pool="p")
                assert await a.async_send(b.own.address, message)
            await async_until(lambda: len(got) == 50)

    run(async_main)
    assert got == [("a", str(number)) for number in range(50)]


def test_message_directly_after_the_hello_reply():
    """A message in the same segment as the hello reply must not be lost.

    The accepting host has a message to send at once. The connecting host took both
    frames for a failed handshake, or lost the part of the second one that it had read,
    so that each new connection broke immediately.
    """

    async def async_main() -> Any:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]

        async def async_accept() -> None:
            sock, _ = await listener.accept()
            await sock.sendall(pack(messages.Challenge(nonce=b"n" * 32)))
            await sock.recv(65536)
            reply = pack(messages.HelloReply(host="b", incarnation="i"))
            await sock.sendall(reply + pack(CANCEL)[:9])
            await sock.sendall(pack(CANCEL)[9:])
            await sock.recv(65536)

        task = await curio.spawn(async_accept)
        sock = await curio.open_connection("127.0.0.1", port)
        own = Peer("a", "i", "127.0.0.1:1")
        peer = await handshake.async_connect(sock, KEY, own, f"127.0.0.1:{port}")
        buffer = FrameBuffer()
        frames: list[bytes] = []
        while not frames:
            frames = buffer.feed(await sock.recv(65536))
        await sock.close()
        await task.join()
        await listener.close()
        return peer.host, unpack(frames[0]).message.request_id

    assert run(async_main) == ("b", "r1")


def test_wrong_key_is_rejected_and_counted():
    async def async_main() -> tuple[bool, int]:
        async with serving("b") as (b, _):
            a = make_links("a", free_port())
            a._key = b"another key"
            left = await a.async_send(b.own.address, CANCEL)
            return left, b._metrics.counts[const.METRIC_WRONG_KEY]

    assert run(async_main) == (False, 1)


def test_failed_handshakes_leak_no_sockets():
    async def async_main() -> int:
        async with serving("b") as (b, _):
            a = make_links("a", free_port())
            a._key = b"another key"
            before = len(os.listdir("/proc/self/fd"))
            kept = []
            for _ in range(20):
                a._failed_at_by_address.clear()
                kept.append(await a.async_send(b.own.address, CANCEL))
            return len(os.listdir("/proc/self/fd")) - before

    assert run(async_main) <= 2


def test_call_to_a_suspended_peer_times_out():
    """The timeout of a call must include the handshake.

    The kernel of a suspended control host accepts connections, but the handshake gets
    no response. A call with a timeout of 0.2 s took 2 s, so heartbeats reached the
    other control hosts too late, and a host lost its lease although control had a
    quorum.
    """

    async def async_main() -> float:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        a = make_links("a", free_port())
        clock = RuntimeClock()
        began = clock.now()
        with pytest.raises(LinkUnreachableError):
            await a.async_call(address, CANCEL, 0.2)
        took = clock.now() - began
        await a.async_close()
        await listener.close()
        return took

    assert run(async_main) < 1.0


def test_restarted_peer_gets_new_messages():
    """Messages must use the connection of the new process after a power loss.

    The old connection got no reset, so the peer considered it open and kept sending on
    it for 15 minutes, although the new process had opened a connection.
    """
    got: list[Any] = []

    async def async_main() -> None:
        port = free_port()
        async with serving("a") as (a, _):
            old = make_links("b", port, "old")
            assert await old.async_send(a.own.address, CANCEL)
            await async_until(lambda: a.connected())
            async with serving("b", "new", port) as (new, _):
                new.handle(messages.Cancel, collector(got))
                assert await new.async_send(a.own.address, CANCEL)
                await curio.sleep(0.1)
                assert await a.async_send(f"127.0.0.1:{port}", CANCEL)
                await async_until(lambda: got, 2.0)
            await old.async_close()

    run(async_main)
    assert got == [("a", "r1")]


def test_connection_to_an_unresponsive_host_breaks(monkeypatch):
    """The user timeout must close a connection to a host that lost power.

    Without it, sends of grants succeed for 15 minutes, since no reset arrives. Here the
    peer reads nothing until its kernel accepts no more bytes.
    """
    monkeypatch.setattr(const, "KEEPALIVE_TIMEOUT", 1)

    async def async_main() -> None:
        stuck = curio.Event()

        async def async_stick(host: str, message: Any) -> None:
            await stuck.wait()

        async with serving("a") as (a, _), serving("b") as (b, _):
            b.handle(messages.SnapshotPiece, async_stick)
            piece = messages.SnapshotPiece(
                term=1,
                leader="a",
                last_index=1,
                last_term=1,
                offset=0,
                data=bytes(3_000_000),
                done=False,
                members=b"",
                round=1,
            )
            for _ in range(5):
                await a.async_send(b.own.address, piece)
            await async_until(lambda: not a.connected(), 20.0)

    run(async_main)


def test_broken_invariant_in_a_handler_stops_the_process():
    """A broken invariant must stop the process, not only the message's task.

    Otherwise the process continues with a state that it has found to be inconsistent.
    """

    async def async_break(host: str, message: Any) -> None:
        raise BrokenInvariantError("two owners")

    async def async_main() -> list[str]:
        async with serving("a") as (a, _), serving("b") as (b, recorder):
            b.handle(messages.Cancel, async_break)
            await a.async_send(b.own.address, CANCEL)
            await async_until(lambda: recorder.failures, 2.0)
            return [str(error) for error in recorder.failures]

    assert len(run(async_main)) == 1


def test_arbitrary_bytes_on_the_internal_port():
    """Arbitrary bytes on the internal port must not stop the links."""

    async def async_main() -> bool:
        async with serving("a") as (a, _), serving("b") as (b, _):
            for data in (b"\xff" * 64, b"\0\0\0\x01x", b"GET / HTTP/1.1\r\n\r\n"):
                sock = await curio.open_connection("127.0.0.1", b._listen.port)
                await sock.sendall(data)
                await sock.close()
            return await a.async_send(b.own.address, CANCEL)

    assert run(async_main)


def test_one_way_connection_stays_open():
    """The liveness check must not close a connection with traffic in one direction.

    One host only sends and the other only receives, so there is always sent data that
    got no response yet. Healthy hosts lost their connections once a second.
    """

    async def async_main() -> bool:
        got: list[Any] = []
        async with serving("a") as (a, _), serving("b") as (b, _):
            b.handle(messages.Cancel, collector(got))
            await a.async_send(b.own.address, CANCEL)
            (connection,) = a._connections_by_address.values()
            for _ in range(100):
                await a.async_send(b.own.address, CANCEL)
                await curio.sleep(0.02)
            return connection.open

    assert run(async_main)


def test_silent_connection_is_closed():
    """A connection that loses all bytes in one direction must be replaced.

    It got no reset, so an entry host kept waiting for grants of a healthy owner,
    although a new connection would have worked at once.
    """

    async def async_main() -> int:
        got: list[Any] = []
        async with serving("a") as (a, _), serving("b") as (b, _):
            b.handle(messages.Cancel, collector(got))
            await a.async_send(b.own.address, CANCEL)
            await async_until(lambda: got)
            (connection,) = b._connections_by_address.values()

            async def async_drop(_incoming: Any) -> None:
                return

            connection._async_on_frame = async_drop
            await a.async_send(b.own.address, CANCEL)
            await async_until(lambda: not a.connected(), 3.0)
            await curio.sleep(const.RECONNECT_DELAY)
            assert await a.async_send(b.own.address, CANCEL)
            await async_until(lambda: len(got) == 2)
            return len(got)

    assert run(async_main) == 2


def test_connection_from_a_peer_is_used_while_the_own_attempt_hangs(monkeypatch):
    """Messages must use a connection that the peer opened during a hanging attempt.

    A host connects to another just before that one is up again, and the attempt hangs
    until the kernel retries. The other host connected at once, but messages to it kept
    waiting, so control had no leader for one second more after a power loss.
    """
    got: list[Any] = []
    attempt_started = curio.Event()

    async def async_hang(ip: str, port: int, timeout: float) -> Any:
        await attempt_started.set()
        await curio.sleep(5.0)
        raise OSError("no response")

    async def async_main() -> None:
        async with serving("a") as (a, _), serving("b") as (b, _):
            b.handle(messages.Cancel, collector(got))
            connect = coordinator.async_connect
            monkeypatch.setattr(coordinator, "async_connect", async_hang)
            sending = await curio.spawn(a.async_send, b.own.address, CANCEL)
            await attempt_started.wait()
            monkeypatch.setattr(coordinator, "async_connect", connect)
            assert await b.async_send(a.own.address, CANCEL)
            async with curio.timeout_after(1.0):
                assert await sending.join()
            await async_until(lambda: got, 1.0)

    run(async_main)
    assert got == [("a", "r1")]


def test_purpose_of_a_connection_is_proved():
    """A recorded proof of one connection opened another kind of connection."""
    peer = Peer("a", "i", "127.0.0.1:1")
    nonce = bytes(const.NONCE_BYTES)
    other = peer._replace(purpose="tunnel")
    assert handshake.proof(KEY, nonce, peer) != handshake.proof(KEY, nonce, other)


def test_message_longer_than_a_frame_ends_no_other_call():
    """An operator's body of 5 MB, passed on to the leader, ended the link to it."""

    async def async_main() -> None:
        async def async_answer(host: str, message: Any) -> Any:
            await curio.sleep(0.2)
            return messages.ConfigPart(status="ok", data=b"")

        request = messages.GetConfigPart(version=1, digest=1, offset=0)
        async with serving("a") as (a, _), serving("b") as (b, _):
            b.handle(messages.GetConfigPart, async_answer)
            call = await curio.spawn(a.async_call, b.own.address, request, 2.0)
            await curio.sleep(0.05)
            long = messages.Change(
                change_id="", base_version=0, config=b"x" * 5_000_000
            )
            with pytest.raises(LinkUnreachableError):
                await a.async_call(b.own.address, long, 1.0)
            assert (await call.join()).status == "ok"

    run(async_main)
