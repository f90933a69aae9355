"""A late copy of a response is not taken for the response to a later sending.

All sendings of a request have its id, so the id of a response doesn't tell them apart.
"""

from typing import Any

import curio
import pytest

from bitterntiller.components.entry.retry_budget import RetryBudget
from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, STREAM_HEAD, chunk, event, response

ONCE = builders.route(
    name="once", path_prefix="/once/", route_kind="non_idempotent", max_attempts=1
)
REPEATABLE = builders.route(
    name="calls", path_prefix="/calls/", route_kind="idempotent", max_attempts=3
)
STREAM = builders.route(path_prefix="/streams/", max_attempts=1, stream_resume=False)
RESUMABLE = builders.route(name="resumable", path_prefix="/resumable/", max_attempts=3)
ROUTES = builders.document(ONCE, REPEATABLE, STREAM, RESUMABLE)
WHOLE_STREAM = STREAM_HEAD + chunk(event(1)) + LAST_CHUNK
RESPONSE_BY_PATH = {
    "/once/1": response(b"leaf"),
    "/calls/1": response(b"leaf"),
    "/streams/1": WHOLE_STREAM,
    "/resumable/1": WHOLE_STREAM,
}


class CopyingUpstream:
    """Sends the same to the first requests, and a copy of it ahead of what follows."""

    def __init__(self, first: bytes, answer: bytes, firsts: int = 1) -> None:
        self.runs = 0
        self._first = first
        self._answer = answer
        self._firsts = firsts
        self._owing_copies: set[Any] = set()

    async def __call__(self, sock: Any, data: bytes, number: int) -> None:
        if sock in self._owing_copies:
            self._owing_copies.remove(sock)
            await sock.sendall(self._first)
        if number < self._firsts:
            self._owing_copies.add(sock)
            await sock.sendall(self._first)
            return
        self.runs += 1
        await curio.sleep(0.02)
        await sock.sendall(self._answer)


def refusal(status: bytes) -> bytes:
    return response(b"", status, b"X-Not-Executed: 1")


def ask(
    upstream: CopyingUpstream,
    path: str,
    upstreams: int = 1,
    retries: RetryBudget | None = None,
) -> bytes:
    """Return the response to a caller; grants name so many upstreams in turn."""

    async def async_main() -> bytes:
        async with builders.entry_host(upstream, ROUTES, retries=retries) as host:
            host.links.names = [f"i-{number % upstreams}" for number in range(12)]
            return await host.async_ask(builders.request(path))

    return curio.run(async_main)


@pytest.mark.parametrize("path", list(RESPONSE_BY_PATH))
@pytest.mark.parametrize(
    "status", [b"503 Full", b"429 Many", b"408 Late", b"421 Other", b"400 Bad"]
)
def test_late_copy_of_a_refusal_makes_no_request_run_twice(path: str, status: bytes):
    upstream = CopyingUpstream(refusal(status), RESPONSE_BY_PATH[path])
    received = ask(upstream, path)
    assert upstream.runs == 1
    assert received.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("refuses", [2, 3])
def test_refusals_one_after_the_other_are_no_copies_of_each_other(refuses: int):
    """A request that several upstreams refuse comes back to the connection of one."""
    upstream = CopyingUpstream(refusal(b"503 Full"), response(b"leaf"), refuses)
    received = ask(upstream, "/once/1", upstreams=2)
    assert upstream.runs == 1
    assert received.endswith(b"leaf")


def test_late_copy_of_a_refusal_is_not_the_reason_to_refuse_a_request_that_runs():
    upstream = CopyingUpstream(refusal(b"503 Full"), response(b"leaf"))
    one_retry = RetryBudget(per_request=0.0, max_retries=lambda: 1.0)
    received = ask(upstream, "/once/1", retries=one_retry)
    assert (upstream.runs, received[:12]) == (1, b"HTTP/1.1 200")


@pytest.mark.parametrize("path", ["/once/1", "/streams/1"])
@pytest.mark.parametrize("first", [refusal(b"503 Full"), response(b"other")])
def test_late_copy_is_not_taken_for_the_response_to_a_request_with_the_same_id(
    first: bytes, path: str
):
    """A caller that repeats a request under its id was refused, though that ran."""
    upstream = CopyingUpstream(first, RESPONSE_BY_PATH[path])
    no_retry = RetryBudget(per_request=0.0, max_retries=lambda: 0.0)

    async def async_main() -> bytes:
        async with builders.entry_host(upstream, ROUTES, retries=no_retry) as host:
            await host.async_ask(builders.request("/once/1", "Connection: close"))
            return await host.async_ask(builders.request(path))

    received = curio.run(async_main)
    assert (upstream.runs, received[:12]) == (1, b"HTTP/1.1 200")
    assert b"leaf" in received


@pytest.mark.parametrize("path", ["/calls/1", "/resumable/1"])
def test_late_copy_of_a_failure_is_not_taken_for_that_of_the_next_run(path: str):
    """A request that was answered fails, as its first run has failed."""
    upstream = CopyingUpstream(response(b"no", b"500 Failed"), RESPONSE_BY_PATH[path])
    received = ask(upstream, path)
    assert upstream.runs == 1
    assert received.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize(
    "status", [b"503 Full", b"429 Many", b"408 Late", b"421 Other", b"400 Bad"]
)
def test_late_refusal_without_an_id_is_no_proof_that_a_request_did_not_run(
    status: bytes,
):
    """A request ran twice."""
    late = refusal(status).replace(b"X-Attempt-Id: a1\r\n", b"")
    runs = []

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 1:
            await sock.sendall(late)
        runs.append(number)
        await sock.sendall(response(b"leaf"))

    async def async_main() -> list[bytes]:
        async with builders.entry_host(async_upstream, ROUTES) as host:
            asked = builders.request("/once/1")
            first = await host.async_ask(asked)
            return [first, await host.async_ask(asked.replace(b"Id: a1", b"Id: a2"))]

    first, second = curio.run(async_main)
    assert first.endswith(b"leaf")
    assert second.startswith(b"HTTP/1.1 502")
    assert len(runs) == 2
