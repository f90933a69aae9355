"""An engine of a soak with orders sends without end, and sees when it is closed."""

import http.client
import socket
import threading
import time
import uuid
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import pytest

from tests.platform.endless_sender import Sender
from tests.platform.processes import ENGINE_PORT, SUBNET
from tests.platform.soak_endless import ORDERS_BY_MODE
from tests.platform.soak_fleet import SoakEngine
from tests.platform.stream_versions import read_lines

NUMBER = 91
IP = f"{SUBNET}.{100 + NUMBER}"
EVENTS = 20
READ_BYTES = 1024
PAUSE_SECONDS = 0.5
SOON = 10.0
DEADLINE_MS = 2000


class Fleet:
    bad_parts = frozenset()


@pytest.fixture
def engine() -> Iterator[SoakEngine]:
    sender = Sender()
    made = SoakEngine(Fleet(), NUMBER)
    made.sender = sender
    try:
        yield made
    finally:
        made.end()
        sender.close()


@contextmanager
def requested(**headers: str) -> Iterator[socket.socket]:
    """Send a request to the engine; the value is its connection."""
    lines = {
        "X-Attempt-Id": uuid.uuid4().hex,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Token-Usage": f"10,{EVENTS}",
        "Content-Length": "2",
        **headers,
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    with socket.create_connection((IP, ENGINE_PORT), SOON) as connection:
        connection.sendall(f"POST /trees/1 HTTP/1.1\r\n{head}\r\n{{}}".encode())
        yield connection


def wait_until_closed(engine: SoakEngine) -> float:
    """Return when the engine saw that its connection was closed."""
    ends = time.monotonic() + SOON
    while engine.held[0].closed is None:
        assert time.monotonic() < ends, "the engine doesn't see the close"
        time.sleep(0.01)
    return engine.held[0].closed


@pytest.mark.parametrize("mode", ORDERS_BY_MODE)
def test_engine_sends_until_it_is_closed(engine, mode):
    engine.orders = ORDERS_BY_MODE[mode]
    with requested() as connection:
        assert all(connection.recv(READ_BYTES) for _ in range(4))
        assert engine.held[0].closed is None
        at = time.monotonic()
    assert at <= wait_until_closed(engine) < at + SOON
    assert engine.requests == [engine.held[0].request_id]


def test_engine_that_is_paused_sends_nothing_and_sees_the_close(engine):
    engine.orders = ORDERS_BY_MODE["chunks, slow"]
    with requested() as connection:
        assert connection.recv(READ_BYTES)
        engine.paused = True
        time.sleep(PAUSE_SECONDS)
        connection.settimeout(PAUSE_SECONDS)
        with suppress(TimeoutError):
            assert connection.recv(READ_BYTES)
        with pytest.raises(TimeoutError):
            connection.recv(READ_BYTES)
    wait_until_closed(engine)


def test_engine_that_ends_closes_what_it_sends(engine):
    engine.orders = ORDERS_BY_MODE["103, fast"]
    with requested() as connection:
        assert connection.recv(READ_BYTES)
        threading.Timer(PAUSE_SECONDS, engine.end).start()
        with pytest.raises(ConnectionError):
            while data := connection.recv(READ_BYTES):
                assert data
            raise ConnectionError("closed in order")
    wait_until_closed(engine)


def test_events_without_end_follow_the_one_that_is_named(engine):
    engine.orders = ORDERS_BY_MODE["events, slow"]
    with requested(**{"Last-Event-Id": "7"}) as connection:
        data = b""
        while data.count(b"data: v1\n\n") < 2:
            data += connection.recv(READ_BYTES)
    assert b"id: 8\n" in data
    assert b"id: 9\n" in data
    assert b"id: 7\n" not in data


def test_sound_engine_does_not_go_on_behind_the_end_of_a_stream(engine):
    headers = {"Last-Event-Id": str(EVENTS + 1), "X-Attempt-Id": "s1"}
    with requested(**headers) as connection:
        assert connection.recv(READ_BYTES) == b""
    assert engine.broken_off == {"s1"}


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "Content-Length: 9"])
@pytest.mark.parametrize("body", [b"", b"5\r\nleaf\n\r\n", b"7\r\nlea"])
def test_body_that_breaks_off_does_not_read_like_one_that_ends(framing, body):
    mine, theirs = socket.socketpair()
    with mine:
        with theirs:
            head = f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n"
            theirs.sendall(head.encode() + body[:8])
        response = http.client.HTTPResponse(mine)
        response.begin()
        with pytest.raises(http.client.IncompleteRead):
            list(read_lines(response))


def test_lines_of_a_whole_body_are_read():
    mine, theirs = socket.socketpair()
    with mine:
        with theirs:
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            theirs.sendall(head + b"4\r\na\nbc\r\n3\r\nd\ne\r\n0\r\n\r\n")
        response = http.client.HTTPResponse(mine)
        response.begin()
        assert list(read_lines(response)) == [b"a\n", b"bcd\n", b"e"]
