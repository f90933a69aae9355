"""Callers of streams and calls, who record whether their answers are whole."""

import http.client
import random
import threading
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from tests.platform.builders import KEY
from tests.platform.crashing_parts import OTHER_KEY
from tests.platform.engine_process import BODY, is_closed
from tests.platform.processes import ENTRY_PORT
from tests.platform.stream_versions import read_lines

DEADLINE_MS = 11_000
GAP_SECONDS = 4.0
"""Callers leave a stream that brings nothing for so long."""

WELL_WITHIN = 1.0
"""An answer that ends so much earlier than its deadline ends well within it."""

PAUSE_SECONDS = 0.02
REFUSED_PAUSE_SECONDS = 0.2
OK = 200


class Kind(StrEnum):
    """What a caller asks for; the value is the beginning of its path."""

    RESUMABLE = "/trees/"
    STREAM = "/seeds/"
    IDEMPOTENT = "/tiles/"
    ONCE = "/pins/"

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream."""
        return self in (Kind.RESUMABLE, Kind.STREAM)


COUNT_BY_KIND = {Kind.RESUMABLE: 26, Kind.STREAM: 6, Kind.IDEMPOTENT: 4, Kind.ONCE: 4}
"""Callers of each kind; together more than there are slots, so that work waits."""

TOKENS = (50, 800)
EVENTS = (40, 100)
"""Least and most tokens of a prompt and events of a stream."""


class Answer(NamedTuple):
    """What became of a request; status is 0 without a head.

    at, ended and deadline are times of the machine's steady clock. complete states
    whether the answer has the end that its framing calls for, whole whether it is what
    was asked for. left states whether the caller gave up, detail what broke the answer.
    """

    kind: Kind
    ip: str
    request_id: str
    at: float
    ended: float
    deadline: float
    status: int
    complete: bool
    whole: bool
    events: int
    left: bool
    detail: str

    @property
    def broken(self) -> bool:
        """Whether the head has come, and not all of the answer, to one who waited."""
        return self.status == OK and not self.whole and not self.left

    @property
    def broken_early(self) -> bool:
        """Whether the answer broke off well within its deadline."""
        return self.broken and self.ended < self.deadline - WELL_WITHIN


class Connections:
    """The connection of one caller to each host, kept if the caller keeps any."""

    def __init__(self, kept: bool) -> None:
        self._kept = kept
        self._by_ip: dict[str, http.client.HTTPConnection] = {}

    def get(self, ip: str) -> http.client.HTTPConnection:
        """Return a connection to a host, a new one if the host closed the kept one."""
        found = self._by_ip.pop(ip, None)
        if found is not None and not is_closed(found.sock):
            return found
        if found is not None:
            found.close()
        return http.client.HTTPConnection(ip, ENTRY_PORT, GAP_SECONDS)

    def put(
        self, ip: str, connection: http.client.HTTPConnection, usable: bool
    ) -> None:
        """Keep a connection, or close it."""
        if self._kept and usable and connection.sock is not None:
            connection.sock.settimeout(GAP_SECONDS)
            self._by_ip[ip] = connection
        else:
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in self._by_ip.values():
            connection.close()


class SilentCallers:
    """Threads that send requests to entry hosts, each the next one after its answer."""

    def __init__(
        self,
        ips: Sequence[str],
        count_by_kind: Mapping[Kind, int] = COUNT_BY_KIND,
        deadline_ms: int = DEADLINE_MS,
    ) -> None:
        self.answers: list[Answer] = []
        self._ips = ips
        self._deadline_ms = deadline_ms
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        for kind, count in count_by_kind.items():
            for number in range(count):
                self._start(self._call_on, kind, number)

    def burst(self, count: int) -> None:
        """Send some streams at one moment, besides the usual requests."""
        for number in range(count):
            self._start(self._call_once, Kind.RESUMABLE, number)

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start(self, target: Callable[[Kind, int], None], *args: object) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _call_once(self, kind: Kind, number: int) -> None:
        connections = Connections(kept=False)
        self.answers.append(ask(kind, random.choice(self._ips), connections, KEY))

    def _call_on(self, kind: Kind, number: int) -> None:
        connections = Connections(kept=number % 2 == 0)
        key = OTHER_KEY if number % 4 < 2 else KEY
        while not self._stopped.wait(PAUSE_SECONDS):
            ip = random.choice(self._ips)
            answer = ask(kind, ip, connections, key, self._deadline_ms)
            self.answers.append(answer)
            if answer.status != OK:
                self._stopped.wait(REFUSED_PAUSE_SECONDS)
        connections.close()


def ask(
    kind: Kind,
    ip: str,
    connections: Connections,
    key: str,
    deadline_ms: int = DEADLINE_MS,
) -> Answer:
    """Send a request to a host and read the answer."""
    at = time.monotonic()
    request_id = uuid.uuid4().hex
    count = random.randint(*EVENTS) if kind.streams else 1
    headers = {
        "Host": "trees.example",
        "Authorization": f"Token {key}",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Token-Usage": f"{random.randint(*TOKENS)},{count}",
    }
    connection = connections.get(ip)
    status, events, complete, whole, detail = 0, 0, False, False, ""
    left, usable = False, False
    try:
        connection.request("POST", f"{kind}1", b"{}", headers)
        if connection.sock is not None and not kind.streams:
            connection.sock.settimeout(deadline_ms / 1000 + 1)
        response = connection.getresponse()
        status = response.status
        if status == OK and kind.streams:
            for line in read_lines(response):
                events += line.startswith(b"id: ")
            whole = events == count
        else:
            whole = response.read() == BODY
        complete = True
        usable = not response.will_close and response.isclosed()
    except TimeoutError:
        left = True
    except (OSError, http.client.HTTPException) as error:
        detail = repr(error)
    finally:
        connections.put(ip, connection, usable)
    return Answer(
        kind=kind,
        ip=ip,
        request_id=request_id,
        at=at,
        ended=time.monotonic(),
        deadline=at + deadline_ms / 1000,
        status=status,
        complete=complete,
        whole=whole,
        events=events,
        left=left,
        detail=detail,
    )
