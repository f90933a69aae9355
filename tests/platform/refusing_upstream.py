"""An upstream that refuses requests, and repeats refusals where they don't belong."""

import random
import re
from collections import Counter
from enum import StrEnum
from typing import Any

import curio

from tests.platform.builders import LAST_CHUNK, STREAM_HEAD, chunk, event, response

REFUSALS = (b"503 Full", b"429 Many", b"408 Late", b"421 Other", b"400 Bad")
NOT_EXECUTED = b"X-Not-Executed: 1"
SLOW_SECONDS = 0.6
LATE_SECONDS = 0.005
_ID = re.compile(rb"X-Attempt-Id: ([^\r]*)\r\n", re.IGNORECASE)
_DEFAULT_ID = b"X-Attempt-Id: a1\r\n"


class Mode(StrEnum):
    """What the upstream does with a request.

    A copy is a second one of the response, ahead of what follows on its connection;
    without its id, cut off at any byte, or at once in place of ahead of what follows.
    """

    RUN = "run"
    RUN_COPY = "run-copy"
    RUN_COPY_CUT = "run-copy-cut"
    RUN_RESET = "run-reset"
    RUN_SLOW = "run-slow"
    RUN_INTERIM = "run-interim"
    RUN_CONTRADICTION = "run-contradiction"
    RESET = "reset"
    REFUSE = "refuse"
    REFUSE_UNNAMED = "refuse-unnamed"
    REFUSE_COPY = "refuse-copy"
    REFUSE_COPY_UNNAMED = "refuse-copy-unnamed"
    REFUSE_COPY_CUT = "refuse-copy-cut"
    REFUSE_COPY_AT_ONCE = "refuse-copy-at-once"


_RUNS = {mode for mode in Mode if mode.startswith("run")}


def request_id(data: bytes) -> str:
    """Return the id of a request."""
    found = _ID.search(data)
    return found[1].decode() if found else ""


def named(data: bytes, name: str) -> bytes:
    """Return a response that names a request, as it is if that has no name."""
    if not name:
        return data
    return data.replace(_DEFAULT_ID, b"X-Attempt-Id: %b\r\n" % name.encode(), 1)


def unnamed(data: bytes) -> bytes:
    """Return a response without the id of its request."""
    return _ID.sub(b"", data, count=1)


def refusal(status: bytes, name: str) -> bytes:
    """Return a response that states that a request has not run."""
    return named(response(b"", status, NOT_EXECUTED, b"Retry-After: 0.100"), name)


def answer(data: bytes) -> bytes:
    """Return the response of a request that runs; its body names the request."""
    name = request_id(data)
    if data.startswith(b"POST /streams/") or data.startswith(b"POST /resumable/"):
        body = chunk(event(1, name)) + LAST_CHUNK
        return named(STREAM_HEAD, name) + body
    return named(response(name.encode()), name)


class RefusingUpstream:
    """Does something with each request that is drawn; records what has run."""

    def __init__(self, rng: random.Random, modes: tuple[Mode, ...]) -> None:
        self.runs: Counter[str] = Counter()
        self.steps: dict[str, list[str]] = {}
        self._rng = rng
        self._modes = modes
        self._owed: dict[Any, bytes] = {}

    async def __call__(self, sock: Any, data: bytes, number: int) -> None:
        name = request_id(data)
        mode = self._rng.choice(self._modes)
        self.steps.setdefault(name, []).append(f"{mode} on {id(sock) % 9973}")
        await sock.sendall(self._owed.pop(sock, b""))
        if mode in _RUNS:
            self.runs[name] += 1
            await self._async_run(sock, data, mode)
        else:
            await self._async_refuse(sock, name, mode)

    async def _async_run(self, sock: Any, data: bytes, mode: Mode) -> None:
        sent = answer(data)
        if mode is Mode.RUN_RESET:
            await sock.close()
            return
        if mode is Mode.RUN_SLOW:
            await curio.sleep(SLOW_SECONDS)
        elif mode is Mode.RUN_INTERIM:
            await sock.sendall(b"HTTP/1.1 103 Early\r\n" + NOT_EXECUTED + b"\r\n\r\n")
        elif mode is Mode.RUN_CONTRADICTION:
            status = self._rng.choice((b"200 OK", b"500 Failed", b"504 Late"))
            sent = named(response(b"", status, NOT_EXECUTED), request_id(data))
        elif mode is Mode.RUN_COPY:
            self._owed[sock] = sent
        elif mode is Mode.RUN_COPY_CUT:
            self._owed[sock] = self._cut(sent)
        await curio.sleep(self._rng.uniform(0.0, LATE_SECONDS))
        await sock.sendall(sent)

    async def _async_refuse(self, sock: Any, name: str, mode: Mode) -> None:
        if mode is Mode.RESET:
            await sock.close()
            return
        sent = refusal(self._rng.choice(REFUSALS), name)
        if mode is Mode.REFUSE_COPY:
            self._owed[sock] = sent
        elif mode is Mode.REFUSE_COPY_UNNAMED:
            self._owed[sock] = unnamed(sent)
        elif mode is Mode.REFUSE_COPY_CUT:
            self._owed[sock] = self._cut(sent)
        elif mode is Mode.REFUSE_UNNAMED:
            sent = unnamed(sent)
        await sock.sendall(sent)
        if mode is Mode.REFUSE_COPY_AT_ONCE:
            await curio.sleep(self._rng.uniform(0.0, LATE_SECONDS))
            await sock.sendall(sent)

    def _cut(self, sent: bytes) -> bytes:
        return sent[: self._rng.randrange(1, len(sent))]
