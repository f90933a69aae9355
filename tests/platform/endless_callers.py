"""Callers that measure how long each request waits for its end, whatever it is."""

import random
import re
import socket
import threading
import time
import uuid
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from tests.platform.builders import KEY
from tests.platform.endless_engine import LONG_PREFIX, MEGABYTE
from tests.platform.engine_process import BODY, is_closed
from tests.platform.processes import ENTRY_PORT

TIMEOUT_SECONDS = 2.0
LONG_TIMEOUT_SECONDS = 10.0
GIVE_UP_SECONDS = 5.0
"""A caller leaves a request so long after it was sent, or after a longer timeout."""

CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.02
FAILED_PAUSE_SECONDS = 0.1
READ_BYTES = 256 * 1024
MAX_KEPT_BYTES = 64 * 1024
"""Bytes of a body that are compared, without comments; no sound one but a long one has
more."""

COMMENT = re.compile(rb"^:[^\n]*\n\n", re.MULTILINE)

LAST_CHUNK = b"0\r\n\r\n"
TOKENS = (50, 400)
EVENTS = (4, 10)
OK = 200
FIRST_FINAL_STATUS = 200


class Route(StrEnum):
    """What a caller asks for; the value is the beginning of its path."""

    STREAM = "/trees/"
    IDEMPOTENT = "/tiles/"
    ONCE = "/pins/"
    LONG = LONG_PREFIX

    @property
    def timeout(self) -> float:
        """The timeout of the route and its callers."""
        return LONG_TIMEOUT_SECONDS if self is Route.LONG else TIMEOUT_SECONDS


class Answer(NamedTuple):
    """What became of a request; status is 0 without a head.

    ended is None if its caller gave up. Times are those of the machine's steady clock.
    """

    route: Route
    ip: str
    request_id: str
    at: float
    ended: float | None
    status: int
    whole: bool

    def seconds(self) -> float:
        """Return how long the caller waited."""
        return GIVE_UP_SECONDS if self.ended is None else self.ended - self.at

    @property
    def served(self) -> bool:
        """Whether the caller has its answer."""
        return self.status == OK and self.whole

    @property
    def cut(self) -> bool:
        """Whether the host closed the connection in the middle of an answer."""
        return self.ended is not None and self.status == OK and not self.whole


class Reply:
    """Bytes of a response; knows when they are all, and what they say."""

    def __init__(self) -> None:
        self.status = 0
        self.size = 0
        self.text = b""
        self._head = b""
        self._framed = b""
        self._chunk_left = 0
        self._tail = b""
        self._length: int | None = None
        self._chunked = False
        self.will_close = False

    def feed(self, data: bytes) -> bool:
        """Take further bytes; return whether they were the last."""
        while not self.status and data:
            self._head += data
            head, end, data = self._head.partition(b"\r\n\r\n")
            if not end:
                return False
            self._head = b""
            self._read_head(head)
        self.size += len(data)
        if self._chunked:
            self._unframe(data)
        else:
            self._keep(data)
        self._tail = (self._tail + data[-8:])[-8:]
        return self.complete

    @property
    def complete(self) -> bool:
        """Whether all bytes of the response have come."""
        if not self.status:
            return False
        if self._chunked:
            return self._tail.endswith(b"\r\n" + LAST_CHUNK) or self._tail == LAST_CHUNK
        return self._length is not None and self.size >= self._length

    def _unframe(self, data: bytes) -> None:
        """Keep what is in chunks; a line end follows each, ahead of the next line."""
        self._framed += data
        while self._framed:
            if self._chunk_left:
                part = self._framed[: self._chunk_left]
                self._framed = self._framed[len(part) :]
                self._chunk_left -= len(part)
                self._keep(part)
                continue
            line, end, rest = self._framed.removeprefix(b"\r\n").partition(b"\r\n")
            if not end:
                return
            self._chunk_left = int(line.split(b";")[0] or b"0", 16)
            self._framed = rest

    def _keep(self, data: bytes) -> None:
        if len(self.text) > MAX_KEPT_BYTES:
            return
        self.text += data
        if len(self.text) > MAX_KEPT_BYTES:
            self.text = COMMENT.sub(b"", self.text)

    def _read_head(self, head: bytes) -> None:
        status = int(head.split(b" ", 2)[1])
        if status < FIRST_FINAL_STATUS:
            return
        self.status = status
        lines = head.lower().split(b"\r\n")[1:]
        for line in lines:
            name, _, value = line.partition(b":")
            if name == b"content-length":
                self._length = int(value)
            elif name == b"transfer-encoding":
                self._chunked = b"chunked" in value
            elif name == b"connection":
                self.will_close = b"close" in value


class Connections:
    """The connection of one caller to each host."""

    def __init__(self) -> None:
        self._by_ip: dict[str, socket.socket] = {}

    def get(self, ip: str) -> socket.socket:
        """Return a connection to a host, a new one if the host closed the kept one."""
        found = self._by_ip.pop(ip, None)
        if found is not None and not is_closed(found):
            return found
        if found is not None:
            found.close()
        return socket.create_connection((ip, ENTRY_PORT), CONNECT_SECONDS)

    def put(self, ip: str, connection: socket.socket) -> None:
        """Keep a connection."""
        self._by_ip[ip] = connection

    def close(self) -> None:
        """Close all connections."""
        for connection in self._by_ip.values():
            connection.close()


class EndlessCallers:
    """Threads that send requests to entry hosts, each the next one after its answer."""

    def __init__(self, ips: Sequence[str], count_by_route: Mapping[Route, int]) -> None:
        self.answers: list[Answer] = []
        self._ips = ips
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        for route, count in count_by_route.items():
            self.add(route, count)

    def add(self, route: Route, count: int, megabytes: int = 0) -> None:
        """Start further callers; megabytes is the size of long answers."""
        for number in range(count):
            thread = threading.Thread(
                target=self._call_on, args=(route, megabytes, number), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call_on(self, route: Route, megabytes: int, number: int) -> None:
        keeps = number % 2 == 0
        connections = Connections()
        while not self._stopped.wait(PAUSE_SECONDS):
            answer = ask(route, random.choice(self._ips), connections, megabytes)
            if answer is None:
                continue
            self.answers.append(answer)
            if not answer.served:
                self._stopped.wait(FAILED_PAUSE_SECONDS)
            if not keeps:
                connections.close()
                connections = Connections()
        connections.close()


def ask(
    route: Route, ip: str, connections: Connections, megabytes: int = 0
) -> Answer | None:
    """Send a request to a host and read the answer; None if the host isn't there."""
    request_id = uuid.uuid4().hex
    events = random.randint(*EVENTS)
    head = (
        f"POST {route}{megabytes} HTTP/1.1",
        "Host: trees.example",
        f"Authorization: Token {KEY}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {route.timeout * 1000:.0f}",
        f"X-Token-Usage: {random.randint(*TOKENS)},{events}",
        "Content-Length: 2",
    )
    reply = Reply()
    at = time.monotonic()
    gives_up = at + max(GIVE_UP_SECONDS, route.timeout + 1)
    ended = None
    try:
        connection = connections.get(ip)
    except ConnectionRefusedError:
        return None
    except OSError:
        return Answer(route, ip, request_id, at, time.monotonic(), 0, False)
    try:
        connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n{}")
        while not reply.complete:
            left = gives_up - time.monotonic()
            if left <= 0:
                raise TimeoutError
            connection.settimeout(left)
            data = connection.recv(READ_BYTES)
            if not data:
                break
            reply.feed(data)
        ended = time.monotonic()
    except TimeoutError:
        pass
    except OSError:
        ended = time.monotonic()
    if reply.complete and not reply.will_close:
        connections.put(ip, connection)
    else:
        connection.close()
    whole = reply.complete and is_right(route, reply, events, megabytes)
    return Answer(route, ip, request_id, at, ended, reply.status, whole)


def is_right(route: Route, reply: Reply, events: int, megabytes: int) -> bool:
    """Return whether a body is what was asked for."""
    if reply.status != OK:
        return True
    if route is Route.LONG:
        return reply.size == megabytes * MEGABYTE
    if route is not Route.STREAM:
        return reply.text == BODY
    ids = [int(found) for found in re.findall(rb"id: (\d+)\n", reply.text)]
    return ids == list(range(1, events + 1))
