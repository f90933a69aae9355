"""Measure the memory of an entry host whose engine sends bytes without end.

python -m tests.platform.endless_memory [CASE...], with PYTHONPATH=platform. The engine,
and the host with its callers, are processes of their own.
"""

import json
import os
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import curio

from bitterntiller.components.http.errors import IncompleteResponseError
from tests.components.http.raw_upstream import endless_upstream
from tests.components.tunnels.builders import HANGS, TunnelHost, Upstream, hosts
from tests.platform import builders
from tests.scenarios.processes import ROOT

MODULE = "tests.platform.endless_memory"
CONNECTIONS = 8
SECONDS = 4.0
SAMPLE_SECONDS = 0.02
MEGABYTE = 1 << 20
HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Engine-Signature: s1\r\n"
PLAIN = HEAD + b"Content-Type: text/plain\r\n"
CHUNKED = PLAIN + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = PLAIN + b"\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n\r\n"
PIECE_BYTES = 65536


class Case(NamedTuple):
    """What an engine sends first, and then without end.

    reads is whether callers read, tunnel whether the engine is reached through another
    host; the process is both hosts then.
    """

    first: bytes
    piece: bytes
    streaming: bool = False
    reads: bool = True
    tunnel: bool = False


def _filled(data: bytes) -> bytes:
    return data * (PIECE_BYTES // len(data))


CASES = {
    "garbage": Case(b"", os.urandom(PIECE_BYTES)),
    "no line end": Case(b"", _filled(b"x")),
    "empty lines": Case(b"", _filled(b"\r\n")),
    "status line": Case(b"HTTP/1.1 200 ", _filled(b"x")),
    "header line": Case(HEAD + b"x: ", _filled(b"x")),
    "header lines": Case(HEAD, _filled(b"x: y\r\n")),
    "interim responses": Case(b"", _filled(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
    "interim lines": Case(b"HTTP/1.1 103 Early Hints\r\n", _filled(b"x: y\r\n")),
    "chunk size": Case(CHUNKED, _filled(b"0")),
    "chunk extension": Case(CHUNKED + b"5;", _filled(b"x")),
    "chunk extensions": Case(CHUNKED, _filled(b"1;" + b"e" * 4000 + b"\r\nx\r\n")),
    "trailers": Case(CHUNKED + b"0\r\n", _filled(b"x: y\r\n")),
    "small chunks": Case(CHUNKED, _filled(b"1\r\nx\r\n")),
    "chunks": Case(CHUNKED, b"10000\r\n" + bytes(65536) + b"\r\n"),
    "unframed": Case(UNFRAMED, bytes(PIECE_BYTES)),
    "length": Case(PLAIN + b"Content-Length: 99999999999\r\n\r\n", bytes(PIECE_BYTES)),
    "refusal": Case(
        b"HTTP/1.1 503 No\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n\r\n",
        bytes(PIECE_BYTES),
    ),
    "failure": Case(
        b"HTTP/1.1 500 No\r\nX-Attempt-Id: a1\r\nX-Engine-Signature: s\r\n\r\n",
        bytes(PIECE_BYTES),
    ),
    "foreign": Case(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n\r\n", bytes(PIECE_BYTES)),
    "event": Case(STREAM + b"data: ", _filled(b"x"), True),
    "event lines": Case(STREAM, _filled(b"data: x\n"), True),
    "comments": Case(STREAM, _filled(b": x\n\n"), True),
    "events": Case(STREAM, _filled(builders.event(1)), True),
}
CASES |= {
    f"{name}, not read": CASES[name]._replace(reads=False)
    for name in ("chunks", "small chunks", "unframed", "length", "comments", "events")
}
CASES |= {
    f"{name}, tunnel": CASES[name]._replace(tunnel=True)
    for name in ("garbage", "header line", "trailers", "unframed", "unframed, not read")
}


def _resident() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def _async_ask(host: builders.EntryHost, reads: bool) -> None:
    """Send requests, one after the other, until the time is over."""
    while True:
        sock = await curio.open_connection("127.0.0.1", host.port)
        async with sock:
            await sock.sendall(builders.request())
            if not reads:
                await curio.sleep(SECONDS)
                continue
            try:
                while await sock.recv(PIECE_BYTES):
                    pass
            except OSError:
                continue


async def _async_measure(ask: Callable[[], Awaitable[None]], seconds: float) -> int:
    """Return by how many bytes the memory grows at most while CONNECTIONS ask."""
    before = most = _resident()
    tasks = [await curio.spawn(ask, daemon=True) for _ in range(CONNECTIONS)]
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        await curio.sleep(SAMPLE_SECONDS)
        most = max(most, _resident())
    for task in tasks:
        await task.cancel()
    return most - before


async def async_growth(case: Case, address: str, seconds: float) -> int:
    """Return by how many bytes the memory of this process has grown at most."""
    if case.tunnel:
        return await _async_tunnel_growth(case, address, seconds)
    kind = "streaming" if case.streaming else "non_idempotent"
    route = builders.route(route_kind=kind, stream_resume=False)

    async def async_ignore(sock: Any, data: bytes, number: int) -> None:
        """The engine is a process of its own."""

    async with builders.entry_host(async_ignore, builders.document(route)) as host:
        host.links.address = address
        return await _async_measure(lambda: _async_ask(host, case.reads), seconds)


async def _async_tunnel_growth(case: Case, address: str, seconds: float) -> int:
    async with hosts("a", "b") as (sender, _):
        sender.connections.mode = HANGS
        upstream = Upstream(address, [], [], set())
        return await _async_measure(
            lambda: _async_ask_through(sender, upstream, case.reads), seconds
        )


async def _async_ask_through(sender: TunnelHost, to: Upstream, reads: bool) -> None:
    """Send requests through another host, one after the other."""
    while True:
        connected = await sender.connector.async_acquire(to.destination(), 1.0)
        client = connected.client
        try:
            await client.async_request("POST", "/", [], b"{}", 1.0)
            await client.async_head(1.0)
            while not reads or await client.async_data(1.0) is not None:
                if not reads:
                    await curio.sleep(SECONDS)
        except IncompleteResponseError:
            continue
        finally:
            await client.async_close()


def _serve_engine(name: str) -> None:
    case = CASES[name]
    with endless_upstream(case.first, case.piece) as address:
        print(address, flush=True)
        sys.stdin.read()


@contextmanager
def _process(*arguments: str) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen(
        [sys.executable, "-m", MODULE, *arguments],
        cwd=ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()


def growth(name: str, seconds: float = SECONDS) -> float:
    """Return by how many megabytes the host of a case has grown."""
    with _process("--engine", name) as engine:
        address = engine.stdout.readline().decode().strip()
        with _process("--host", name, address, str(seconds)) as host:
            return float(json.loads(host.stdout.readline())) / MEGABYTE


def main() -> None:
    """Print the growth of each case, or be one of its processes."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["--engine"]:
        _serve_engine(arguments[1])
    elif arguments[:1] == ["--host"]:
        case = CASES[arguments[1]]
        found = curio.run(async_growth, case, arguments[2], float(arguments[3]))
        print(json.dumps(found), flush=True)
    else:
        for name in arguments or CASES:
            print(f"{name}: {growth(name):.1f} MB", flush=True)


if __name__ == "__main__":
    main()
