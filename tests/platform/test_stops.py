"""A stop cuts nothing before its grace ends, and each cut has a line with its cause."""

from typing import Any

import curio
import pytest
from bitterntiller_platform.process import Parts, _async_stop
from bitterntiller_platform.settings import load_settings

from bitterntiller.components.entry.quota_client import QuotaVerdict
from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, chunk, event
from tests.platform.test_cut_causes import ONCE, async_slow_stream
from tests.platform.test_settings import FILE

TRANSFER_SECONDS = 0.45
"""Longest time that a transfer of leadership takes."""

SHUTDOWN = 0.6
ANSWERED_WITHIN = 0.4


async def async_ask_in_stop(
    upstream: builders.Upstream, path: str, granted: bool = True
) -> tuple[bytes, int]:
    """Ask a host that stops; return the answer and how many requests were sent on."""
    async with builders.entry_host(upstream, shutdown=SHUTDOWN) as host:
        host.links.grants = granted
        asking = await curio.spawn(host.async_ask, builders.request(path), 3.0)
        await curio.sleep(0.1)
        await host.coordinator.async_drain()
        async with curio.timeout_after(ANSWERED_WITHIN):
            return await asking.join(), len(host.requests)


async def async_send_call_late(sock: Any, data: bytes, number: int) -> None:
    await curio.sleep(0.2)
    await sock.sendall(builders.response(b"tile"))


async def async_begin_late(sock: Any, data: bytes, number: int) -> None:
    await curio.sleep(0.2)
    await async_send_all(sock, data, number)


@pytest.mark.parametrize(
    ("path", "upstream"),
    [("/trees/1", async_begin_late), ("/tiles/1", async_send_call_late)],
)
def test_response_that_begins_in_a_stop_announces_the_close(path, upstream):
    """Callers sent their next request on a connection that was about to close."""

    async def async_ask() -> bytes:
        async with builders.entry_host(upstream) as host:
            asking = await curio.spawn(host.async_ask, builders.request(path))
            await curio.sleep(0.1)
            await host.server.async_drain()
            return await asking.join()

    received = curio.run(async_ask)
    assert received.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nconnection: close\r\n" in received.lower()


async def async_send_nothing(sock: Any, data: bytes, number: int) -> None:
    await curio.sleep(5.0)


@pytest.mark.parametrize("path", ["/trees/1", "/tiles/1"])
def test_request_that_waits_at_the_end_of_a_stop_is_refused_as_not_run(path):
    """Its connection was closed, and its caller couldn't tell whether it had run."""
    with recording() as recorded:
        received, sent = curio.run(async_ask_in_stop, async_send_nothing, path, False)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nretry-after: " in received.lower()
    assert sent == 0
    assert recorded.by_kind.get("response-cut", []) == []


@pytest.mark.parametrize("path", ["/trees/1", "/tiles/1"])
def test_request_that_runs_at_the_end_of_a_stop_gets_an_answer_without_promise(path):
    """Its connection was closed without an answer, also if it may run only once."""
    with recording() as recorded:
        received, sent = curio.run(async_ask_in_stop, async_send_nothing, path)
    assert received.startswith(b"HTTP/1.1 502 ")
    assert sent == 1
    assert recorded.by_kind.get("response-cut", []) == []


@pytest.mark.parametrize(
    ("deadline_ms", "status", "sent"),
    [(3000, b"503", 0), (950, b"200", 1)],
    ids=["may-outlast-the-stop", "ends-within-the-stop"],
)
def test_request_whose_body_ends_late_in_a_stop_is_passed_on_only_if_it_ends_in_time(
    deadline_ms, status, sent
):
    """It was passed on whenever its body ended, and cut with its process."""

    async def async_ask() -> tuple[bytes, int]:
        async with builders.entry_host(async_send_all, ONCE, shutdown=1.2) as host:
            request = builders.request().replace(b": 3000", b": %d" % deadline_ms)
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock, curio.timeout_after(3.0):
                await sock.sendall(request[:-1])
                await curio.sleep(0.05)
                host.coordinator.leave()
                await curio.sleep(0.7)
                await sock.sendall(request[-1:])
                return await sock.recv(65536), len(host.requests)

    received, passed_on = curio.run(async_ask)
    assert received.split()[1] == status
    assert passed_on == sent


async def async_send_all(sock: Any, data: bytes, number: int) -> None:
    await sock.sendall(builders.STREAM_HEAD + chunk(event(1)) + LAST_CHUNK)


def test_request_that_arrives_as_the_stop_begins_is_served():
    """A cancellation of an idle connection must not reach the request behind it.

    The bytes have woken the connection's task when the drain cancels it, so that the
    cancellation is delivered in the middle of the request.
    """

    async def async_ask() -> tuple[bytes, int]:
        async with builders.entry_host(async_send_all, ONCE) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock, curio.timeout_after(2.0):
                await sock.sendall(builders.request())
                while not (await sock.recv(65536)).endswith(LAST_CHUNK):
                    pass
                await curio.sleep(0.05)
                await sock.sendall(builders.request())
                await curio.sleep(0)
                await host.server.async_drain()
                received = b""
                while data := await sock.recv(65536):
                    received += data
                return received, len(host.requests)

    with recording() as recorded:
        received, _ = curio.run(async_ask)
    assert recorded.by_kind.get("response-cut", []) == []
    assert received.endswith(LAST_CHUNK)


def test_response_that_a_second_signal_or_an_error_ends_names_the_stop():
    """All handlers are cancelled; the line said no more than host and no-response."""

    async def async_ask() -> None:
        async with builders.entry_host(async_slow_stream, ONCE) as host:
            await curio.spawn(host.async_ask, builders.request(), daemon=True)
            await curio.sleep(0.1)

    with recording() as recorded:
        curio.run(async_ask)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"] != "no-response") == ("stop", True)


class _Quota:
    """A quota that fails, or that never decides."""

    def __init__(self, fails: bool) -> None:
        self.fails = fails

    async def async_hold(self, request: Any) -> QuotaVerdict:
        if self.fails:
            raise ValueError("a bug")
        await curio.sleep(5.0)
        raise AssertionError("unreachable")


@pytest.mark.parametrize("fails", [True, False])
def test_request_that_ends_while_it_waits_for_quota_is_logged_as_cut(fails):
    """Its body has been read, but the line was written only for registered requests."""

    async def async_ask() -> bytes:
        async with builders.entry_host(
            async_send_all, ONCE, quota=_Quota(fails), shutdown=0.2
        ) as host:
            asking = await curio.spawn(host.async_ask, builders.request())
            await curio.sleep(0.1)
            await host.coordinator.async_drain()
        return await asking.join()

    with recording() as recorded:
        assert curio.run(async_ask) == b""
    (line,) = recorded.by_kind["response-cut"]
    assert line["by"] == ("host" if fails else "stop")


class _Anything:
    """A fake part of a process that takes any call of a stop."""

    def set_draining(self) -> None:
        return

    async def async_close(self) -> None:
        return

    async def async_transfer_leadership(self) -> None:
        await curio.sleep(TRANSFER_SECONDS)


@pytest.mark.parametrize("replica", [None, _Anything()], ids=["entry", "leader"])
def test_stop_ends_within_the_grace_of_the_platform(replica, tmp_path):
    """The waits for the balancer and for a new leader came on top of it."""
    grace = 3.4
    path = tmp_path / "boot.conf"
    path.write_text(FILE.replace("bounds.grace_s=8", f"bounds.grace_s={grace}"))
    shutdown = load_settings(path).settings.timings.shutdown

    async def async_never_end(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD)
        for count in range(1, 50):
            await sock.sendall(chunk(event(count)))
            await curio.sleep(0.2)

    async def async_stop() -> float:
        async with builders.entry_host(
            async_never_end, ONCE, shutdown=shutdown
        ) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            await sock.sendall(builders.request().replace(b": 3000", b": 9000"))
            await curio.sleep(0.2)
            requests = _Anything()
            requests.async_begin_drain = host.server.async_drain
            parts = Parts(_Anything(), host.coordinator, requests, None, replica)
            began = await curio.clock()
            await _async_stop(parts)
            return await curio.clock() - began

    with recording() as recorded:
        seconds = curio.run(async_stop)
    assert [line["by"] for line in recorded.by_kind["response-cut"]] == ["stop"]
    assert seconds <= grace
