"""Tests of the HTTP server with raw callers on loopback."""

from typing import Any

import curio
import pytest
from curio import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.components.http.builders import LIMITS, async_read, async_send, serving
from tests.core.event_recorder import recording

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
    """A refused caller must get the 401 although it is still sending its body.

    If the server closes with unread bytes, the kernel sends a reset, which discards the
    response that the caller has not read yet.
    """
    size = 4_000_000
    head = f"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
    response = ask(head.encode() + bytes(size), async_forbid)
    assert response.startswith(b"HTTP/1.1 401")
    assert not response.endswith(b"RESET")


def test_idle_connection_closes_without_a_response():
    """An idle connection must be closed without a 408.

    A caller that sends its next request at that moment would take the 408 for the
    response to it, so that the request seems to be refused.
    """
    response = ask(GET)
    assert response.count(b"HTTP/1.1") == 1


def test_pipelined_requests_get_responses_in_order():
    response = ask(GET + GET.replace(b"/a", b"/b"))
    assert response.count(OK) == 2
    assert response.index(b"/a") < response.index(b"/b")


def test_drain_closes_idle_connections():
    """A stopping host must close idle connections when it starts to drain.

    Otherwise the next requests are sent on connections that then break, and the callers
    don't know whether these requests ran.
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

    response = curio.run(async_main)
    assert response.startswith(OK)
    assert b"connection: close" in response.lower()


def test_connection_over_the_limit_gets_503():
    assert ask(GET, connections=0).startswith(b"HTTP/1.1 503")


def test_slow_body_of_a_head_request_gets_408():
    """A HEAD request with half a body must get a response.

    The 408 has a body, which HEAD does not allow; the error that this raised closed the
    connection without a response.
    """
    request = b"HEAD /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
    assert ask(request).startswith(b"HTTP/1.1 408")


def test_target_with_scheme_and_host_is_accepted():
    request = b"GET http://x:1/a?q=1 HTTP/1.1\r\nHost: x\r\n\r\n"
    assert ask(request + b"").startswith(OK)
    assert b"\r\n\r\n/a?q=1" in ask(request)


def test_expect_continue_is_supported():
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    response = ask(head + b"Content-Length: 2\r\n\r\nhi")
    assert response.startswith(b"HTTP/1.1 100 ") or OK in response


def test_http_1_0_caller_gets_a_response():
    assert OK in ask(b"GET /a HTTP/1.0\r\n\r\n")


def test_head_over_the_limit_gets_431():
    request = b"GET /a HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000 + b"\r\n\r\n"
    assert ask(request).startswith(b"HTTP/1.1 431")


def test_slow_head_gets_408():
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


def test_caller_connections_use_keepalive():
    """Connections of callers that lost their network must break.

    Their hosts send no reset, so the connections stayed open and requests that waited
    or streamed slowly continued: an engine worked for 15 minutes on responses that
    nobody could receive. Loopback can't lose packets, so this checks socket options.
    """
    found = []

    async def async_look(exchange: Any) -> None:
        sock = exchange.connection.sock
        found.append(sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        found.append(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT))
        await async_ok(exchange)

    assert OK in ask(GET, async_look)
    assert found == [1, 2000]


def test_write_timeout_of_days_does_not_fail_connections():
    """The kernel accepts at most 127 probes; more would fail every connection."""
    assert OK in ask(GET, write_timeout=5_000_000.0)


def test_request_that_the_server_rejects_is_logged():
    """A 400 that no handler sends leaves no trace in the log."""
    with recording() as recorded:
        ask(GET + b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n")
    (line,) = recorded.by_kind["request-rejected"]
    assert line["status"] == 400
    assert "illegal header line" in line["detail"]
    assert line["requests_before"] == 1
    assert line["peer"].startswith("127.0.0.1:")


def test_rejection_of_a_parsed_request_is_logged_with_its_path():
    request = (
        b"POST /a?token=secret HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
    )
    with recording() as recorded:
        ask(request)
    (line,) = recorded.by_kind["request-rejected"]
    assert (line["status"], line["method"], line["path"]) == (408, "POST", "/a")


def test_empty_line_after_a_request_gets_no_response():
    """A client that ends its requests with an empty line gets a 408 while idle.

    It would take the 408 for the response to its next request.
    """
    response = ask(GET + b"\r\n", keep_alive=0.6)
    assert response.count(b"HTTP/1.1") == 1


def test_request_line_that_does_not_end_gets_414():
    assert ask(b"GET /" + b"a" * 20_000).startswith(b"HTTP/1.1 414")


def long_head(size: int) -> bytes:
    """Return a head whose target, names and values have a number of bytes together."""
    lines = [b"Host: x", *(b"X-%03d: v" % number for number in range(100))]
    used = len(b"/a") + sum(len(line) - 2 for line in lines) + len(b"x-long")
    lines.append(b"X-Long: " + b"y" * (size - used))
    return b"GET /a HTTP/1.1\r\n" + b"\r\n".join(lines) + b"\r\n\r\n"


@pytest.mark.parametrize(("size", "status"), [(8192, b"200"), (8193, b"431")])
@pytest.mark.parametrize("last_bytes", [0, 4, 4000])
def test_limit_of_a_head_is_the_same_in_one_piece_and_in_two(size, status, last_bytes):
    """A head near its limit gets 431 if it arrives in two segments."""
    data = long_head(size)
    cut = len(data) - last_bytes

    async def async_main() -> bytes:
        async with serving(async_ok) as (_, port):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await sock.sendall(data[:cut])
                await curio.sleep(0.02)
                await sock.sendall(data[cut:])
                return await sock.recv(65536)

    assert curio.run(async_main).split(b" ", 2)[1] == status


def test_raised_limit_of_a_head_holds_for_open_connections():
    """A connection that was open before a new configuration keeps its old limit."""

    async def async_main() -> bytes:
        limits = LIMITS._replace(head_bytes=1000, keep_alive=2.0)
        async with serving(async_ok, limits) as (server, port):
            sock = await curio.open_connection("127.0.0.1", port)
            async with sock:
                await sock.sendall(GET)
                await sock.recv(65536)
                server.set_limits(limits._replace(head_bytes=8192))
                data = long_head(8000)
                await sock.sendall(data[:4000])
                await curio.sleep(0.02)
                await sock.sendall(data[4000:])
                return await sock.recv(65536)

    assert curio.run(async_main).startswith(OK)


def test_body_of_tiny_chunks_leaves_turns_to_other_tasks():
    """A caller that sends a body in tiny chunks holds up all others."""
    chunks = 20_000
    head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
    turns_by_phase = {"reading": 0}

    async def async_count() -> None:
        while True:
            turns_by_phase["reading"] += 1
            await curio.sleep(0)

    async def async_read_body(exchange: Any) -> None:
        # All of the body lies in the kernel's buffer by then.
        await curio.sleep(0.1)
        counter = await curio.spawn(async_count)
        body = await exchange.async_body(chunks, 20.0)
        await counter.cancel()
        await exchange.async_respond(200, [], str(len(body)).encode())

    assert str(chunks).encode() in ask(data, async_read_body)
    assert turns_by_phase["reading"] >= chunks / 100
