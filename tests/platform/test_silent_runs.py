"""What follows a silence: other upstreams that fail, late grants, ends, deadlines."""

from typing import Any

import curio
import pytest
from curio import socket

from bitterntiller.components.entry.response_times import ResponseTimes
from bitterntiller.components.entry.retry_budget import RetryBudget
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.tunnels.connector import DirectConnector
from bitterntiller.protocol import messages
from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import chunk, event
from tests.platform.test_silent_upstreams import (
    ASK_SECONDS,
    FIRST,
    REST,
    async_pause_in_stream,
    patient_host,
)
from tests.platform.test_streams import body_of
from tests.platform.test_unframed_responses import RESET_ON_CLOSE

UNFRAMED_HEAD = builders.STREAM_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")


async def async_break_before_an_event(sock: Any) -> None:
    await sock.sendall(builders.STREAM_HEAD)
    await sock.close()


async def async_begin_again(sock: Any) -> None:
    """Send the stream from its start, as upstreams do that can't resume one."""
    await sock.sendall(builders.STREAM_HEAD + FIRST + REST)


async def async_not_found(sock: Any) -> None:
    await sock.sendall(builders.response(b"{}", b"404 Not Found"))


@pytest.mark.parametrize(
    "async_answer", [async_break_before_an_event, async_begin_again, async_not_found]
)
def test_other_upstream_that_does_not_go_on_with_a_stream_ends_no_silent_run(
    async_answer,
):
    """The silent run is closed at a head; the first event may never follow it."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number:
            await async_answer(sock)
            return
        await async_pause_in_stream(sock, data, number)

    async def async_main() -> bytes:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), ASK_SECONDS)

    received = curio.run(async_main)
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)


@pytest.mark.parametrize("others", ["refused", "silent", "late"])
def test_silent_stream_that_ends_with_its_connection_is_whole(others):
    """Such a response ends without another byte, so nothing tells that it went on."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await sock.sendall(UNFRAMED_HEAD + event(1))
            await curio.sleep(1.6)
            await sock.close()
            return
        await curio.sleep(1.0 if others == "late" else 9.0)
        await sock.sendall(builders.STREAM_HEAD + REST)

    async def async_main() -> tuple[bytes, list[Any], int]:
        async with patient_host(async_upstream) as host:
            if others == "refused":
                host.links.refused_as = "too-late"
            received = await host.async_ask(builders.request(), ASK_SECONDS)
            await curio.sleep(1.5)
            finished = host.links.of(messages.Finished)
            return received, finished, len(host.coordinator.registry.by_id)

    with recording() as recorded:
        received, finished, live = curio.run(async_main)
    assert body_of(received) == event(1)
    assert received.endswith(builders.LAST_CHUNK)
    assert live == 0
    assert [item.outcome for item in finished] == ["done"]
    assert "response-cut" not in recorded.by_kind


def test_refusal_beside_a_silent_run_is_no_run():
    """A stream of two attempts has one left after a refusal that ran nothing."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(builders.STREAM_HEAD + FIRST)
            await curio.sleep(1.6)
            await sock.sendall(chunk(event(2)))
            await curio.sleep(0.2)
        elif number == 1:
            refusal = builders.response(b"", b"503 Full", b"X-Not-Executed: 1")
            await sock.sendall(refusal)
        else:
            rest = chunk(event(3)) + builders.LAST_CHUNK
            await sock.sendall(builders.STREAM_HEAD + rest)
        await sock.close()

    async def async_main() -> bytes:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), ASK_SECONDS)

    received = curio.run(async_main)
    assert body_of(received) == event(1) + event(2) + event(3)
    assert received.endswith(builders.LAST_CHUNK)


def test_load_of_another_upstream_is_not_reported_for_the_silent_one():
    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number:
            load = b"X-Engine-Load: 77,66"
            await sock.sendall(builders.response(b"", b"500 Failed", load))
            return
        await async_pause_in_stream(sock, data, number)

    async def async_main() -> list[Any]:
        async with patient_host(async_upstream) as host:
            await host.async_ask(builders.request(), ASK_SECONDS)
            await curio.sleep(0.1)
            return host.links.of(messages.Finished)

    (finished,) = curio.run(async_main)
    assert finished.outcome == "done"
    assert finished.load is None


def test_silence_is_reported_once_where_the_only_upstream_is_granted_again():
    """Each report counts as a failure of the upstream, and of its version."""

    async def async_main() -> list[Any]:
        async with patient_host(async_pause_in_stream) as host:
            host.links.names = ["i-1"]
            await host.async_ask(builders.request(), ASK_SECONDS)
            return host.links.of(messages.Returned)

    returned = curio.run(async_main)
    assert [item.reason for item in returned].count("upstream-silent") == 1


def test_run_that_ended_while_silent_still_counts_where_its_upstream_is_granted_again():
    """It may have run. Taken for one that did not, a third run follows the second."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if not number:
            await sock.sendall(builders.STREAM_HEAD + FIRST)
            await curio.sleep(1.5)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        elif number == 1:
            await sock.sendall(builders.STREAM_HEAD + chunk(event(2)))
        else:
            await sock.sendall(builders.STREAM_HEAD + chunk(event(3)))
        await sock.close()

    async def async_main() -> int:
        async with patient_host(async_upstream) as host:
            host.links.names = ["i-1"]
            async_grant = host.links._async_grant

            async def async_grant_late(request_id: str) -> None:
                if host.requests:
                    host.links._async_grant = async_grant
                    await curio.sleep(0.6)
                await async_grant(request_id)

            host.links._async_grant = async_grant_late
            await host.async_ask(builders.request(), ASK_SECONDS)
            return len(host.requests)

    assert curio.run(async_main) == 2


@pytest.fixture
def slow_connections(monkeypatch) -> list[Any]:
    """Make connecting take 0.7 s, but for the first request of the returned list."""
    async_acquire = DirectConnector.async_acquire
    acquired: list[Any] = []

    async def async_acquire_late(*arguments: Any) -> Any:
        acquired.append(arguments)
        if len(acquired) > 1:
            await curio.sleep(0.7)
        return await async_acquire(*arguments)

    monkeypatch.setattr(DirectConnector, "async_acquire", async_acquire_late)
    return acquired


def test_stream_that_goes_on_while_another_upstream_connects_is_kept(slow_connections):
    """RunResumed is an empty tuple, thus false, and lost in the chain of checks.

    The request is sent all the same; the error for one that is sent twice ends the
    process, and with it every answer of the host.
    """

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + FIRST)
        await curio.sleep(1.4)
        await sock.sendall(chunk(event(2)))
        await curio.sleep(0.9)
        await sock.sendall(builders.LAST_CHUNK)

    async def async_main() -> bytes:
        async with patient_host(async_upstream) as host:
            return await host.async_ask(builders.request(), ASK_SECONDS)

    received = curio.run(async_main)
    assert len(slow_connections) == 2
    assert body_of(received) == event(1) + event(2)
    assert received.endswith(builders.LAST_CHUNK)


def test_run_that_is_silent_twice_while_another_connects_is_not_sent_again(
    slow_connections,
):
    """A part of a head ends the silence; the request runs, and must not be sent.

    The error for a request that is sent twice ends the process.
    """
    document = builders.document(
        builders.route(route_kind="idempotent", stream_resume=False)
    )

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        whole = builders.response(b"leaf")
        if number:
            await sock.sendall(whole)
            return
        await curio.sleep(0.2)
        await sock.sendall(whole[:20])
        await curio.sleep(1.2)
        await sock.sendall(whole[20:])

    async def async_main() -> bytes:
        async with patient_host(async_upstream, configuration=document) as host:
            times: ResponseTimes = host.context.response_times
            times.attempt_timeout = lambda service, objective: 0.1
            return await host.async_ask(builders.request(), ASK_SECONDS)

    with recording() as recorded:
        received = curio.run(async_main)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"leaf")
    assert "response-cut" not in recorded.by_kind


def test_no_other_upstream_is_sought_after_the_deadline():
    """Each second, every silent request sends its owner three messages in vain."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + FIRST)
        await curio.sleep(9.0)

    async def async_main() -> tuple[int, int]:
        async with patient_host(async_upstream) as host:
            host.links.refused_as = "too-late"
            task = await curio.spawn(host.async_ask, builders.request(), 6.0)
            await curio.sleep(3.4)
            sent = len(host.links.of(messages.Returned))
            await curio.sleep(2.4)
            later = len(host.links.of(messages.Returned))
            await task.cancel()
            return sent, later

    sent, later = curio.run(async_main)
    assert later == sent


def test_retry_for_which_nothing_was_sent_is_given_back_after_another_run():
    """Compared are all sendings since the silent run began, not those since it was
    set aside: after one of them in vain no retry is given back any more."""
    budget = RetryBudget(per_request=0.0, max_retries=lambda: 10.0)
    document = builders.document(builders.route(max_attempts=3))

    async def async_main() -> int:
        async with patient_host(
            async_upstream, configuration=document, retries=budget
        ) as host:
            hosts.append(host)
            received = await host.async_ask(builders.request(), ASK_SECONDS)
            assert received.endswith(builders.LAST_CHUNK)
            return len(host.requests)

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        if number:
            hosts[0].links.refused_as = "shed"
            await sock.sendall(builders.response(b"", b"500 Failed"))
            return
        await sock.sendall(builders.STREAM_HEAD + FIRST)
        await curio.sleep(2.8)
        await sock.sendall(REST)

    hosts: list[builders.EntryHost] = []
    sent = curio.run(async_main)
    assert budget.left_by_pool()["llm"] == 10 - (sent - 1)


def test_connection_to_an_upstream_ends_if_its_host_vanishes():
    """A response is awaited until its deadline now; a host without power sends no end.

    The commit that did so relies on the keep-alive of these connections.
    """

    async def async_main() -> int:
        listener = curio.tcp_server_socket("127.0.0.1", 0)
        async with listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            client = await ClientExchange.async_open(address, 1.0)
            try:
                return client._sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            finally:
                await client.async_close()

    assert curio.run(async_main) == 1


def test_stream_that_is_silent_at_its_deadline_is_cut_then():
    """Its caller was held for half a minute after the time limit of its route."""

    async def async_upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + FIRST)
        await curio.sleep(9.0)

    async def async_main() -> float:
        async with patient_host(async_upstream) as host:
            host.links.refused_as = "too-late"
            began = await curio.clock()
            await host.async_ask(builders.request(), 7.0)
            return await curio.clock() - began

    with recording() as recorded:
        seconds = curio.run(async_main)
    assert 2.9 < seconds < 3.5
    (line,) = recorded.by_kind["response-cut"]
    assert line["by"] == "deadline"
