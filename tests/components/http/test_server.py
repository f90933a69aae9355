"""Tests of the server's connections, with raw callers on loopback."""

from typing import Any

import curio
from curio import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.components.http.builders import LIMITS, async_read, async_send, serving

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


async def async_ok(exchange: Any) -> None:
    body = await exchange.async_body(1000, 0.3)
    await exchange.async_respond(200, [], exchange.head.target.encode() + body)


async def async_forbid(exchange: Any) -> None:
    await exchange.async_respond(401, [], b"no")


def ask(data: bytes, handler: Any = async_ok, **limits: Any) -> bytes:
    async def async_main() -> bytes:
        async with serving(handler, LIMITS._replace(**limits)) as (_, port):
            return await async_send(port, data)

    return curio.run(async_main)


def test_refusal_reaches_a_caller_that_is_still_sending():
    """A caller with a wrong token sees a broken connection instead of 401.

    It sends a large body while the refusal is on its way. The server closes with
    bytes unread, so that the kernel sends a reset, and the reset takes away the
    answer that the caller has not read yet.
    """
    size = 4_000_000
    head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
    answer = ask(head.encode() + bytes(size), async_forbid)
    assert answer.startswith(b"HTTP/1.1 401")
    assert not answer.endswith(b"RESET")


def test_idle_connection_ends_in_silence():
    """A caller takes a timeout answer for the answer to its next request.

    Its connection is idle for long; the server answers 408 to nothing and closes,
    just as the caller sends a request, which then seems to be refused.
    """
    answer = ask(GET)
    assert answer.count(b"HTTP/1.1") == 1


def test_pipelined_requests_are_answered_in_order():
    answer = ask(GET + GET.replace(b"/a", b"/b"))
    assert answer.count(OK) == 2
    assert answer.index(b"/a") < answer.index(b"/b")


def test_idle_connections_end_at_a_stop():
    """A stopping host keeps callers' connections until it is gone.

    Their next requests meet a connection that breaks, and whether they ran is
    not known to the callers.
    """

    async def async_main() -> bytes:
        async with serving(async_ok, LIMITS._replace(keep_alive=60.0)) as (
            server,
            port,
        ):
            sock = await curio.open_connection("127.0.0.1", port)
            await sock.sendall(GET)
            await sock.recv(65536)
            await curio.sleep(0.05)
            await server.async_drain()
            async with curio.timeout_after(2.0):
                rest = await async_read(sock)
            last = await async_send(port, GET)
            await sock.close()
            return rest + last

    answer = curio.run(async_main)
    assert answer.startswith(OK)
    assert b"connection: close" in answer.lower()


def test_connection_over_the_bound_is_told():
    assert ask(GET, connections=0).startswith(b"HTTP/1.1 503")


def test_slow_body_of_a_head_request():
    """A request that says HEAD and sends half a body gets no answer at all.

    The answer 408 has a body, which HEAD does not allow; the fault that this
    raises ends the connection.
    """
    request = b"HEAD /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
    assert ask(request).startswith(b"HTTP/1.1 408")


def test_target_with_scheme_and_host():
    request = b"GET http://x:1/a?q=1 HTTP/1.1\r\nHost: x\r\n\r\n"
    assert ask(request + b"").startswith(OK)
    assert b"\r\n\r\n/a?q=1" in ask(request)


def test_body_is_asked_for():
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    answer = ask(head + b"Content-Length: 2\r\n\r\nhi")
    assert answer.startswith(b"HTTP/1.1 100 ") or OK in answer


def test_old_caller_gets_its_answer():
    assert OK in ask(b"GET /a HTTP/1.0\r\n\r\n")


def test_head_over_the_bound():
    request = b"GET /a HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"
    assert ask(request).startswith(b"HTTP/1.1 431")


def test_slow_head():
    assert ask(b"GET /a HT").startswith(b"HTTP/1.1 408")


@settings(max_examples=25, deadline=None)
@given(st.lists(st.binary(max_size=200), max_size=5))
def test_any_bytes_leave_the_server_serving(attempts):
    async def async_main() -> bytes:
        limits = LIMITS._replace(head_timeout=0.02, keep_alive=0.02)
        async with serving(async_ok, limits) as (_, port):
            for data in attempts:
                await async_send(port, data)
            return await async_send(port, GET)

    assert curio.run(async_main).startswith(OK)


def test_caller_whose_host_is_gone_is_noticed():
    """An engine works for a quarter of an hour on answers that nobody can get.

    Callers' hosts lose their network and send no reset. Their connections stand
    open, and a request that waits or streams slowly goes on. Loopback can't lose
    packets, so this looks at what the kernel was told.
    """
    found = []

    async def async_look(exchange: Any) -> None:
        sock = exchange.connection.sock
        found.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        found.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        await async_ok(exchange)

    assert OK in ask(GET, async_look)
    assert found == [1, 2000]


def test_write_timeout_of_days_keeps_the_server_serving():
    """The kernel takes at most 127 probes; more would fail every connection."""
    assert OK in ask(GET, write_timeout=5_000_000.0)
