"""What an upstream states to one sending is not believed of another one."""

import random
import re
from collections import Counter
from typing import Any, NamedTuple

import curio
import pytest

from tests.platform import builders
from tests.platform.refusing_upstream import (
    NOT_EXECUTED,
    REFUSALS,
    Mode,
    RefusingUpstream,
    answer,
    named,
    refusal,
    request_id,
)
from tests.platform.test_late_copies import ROUTES

PROMISES = frozenset({408, 421, 429, 503})
ONCE_PATHS = ("/once/1", "/streams/1")
PATHS = (*ONCE_PATHS, "/calls/1", "/resumable/1")
CALLERS = 4
REQUESTS = 15
DEADLINE = b"X-Deadline-Ms: 500"
CUT = (Mode.RUN, Mode.RUN_COPY_CUT, Mode.REFUSE_COPY_CUT)


class Asked(NamedTuple):
    """A request and the response that its caller got; status is 0 without one."""

    name: str
    path: str
    status: int
    response: bytes


def play(seed: int, modes: tuple[Mode, ...]) -> tuple[RefusingUpstream, list[Asked]]:
    """Let callers send requests to an upstream that refuses some of them."""
    rng = random.Random(seed)
    upstream = RefusingUpstream(rng, modes)
    asked: list[Asked] = []

    async def async_call(host: builders.EntryHost, caller: int) -> None:
        for number in range(REQUESTS):
            name = f"c{caller}n{number}"
            path = rng.choice(PATHS)
            data = builders.request(path, "Connection: close")
            data = data.replace(b"X-Attempt-Id: a1", b"X-Attempt-Id: " + name.encode())
            data = data.replace(b"X-Deadline-Ms: 3000", DEADLINE)
            received = await host.async_ask(data, 2.0)
            found = re.match(rb"HTTP/1\.1 (\d{3})", received)
            status = int(found[1]) if found else 0
            asked.append(Asked(name, path, status, received))

    async def async_main() -> None:
        async with builders.entry_host(upstream, ROUTES) as host:
            host.links.names = [f"i-{number % 2}" for number in range(5000)]
            async with curio.TaskGroup() as group:
                for caller in range(CALLERS):
                    await group.spawn(async_call, host, caller)

    curio.run(async_main)
    return upstream, asked


class CutCopyUpstream:
    """Serves a request, then runs another one on its connection, which fails.

    The response to that follows the beginning of another response.
    """

    def __init__(self, copy: bytes, path: str) -> None:
        self.cut = 0
        self.runs_by_cut: Counter[int] = Counter()
        self._copy = copy
        self._path = path

    async def __call__(self, sock: Any, data: bytes, number: int) -> None:
        name = request_id(data)
        if name.startswith("first"):
            await sock.sendall(answer(data))
            return
        self.runs_by_cut[self.cut] += 1
        failure = named(builders.response(b"", b"500 Failed"), name)
        copy = self._copy[: self.cut] if self.runs_by_cut[self.cut] == 1 else b""
        await sock.sendall(copy + failure)


async def async_ask_twice(
    host: builders.EntryHost, upstream: CutCopyUpstream, path: str, cut: int
) -> bytes:
    """Return the response to the second of two requests."""
    upstream.cut = cut
    data = builders.request(path, "Connection: close")
    await host.async_ask(data.replace(b"Id: a1", b"Id: first%d" % cut))
    return await host.async_ask(data.replace(b"Id: a1", b"Id: second%d" % cut))


def broken_rules(upstream: RefusingUpstream, asked: list[Asked]) -> list[str]:
    """Return what is wrong with the responses, by what the upstream has run."""
    found = []
    for item in asked:
        runs = upstream.runs[item.name]
        steps = (
            f"{item.path} {item.name} {item.status}: {upstream.steps.get(item.name)}"
        )
        if item.path in ONCE_PATHS and runs > 1:
            found.append(f"ran {runs} times: {steps}")
        if item.status in PROMISES and runs:
            found.append(f"was refused and ran: {steps}")
        if item.status == 200 and item.name.encode() not in item.response[-80:]:
            found.append(f"got another response: {steps}")
    return found


@pytest.mark.parametrize(
    ("modes", "statuses"),
    [(tuple(Mode), {200, 502, 503}), (CUT, {200, 502})],
    ids=["all", "cut"],
)
@pytest.mark.parametrize("seed", range(1, 9))
def test_refusals_are_believed_only_of_the_sending_that_they_answer(
    seed: int, modes: tuple[Mode, ...], statuses: set[int]
):
    """Requests ran twice, or were refused and ran."""
    upstream, asked = play(seed, modes)
    assert len(asked) == CALLERS * REQUESTS
    assert statuses <= {item.status for item in asked}
    assert broken_rules(upstream, asked) == []


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", [*REFUSALS, b"200 OK"])
def test_head_that_a_cut_copy_and_the_next_response_make_is_believed_of_neither(
    status: bytes, path: str
):
    """Requests that had run were sent again, refused, or got another status."""
    copy = refusal(status, "first")
    if status.startswith(b"200"):
        copy = copy.replace(b"X-Not-Executed: 1\r\n", b"")
    cuts = range(len(b"HTTP/1.1 "), copy.index(b"\r\n\r\n"))
    upstream = CutCopyUpstream(copy, path)

    async def async_main() -> list[bytes]:
        async with builders.entry_host(upstream, ROUTES) as host:
            return [
                await async_ask_twice(host, upstream, path, cut) for cut in cuts[::2]
            ]

    received = curio.run(async_main)
    if path in ONCE_PATHS:
        assert set(upstream.runs_by_cut.values()) == {1}
    own = (b"HTTP/1.1 500", b"HTTP/1.1 502")
    assert [item for item in received if not item.startswith(own)] == []


@pytest.mark.parametrize("path", ONCE_PATHS)
@pytest.mark.parametrize("status", [b"200 OK", b"500 Failed", b"502 Bad", b"504 Late"])
def test_statement_beside_a_status_that_contradicts_it_is_no_proof(
    status: bytes, path: str
):
    """Requests were refused with 503, though 500 and 504 count as run."""
    sent = builders.response(b"", status, NOT_EXECUTED)

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(sent)

    async def async_main() -> tuple[bytes, int]:
        async with builders.entry_host(async_upstream, ROUTES) as host:
            received = await host.async_ask(builders.request(path))
            return received, len(host.requests)

    received, runs = curio.run(async_main)
    assert (received[:12], runs) == (b"HTTP/1.1 502", 1)


def test_header_that_quotes_a_status_line_is_no_second_response():
    """Whole responses on new connections were taken for two that were joined."""
    quoted = b"X-Origin-Status: HTTP/1.1 200 OK"

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(named(builders.response(b"whole", b"200 OK", quoted), "a1"))

    async def async_main() -> bytes:
        async with builders.entry_host(async_upstream, ROUTES) as host:
            return await host.async_ask(builders.request(ONCE_PATHS[0]))

    assert curio.run(async_main).startswith(b"HTTP/1.1 200 ")
