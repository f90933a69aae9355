"""Probes that upstreams answer by bytes without an end."""

import time
from typing import Any

import curio
import pytest

from bitterntiller.components.paths.models import PathFault
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.probes import ProbeResult
from bitterntiller.core.interfaces import SentRequest
from tests.components.tunnels.builders import (
    PROBE_ANSWER,
    WITH_LENGTH,
    Answer,
    hosts,
    sending,
    upstream,
)
from tests.components.tunnels.test_tunnels import async_until, run

DRIP_SECONDS = 0.05
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
MORE_SECONDS = 0.3
"""Time beyond its own that a probe may take on a busy machine."""


def dripping(start: bytes, part: bytes) -> Answer:
    """Return an answer that goes on until the connection is closed."""

    async def async_answer(sock: Any) -> None:
        await sock.sendall(start)
        while True:
            await sock.sendall(part)
            await curio.sleep(DRIP_SECONDS)

    return async_answer


HEADS = pytest.mark.parametrize(
    "probe_answer",
    [
        dripping(b"", INTERIM),
        dripping(b"", b"x"),
        dripping(b"HTTP/1.1 204 No Content\r\n", b"X-More: 1\r\n"),
    ],
    ids=["interim-heads", "no-line-end", "header-lines"],
)


@HEADS
def test_probe_ends_in_its_time_though_bytes_arrive(probe_answer):
    """Each interim head put its end off, so that it held a connection for ever."""

    async def async_main() -> None:
        made = upstream(sending(WITH_LENGTH), probe_answer)
        async with hosts("a") as (a,), made as e:
            began = time.monotonic()
            direct = a.connector._direct
            result = await direct.async_probe(e.destination(), 0)
            seconds = time.monotonic() - began
            assert result is ProbeResult.NO_ANSWER
            assert seconds < const.PROBE_ANSWER_SECONDS + MORE_SECONDS
            await async_until(lambda: not e.open)

    run(async_main)


@HEADS
def test_identity_probe_ends_in_its_time_though_bytes_arrive(probe_answer):
    async def async_main() -> None:
        made = upstream(sending(WITH_LENGTH), probe_answer)
        async with hosts("a") as (a,), made as e:
            sent = SentRequest("r1", 1, "e1", "1", e.address)
            began = time.monotonic()
            assert not await a.connector.async_is_replaced(sent)
            seconds = time.monotonic() - began
            assert seconds < const.PROBE_ANSWER_SECONDS + MORE_SECONDS
            await async_until(lambda: not e.open)

    run(async_main)


@HEADS
def test_check_of_a_path_ends_in_its_time_though_bytes_arrive(probe_answer):
    """The probes through other hosts held the check and its path for ever."""

    async def async_main() -> None:
        made = upstream(sending(b""), probe_answer)
        async with hosts("a", "b") as (a, _), made as e:
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            began = time.monotonic()
            await a.connector.async_record_fault(
                e.destination(), connected, PathFault.LOST
            )
            await connected.client.async_close()
            await async_until(lambda: not a.checks.running)
            seconds = time.monotonic() - began
            most = 2 * const.PROBE_ANSWER_SECONDS + const.LATE_ANSWER_SECONDS
            assert seconds < most + MORE_SECONDS
            assert not a.paths.is_failed(e.address)
            await async_until(lambda: not e.open)

    run(async_main)


def test_body_without_an_end_does_not_hold_the_connection_of_a_probe():
    async def async_main() -> None:
        head = PROBE_ANSWER.replace(b"204 No Content", b"200 OK")
        head = head.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
        made = upstream(sending(WITH_LENGTH), dripping(head, b"1\r\nx\r\n"))
        async with hosts("a") as (a,), made as e:
            direct = a.connector._direct
            result = await direct.async_probe(e.destination(), 0)
            assert result is ProbeResult.ANSWERED
            await async_until(lambda: not e.open)

    run(async_main)
