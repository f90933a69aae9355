"""Each response that a caller does not get whole has one line with its cause."""

from typing import Any

import curio

from tests.core.event_recorder import recording
from tests.platform import builders
from tests.platform.builders import chunk, event

ONCE = builders.document(builders.route(stream_resume=False))


def cut_lines(async_ask: Any) -> list[dict[str, Any]]:
    with recording() as recorded:
        curio.run(async_ask)
    return recorded.by_kind.get("response-cut", [])


async def async_break_off(sock: Any, data: bytes, number: int) -> None:
    await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
    await sock.close()


async def async_send_all(sock: Any, data: bytes, number: int) -> None:
    head = builders.STREAM_HEAD
    await sock.sendall(head + chunk(event(1)) + builders.LAST_CHUNK)


def test_response_that_its_upstream_breaks_off_is_cut_by_the_upstream():
    async def async_ask() -> None:
        async with builders.entry_host(async_break_off, ONCE) as host:
            await host.async_ask(builders.request())

    (line,) = cut_lines(async_ask)
    assert (line["by"], line["reason"]) == ("upstream", "lost-answer")
    assert "closed the connection" in line["detail"]
    assert (line["request"], line["output"], line["started"]) == ("a1", 1, True)
    assert 2.0 < line["left"] < 3.0


def test_broken_stream_that_its_owner_refuses_is_cut_by_the_host():
    async def async_ask() -> None:
        async with builders.entry_host(async_break_off) as host:
            host.links.refused_as = "too-late"
            await host.async_ask(builders.request())

    with recording() as recorded:
        curio.run(async_ask)
    (line,) = recorded.by_kind["response-cut"]
    assert (line["by"], line["reason"], line["runs"]) == ("host", "too-late", 1)
    (ended,) = recorded.by_kind["ended"]
    assert (ended["outcome"], ended["status"]) == ("unknown", 502)
    assert line["config_version"] == line["config_now"] == 1


def test_response_of_a_caller_that_leaves_is_cut_by_the_caller():
    async def async_wait(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(builders.STREAM_HEAD + chunk(event(1)))
        await curio.sleep(3.0)

    async def async_ask() -> None:
        async with builders.entry_host(async_wait, ONCE) as host:
            sock = await curio.open_connection("127.0.0.1", host.port)
            async with sock:
                await sock.sendall(builders.request())
                await sock.recv(1000)
            await curio.sleep(0.1)

    (line,) = cut_lines(async_ask)
    assert (line["by"], line["reason"]) == ("caller", "caller-gone")


def test_whole_response_is_not_logged_as_cut():
    async def async_ask() -> None:
        async with builders.entry_host(async_send_all) as host:
            await host.async_ask(builders.request())

    assert cut_lines(async_ask) == []
