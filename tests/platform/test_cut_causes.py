"""What may end a response to a caller, what may not, and one line for each cut."""

import struct
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from bitterntiller_platform.reload import SettingsReloader
from bitterntiller_platform.settings import load_settings
from curio import socket

from bitterntiller.components.entry.sse import MAX_EVENT_BYTES
from tests.components.http.builders import LIMITS
from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import LAST_CHUNK, EntryHost, chunk, event
from tests.platform.test_reload import Holder
from tests.platform.test_settings import FILE

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ONCE = builders.document(builders.route(stream_resume=False))
Act = Callable[[EntryHost], Awaitable[None]]


async def async_slow_stream(sock: Any, data: bytes, number: int) -> None:
    """Send an event, and the rest of the stream after 0.3 s."""
    await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
    await curio.sleep(0.3)
    await sock.sendall(chunk(event(2)) + LAST_CHUNK)


async def async_break_off(sock: Any, data: bytes, number: int) -> None:
    await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
    await sock.close()


def ask_with(
    act: Act,
    upstream: builders.Upstream = async_slow_stream,
    document: dict[str, Any] | None = ONCE,
    data: bytes | None = None,
    shutdown: float = 5.0,
) -> tuple[bytes, list[dict[str, Any]]]:
    """Return what a caller gets, and the cut responses; act comes after 0.1 s."""

    async def async_ask() -> bytes:
        async with builders.entry_host(upstream, document, shutdown=shutdown) as host:
            asking = await curio.spawn(host.async_ask, data or builders.request())
            await curio.sleep(0.1)
            await act(host)
            return await asking.join()

    with recording() as recorded:
        received = curio.run(async_ask)
    return received, recorded.by_kind.get("response-cut", [])


async def async_nothing(host: EntryHost) -> None:
    return


async def async_close_idle_sooner(host: EntryHost) -> None:
    host.server.set_limits(LIMITS._replace(head_timeout=0.01, keep_alive=0.01))


async def async_allow_less(host: EntryHost) -> None:
    limits = LIMITS._replace(head_bytes=1, connections=0, write_timeout=0.001)
    host.server.set_limits(limits)


async def async_change_configuration(host: EntryHost) -> None:
    host.context.config.version = 2
    host.context.config.config = None


async def async_lose_lease(host: EntryHost) -> None:
    host.context.lease.held = False
    await host.coordinator._async_check_lease()


async def async_lose_owner(host: EntryHost) -> None:
    host.context.directory.owner = lambda pool: None
    await host.coordinator._async_check_owner("llm")


async def async_drain(host: EntryHost) -> None:
    await host.server.async_drain()
    assert await host.coordinator.async_drain() == []


@pytest.mark.parametrize(
    "act",
    [
        async_close_idle_sooner,
        async_allow_less,
        async_change_configuration,
        async_lose_lease,
        async_lose_owner,
        async_drain,
    ],
)
def test_change_within_a_response_does_not_cut_it(act):
    """A connection must not be closed in the middle of an answer that is coming."""
    received, cut = ask_with(act)
    assert event(2) in received
    assert received.endswith(LAST_CHUNK)
    assert cut == []


def test_reload_of_the_settings_within_a_response_does_not_cut_it(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(FILE)
    holder = Holder(load_settings(path).settings)
    reloader = SettingsReloader(holder, holder, path)

    async def async_reload(host: EntryHost) -> None:
        path.write_text(FILE.replace("10.2.0.19:8229", "10.9.0.1:8229"))
        reloader.reload()
        assert holder.control_client.seeds

    received, cut = ask_with(async_reload)
    assert received.endswith(LAST_CHUNK)
    assert cut == []


def test_response_beyond_the_grace_period_is_cut_by_the_stop_once():
    """The line must not come again as the handler of the request is cancelled."""

    async def async_stop(host: EntryHost) -> None:
        await host.server.async_drain()
        assert await host.coordinator.async_drain() == ["a1"]

    async def async_ask() -> None:
        async with builders.entry_host(async_slow_stream, ONCE, shutdown=0.1) as host:
            await curio.spawn(host.async_ask, builders.request(), daemon=True)
            await curio.sleep(0.1)
            await async_stop(host)

    with recording() as recorded:
        curio.run(async_ask)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"]) == ("stop", "grace-period-over")
    assert (line["started"], line["output"]) == (True, 1)


def test_caller_that_closes_its_sending_side_counts_as_gone():
    async def async_ask() -> bytes:
        async with builders.entry_host(async_slow_stream, ONCE) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock, curio.ignore_after(1.0):
                await sock.sendall(builders.request())
                await curio.sleep(0.1)
                await sock.shutdown(socket.SHUT_WR)
                await curio.sleep(0.5)

    with recording() as recorded:
        curio.run(async_ask)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"]) == ("caller", "caller-gone")


def test_error_of_this_process_within_a_response_cuts_it_once():
    async def async_break(host: EntryHost) -> None:
        (active,) = host.coordinator.registry.by_id.values()
        active.stream.feed = lambda data: 1 // 0

    received, cut = ask_with(async_break)
    assert not received.endswith(LAST_CHUNK)
    assert [(line["by"], line["reason"]) for line in cut] == [("host", "fault")]


def test_broken_stream_without_a_grant_until_its_deadline_is_cut_by_the_deadline():
    async def async_grant_nothing(host: EntryHost) -> None:
        async def async_send(address: str, message: Any) -> bool:
            return True

        host.links.async_send = async_send

    async def async_break_later(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
        await curio.sleep(0.2)
        await sock.close()

    data = builders.request().replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 700")
    received, cut = ask_with(async_grant_nothing, async_break_later, None, data)
    assert not received.endswith(LAST_CHUNK)
    assert [(line["by"], line["reason"]) for line in cut] == [("deadline", "too-late")]
    assert cut[0]["left"] <= 0


def test_stream_with_an_event_without_an_end_is_cut_by_its_upstream():
    async def async_send_endless(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
        await sock.sendall(chunk(b"data: " + b"x" * (MAX_EVENT_BYTES + 1)))

    received, cut = ask_with(async_nothing, async_send_endless)
    assert not received.endswith(LAST_CHUNK)
    (line,) = cut
    assert (line["by"], line["reason"]) == ("upstream", "lost-answer")
    assert "event larger than" in line["detail"]


def test_caller_that_stops_reading_is_cut_by_itself_once():
    """caller_write is over before the silence that it causes is seen elsewhere."""

    async def async_flood(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD)
        for count in range(1, 200):
            await sock.sendall(chunk(event(count, "x" * 50_000)))

    async def async_ask() -> None:
        limits = LIMITS._replace(write_timeout=0.2)
        async with builders.entry_host(async_flood, ONCE, server_limits=limits) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock:
                await sock.sendall(builders.request())
                await curio.sleep(1.0)

    with recording() as recorded:
        curio.run(async_ask)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"]) == ("caller", "caller-gone")
    assert "stopped reading" in line["detail"]


def test_caller_that_resets_its_connection_is_cut_by_itself_once():
    async def async_ask() -> None:
        async with builders.entry_host(async_slow_stream, ONCE) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            await sock.sendall(builders.request())
            await curio.sleep(0.1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await sock.close()
            await curio.sleep(0.5)

    with recording() as recorded:
        curio.run(async_ask)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"]) == ("caller", "caller-gone")
    assert line["output"] == 1
