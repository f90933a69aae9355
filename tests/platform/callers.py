"""Callers of the platform's entry hosts that use several forms of a request."""

import http.client
import random
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from typing import NamedTuple

from tests.platform.builders import KEY
from tests.platform.processes import ASK_TIMEOUT, ENTRY_PORT

HOST = "trees.example"
PAUSE_SECONDS = 0.005
PART_PAUSE_SECONDS = 0.001
READ_BYTES = 64 * 1024
"""Bytes of a body that are read at a time; further ones are not kept."""


class Response(NamedTuple):
    """A response to a proper request; status 0 if the connection failed."""

    at: float
    ip: str
    form: str
    request_id: str
    path: str
    status: int
    text: bytes


def whole(body: bytes) -> tuple[dict[str, str], bytes | Iterator[bytes]]:
    """Send the body with its length."""
    return {"Content-Length": str(len(body))}, body


def chunked(body: bytes) -> tuple[dict[str, str], bytes | Iterator[bytes]]:
    """Send the body as one chunk."""
    return {"Transfer-Encoding": "chunked"}, iter([body])


def slowly_chunked(body: bytes) -> tuple[dict[str, str], bytes | Iterator[bytes]]:
    """Send the body in chunks of some bytes, with a pause before each."""
    return {"Transfer-Encoding": "chunked"}, _parts(body)


def _parts(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body), 64):
        time.sleep(PART_PAUSE_SECONDS)
        yield body[start : start + 64]


FORMS = (whole, chunked, slowly_chunked)


class Callers:
    """Threads that send proper requests to entry hosts and record the responses.

    Each keeps its connection until it fails or the host closes it. paths returns the
    paths that all configurations allow at that moment. body_bytes is the range from
    which lengths of bodies are drawn, forms has those in which bodies are sent.
    """

    body_bytes = (1, 2048)
    forms = FORMS

    def __init__(
        self, ips: tuple[str, ...], paths: Callable[[], list[str]], seed: int
    ) -> None:
        self.responses: list[Response] = []
        self._ips = ips
        self._paths = paths
        self._seed = seed
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self, count: int) -> None:
        """Start a number of threads."""
        for number in range(count):
            draw = random.Random(f"{self._seed}/{number}")
            thread = threading.Thread(target=self._run, args=(draw,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop all threads and wait for their last responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * ASK_TIMEOUT)

    def _run(self, draw: random.Random) -> None:
        while not self._stopped.is_set():
            ip = draw.choice(self._ips)
            connection = http.client.HTTPConnection(ip, ENTRY_PORT, ASK_TIMEOUT)
            while not self._stopped.is_set() and self._ask(connection, ip, draw):
                time.sleep(PAUSE_SECONDS)
            connection.close()
            time.sleep(PAUSE_SECONDS)

    def _ask(
        self, connection: http.client.HTTPConnection, ip: str, draw: random.Random
    ) -> bool:
        """Send one request; return whether the connection can carry another."""
        form = draw.choice(self.forms)
        path = draw.choice(self._paths())
        framing, body = form(draw.randbytes(draw.randrange(*self.body_bytes)))
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "X-Attempt-Id": uuid.UUID(int=draw.getrandbits(128)).hex,
            "X-Deadline-Ms": "2500",
        }
        status, text, reusable = 0, b"", False
        at = time.time()
        try:
            connection.request(
                "POST",
                path,
                body,
                headers | framing,
                encode_chunked="Transfer-Encoding" in framing,
            )
            response = connection.getresponse()
            text = _read(response)
            status, reusable = response.status, not response.will_close
        except (TimeoutError, OSError, http.client.HTTPException):
            reusable = False
        found = Response(
            at, ip, form.__name__, headers["X-Attempt-Id"], path, status, text
        )
        self.responses.append(found)
        return reusable


def _read(response: http.client.HTTPResponse) -> bytes:
    """Return the body, of a long one the first bytes; raise IncompleteRead."""
    text = b""
    while data := response.read(READ_BYTES):
        if len(text) < READ_BYTES:
            text += data
    if response.length:
        raise http.client.IncompleteRead(text, response.length)
    return text


def refused_as_wrong(responses: list[Response]) -> list[Response]:
    """Return the responses that call a proper request wrong.

    408, 421 and 429 promise that the request has not run and may be sent again.
    """
    return [
        item
        for item in responses
        if 300 <= item.status < 500 and item.status not in (408, 421, 429)
    ]
