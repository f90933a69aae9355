"""Reads of a connection whose bytes are always there end, and let others run."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from bitterntiller.components.http import exchange as exchange_module
from bitterntiller.components.http.const import (
    LINGER_BYTES,
    MAX_EMPTY_BYTES,
    MAX_HEAD_LINES,
    READ_BYTES,
)
from bitterntiller.components.http.errors import BadRequestError
from bitterntiller.components.http.exchange import Exchange, ServerConnection
from bitterntiller.components.http.models import RequestHead
from tests.core.unending import EndlessSocket, counting_turns

SECONDS = 0.1
CHUNKED = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD = RequestHead("POST", "/a", [], b"1.1")
Use = Callable[[ServerConnection], Awaitable[Any]]


def use(start: bytes, repeated: bytes, use_connection: Use) -> tuple[Any, float, int]:
    """Return the result of a use, its seconds and the bytes it has read."""

    async def async_main() -> tuple[Any, float, int]:
        async with counting_turns() as counter:
            sock = EndlessSocket(counter, start, repeated)
            connection = ServerConnection(sock, lambda: 8192, 1.0)
            began = await curio.clock()
            result = await use_connection(connection)
            return result, await curio.clock() - began, sock.received

    return curio.run(async_main)


async def async_status(reading: Awaitable[Any]) -> int:
    """Return the status of the refusal in which a read ends."""
    try:
        await reading
    except BadRequestError as error:
        return error.status
    return 0


def test_idle_connection_with_empty_lines_ends_at_their_bytes():
    """Empty lines without end hold an idle connection and all other tasks."""

    async def async_idle(connection: ServerConnection) -> bool:
        return await connection.async_wait_bytes()

    begun, _, received = use(b"", b"\r\n" * 10, async_idle)
    assert not begun
    assert received <= MAX_EMPTY_BYTES + 20


@pytest.mark.parametrize(
    ("start", "repeated", "status"),
    [
        (b"", b"\r\n", 400),
        (b"", b"G" * 100, 414),
        (b"GET / HTTP/1.1\r\n", b"a:b\r\n", 431),
    ],
    ids=["empty lines", "no line end", "header lines"],
)
def test_head_without_an_end_is_refused(start, repeated, status):
    async def async_head(connection: ServerConnection) -> int:
        return await async_status(connection.async_next_event(10 * SECONDS))

    found, _, received = use(start, repeated, async_head)
    assert found == status
    assert received < 10 * READ_BYTES


@pytest.mark.parametrize(
    ("start", "repeated", "status"),
    [
        (CHUNKED, b"1\r\nx\r\n" * 100, 413),
        (CHUNKED, b"1\r\nx\r\n" * 1000, 408),
        (CHUNKED, b"1;" + b"e" * 4000 + b"\r\nx\r\n", 408),
        (CHUNKED + b"1;", b"e", 414),
        (CHUNKED + b"0\r\n", b"a:b\r\n", 431),
    ],
    ids=[
        "small chunks",
        "chunks without end",
        "extensions",
        "an extension",
        "trailers",
    ],
)
def test_body_without_an_end_is_refused(start, repeated, status):
    """Chunk extensions without end put off the end of a body and stop other tasks."""

    async def async_body(connection: ServerConnection) -> int:
        head = await connection.async_next_event(1.0)
        assert head.method == b"POST"
        limit = 2_000 if status == 413 else 1_000_000_000
        exchange = Exchange(connection, HEAD)
        return await async_status(exchange.async_body(limit, 5 * SECONDS))

    found, seconds, _ = use(start, repeated, async_body)
    assert found == status
    assert status != 408 or seconds < 20 * SECONDS


def test_watch_of_a_caller_keeps_a_bounded_number_of_bytes():
    async def async_watch(connection: ServerConnection) -> int:
        await connection.async_next_event(1.0)
        async with curio.ignore_after(20 * SECONDS):
            await connection.async_watch()
        return len(connection.h11.trailing_data[0])

    kept, _, received = use(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"x", async_watch)
    assert READ_BYTES < kept <= 2 * READ_BYTES
    assert received <= 2 * READ_BYTES


@pytest.mark.parametrize("repeated", [b"x", b"x" * READ_BYTES])
def test_discarding_of_bytes_ends_at_its_time_or_bytes(monkeypatch, repeated):
    """A refused caller that sends on without end stops other tasks."""
    monkeypatch.setattr(exchange_module, "LINGER_SECONDS", SECONDS)

    async def async_linger(connection: ServerConnection) -> None:
        await connection.async_next_event(1.0)
        await connection.async_linger()

    _, seconds, received = use(CHUNKED, repeated, async_linger)
    assert received <= LINGER_BYTES + 2 * READ_BYTES
    assert seconds < 20 * SECONDS


def test_rest_of_a_refused_body_is_skipped_in_turn_with_other_tasks():
    """A body of small chunks that is refused unread stops other tasks."""
    chunks = 5000
    turns = 0

    async def async_refuse(connection: ServerConnection) -> bool:
        nonlocal turns
        await connection.async_next_event(1.0)
        async with counting_turns() as counter:
            skipped = await connection.async_skip_received_body()
            turns = counter.turns
        return skipped

    body = b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
    skipped, _, _ = use(CHUNKED + body, b"", async_refuse)
    assert skipped
    assert turns >= chunks / 64


@pytest.mark.parametrize("in_one_piece", [True, False])
def test_head_of_very_many_lines_is_refused_before_it_is_parsed(in_one_piece):
    """Parsing 16,000 header lines of a few bytes stops other tasks for 50 ms."""
    lines = b"a:\r\n" * 16_000

    async def async_head(connection: ServerConnection) -> int:
        return await async_status(connection.async_next_event(1.0))

    start = b"GET / HTTP/1.1\r\nHost: x\r\n"
    data = (start + lines + b"\r\n", b"") if in_one_piece else (start, lines[:4000])
    found, _, _ = use(*data, async_head)
    assert found == 431


def test_lines_after_a_head_do_not_count_as_its_own():
    body = b"\r\n" * 2 * MAX_HEAD_LINES

    async def async_read_body(connection: ServerConnection) -> bytes:
        await connection.async_next_event(1.0)
        return await Exchange(connection, HEAD).async_body(len(body), 1.0)

    lines = b"a:\r\n" * (MAX_HEAD_LINES - 5)
    length = b"Host: x\r\nContent-Length: %d\r\n" % len(body)
    start = b"POST / HTTP/1.1\r\n" + length + lines + b"\r\n" + body
    found, _, _ = use(start, b"", async_read_body)
    assert found == body
