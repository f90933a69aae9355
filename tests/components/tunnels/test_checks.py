"""Whether a path or its upstream lost a response, and what requests do meanwhile."""

import logging
from typing import Any

import curio
import pytest

from bitterntiller.components.entry.path_report import PathReport
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.paths.const import CHECK_PERIOD
from bitterntiller.components.paths.models import CarriedBytes, PathFault
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.probes import ProbeResult
from tests.components.tunnels.builders import (
    HANGS,
    PROBE_ANSWER,
    REFUSES,
    WITH_LENGTH,
    Answer,
    TunnelHost,
    Upstream,
    async_ask,
    hosts,
    sending,
    upstream,
)
from tests.components.tunnels.test_tunnels import async_until, run
from tests.scenarios.cut_paths import (
    ANSWER_BETWEEN,
    FOREIGN_ANSWER,
    SILENT_LARGE,
    SILENT_REQUEST,
    SWALLOW_REQUEST,
    SWALLOW_RESPONSE,
    TRUNCATE,
)

LOSING = (SWALLOW_REQUEST, SWALLOW_RESPONSE, SILENT_REQUEST)


async def async_send(
    host: TunnelHost, to: Destination, repeatable: bool = False, body: bytes = b"{}"
) -> str:
    """Send a request as an attempt does; return how it ended and through whom."""
    connected = await host.connector.async_acquire(to, 0.5, repeatable)
    client = connected.client
    way = connected.relay or "direct"
    headed = False
    try:
        await client.async_request("POST", "/tiles", [], body, 1.0)
        head = await client.async_head(0.4)
        headed = True
        if head.status != 200:
            await host.connector.async_record_fault(to, connected, PathFault.LOST)
            return f"foreign {way}"
        host.connector.record_answer(to, connected, False)
        while await client.async_data(0.4) is not None:
            pass
        host.connector.record_answer(to, connected, True)
        return f"whole {way}"
    except IncompleteResponseError:
        fault = PathFault.TRUNCATED if headed else PathFault.LOST
        await host.connector.async_record_fault(to, connected, fault)
        return f"{fault} {way}"
    finally:
        await client.async_close()


async def async_many(host: TunnelHost, e: Upstream, count: int, **options: Any) -> list:
    return [await async_send(host, e.destination(), **options) for _ in range(count)]


@pytest.mark.parametrize("mode", LOSING)
def test_path_on_which_connections_open_loses_one_request(mode):
    """Callers of a host whose requests were lost on open connections got 502."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = mode
            ways = await async_many(a, e, 5)
            assert ways == ["lost direct"] + 4 * ["whole b"]
            assert a.paths.fault(e.address) is PathFault.LOST
            a.connections.mode = ""
            await async_until(lambda: not a.paths.is_failed(e.address))
            assert await async_many(a, e, 1) == ["whole direct"]

    run(async_main)


def test_answer_of_something_between_is_a_fault_of_the_path():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = FOREIGN_ANSWER
            assert await async_many(a, e, 3) == ["foreign direct"] + 2 * ["whole b"]

    run(async_main)


def test_path_that_loses_long_requests_only_is_probed_by_long_ones():
    """Short probes passed, and each long request was lost."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = SILENT_LARGE
            ways = await async_many(a, e, 3, body=b"x" * 3000)
            assert ways == ["lost direct"] + 2 * ["whole b"]
            await curio.sleep(const.PROBE_CHECK_SECONDS + 1.2)
            assert a.paths.is_failed(e.address)

    run(async_main)


def test_path_on_which_responses_break_off_is_tested_by_repeatable_requests():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = TRUNCATE
            assert await async_many(a, e, 1) == ["truncated direct"]
            await async_until(lambda: a.paths.is_failed(e.address))
            assert await async_many(a, e, 3) == 3 * ["whole b"]
            ways = await async_many(a, e, 3, repeatable=True)
            assert ways == ["truncated direct"] + 2 * ["whole b"]
            a.connections.mode = ""
            assert await async_many(a, e, 1) == ["whole b"]
            await curio.sleep(1.1)
            ways = await async_many(a, e, 2, repeatable=True)
            assert ways == 2 * ["whole direct"]

    run(async_main)


def test_upstream_that_loses_its_responses_is_told_from_a_path():
    """All hosts sent through each other to an upstream that reset each request."""

    async def async_main() -> None:
        lost = sending(b"")
        async with hosts("a", "b") as (a, b), upstream(lost, lost) as e:
            ways = await async_many(a, e, 3)
            assert all(way.endswith("direct") for way in ways)
            await async_until(lambda: not a.checks.running)
            assert not a.paths.is_failed(e.address)
            assert not b.paths.is_failed(e.address)

    run(async_main)


def test_upstream_and_path_that_lose_at_once_leave_the_path_in_doubt():
    fails = True

    async def async_answer(sock: Any) -> None:
        if not fails:
            await sock.sendall(PROBE_ANSWER)

    async def async_main() -> None:
        nonlocal fails
        lost = sending(b"")
        async with hosts("a", "b") as (a, _), upstream(lost, async_answer) as e:
            a.connections.mode = SWALLOW_REQUEST
            assert await async_many(a, e, 1) == ["lost direct"]
            await async_until(lambda: not a.checks.running)
            assert not a.paths.is_failed(e.address)
            fails = False
            await curio.sleep(CHECK_PERIOD + 0.1)
            assert await async_many(a, e, 1) == ["lost direct"]
            await async_until(lambda: a.paths.is_failed(e.address))

    run(async_main)


def test_path_is_checked_once_a_period_however_many_responses_are_lost():
    """Each lost response of a crashed upstream brought probes of its own."""

    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, _, _), upstream(sending(b"")) as e:
            began = a.connector._clock.now()
            await async_many(a, e, 20)
            seconds = a.connector._clock.now() - began
            assert 1 <= len(e.probes) <= 1 + seconds / CHECK_PERIOD

    run(async_main)


def test_check_does_not_lead_to_checks_of_other_hosts():
    """One lost response made all hosts probe a silent upstream, again and again."""

    async def async_main() -> None:
        names = tuple("abcdef")
        lost = sending(b"")
        async with hosts(*names) as found, upstream(lost, lost) as e:
            await async_many(found[0], e, 1)
            await curio.sleep(2.0)
            assert len(e.probes) == 1 + const.MAX_RELAYS
            assert not any(host.checks.running for host in found)

    run(async_main)


def test_requests_wait_for_a_check_of_their_path():
    """Requests that arrived while a path was in doubt were lost on it."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = SILENT_REQUEST
            assert await async_many(a, e, 1) == ["lost direct"]
            assert a.checks.running
            async with curio.TaskGroup() as group:
                for _ in range(10):
                    await group.spawn(async_send, a, e.destination())
            assert group.results == 10 * ["whole b"]

    run(async_main)


def test_request_is_not_sent_on_a_lossy_path_if_no_other_host_reaches():
    """A request that may not be repeated was lost although nothing had to be sent."""

    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, b, c), upstream(sending(b"")) as e:
            for host in (a, b, c):
                now = host.connector._clock.now()
                host.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            with pytest.raises(ConnectRefusedError):
                await a.connector.async_acquire(e.destination(), 0.5)
            assert e.requests == []

    run(async_main)


def test_host_without_others_goes_on_sending_on_its_lossy_path():
    async def async_main() -> None:
        async with hosts("a") as (a,), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = SWALLOW_REQUEST
            assert await async_many(a, e, 2) == 2 * ["lost direct"]
            assert not a.paths.is_failed(e.address)
            a.connections.mode = ""
            assert await async_many(a, e, 1) == ["whole direct"]

    run(async_main)


def test_host_between_checks_its_path_after_a_tunnel_without_an_answer():
    """Each host lost a request of its own through the same host between."""

    async def async_main() -> None:
        names = ("a", "b", "c")
        async with hosts(*names) as (a, b, c), upstream(sending(WITH_LENGTH)) as e:
            b.connections.mode = SWALLOW_REQUEST
            connect = b.server._async_connect

            async def async_lossy(request: Any) -> Any:
                opened = await connect(request)
                return opened._replace(sock=_Deaf(opened.sock))

            b.server._async_connect = async_lossy
            now = a.connector._clock.now()
            a.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            a.paths.record_relay(e.address, "b", True, now)
            assert await async_many(a, e, 2) == ["lost b", "whole c"]
            await async_until(lambda: b.paths.is_failed(e.address))
            c.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            with pytest.raises(ConnectRefusedError):
                await c.connector.async_acquire(e.destination(), 0.5)
            assert b.metrics.counts[const.METRIC_REJECTED] == 1

    run(async_main)


class _Deaf:
    """A socket of a path that loses all that is sent."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock

    async def sendall(self, data: bytes) -> None:
        return None

    async def recv(self, maxsize: int) -> bytes:
        return await self._sock.recv(maxsize)

    async def close(self) -> None:
        await self._sock.close()


def test_head_of_a_response_does_not_prove_a_path_on_which_one_broke_off():
    """A path was proved by the first part of a response that broke off again."""

    async def async_main() -> None:
        part = sending(WITH_LENGTH[:-1])
        async with hosts("a", "b") as (a, _), upstream(part) as e:
            now = a.connector._clock.now()
            needed = CarriedBytes(received=10)
            a.paths.record_failed(e.address, "e1", PathFault.TRUNCATED, now, needed)
            ways = await async_many(a, e, 1, repeatable=True)
            assert ways == ["truncated direct"]
            assert a.paths.is_failed(e.address)

    run(async_main)


def test_host_that_answered_a_check_is_used_first():
    """Requests went through hosts over which the check had got no answer."""

    async def async_main() -> None:
        names = ("a", "b", "c", "d")
        async with hosts(*names) as found, upstream(sending(WITH_LENGTH)) as e:
            a, b, c, _ = found
            a.connections.mode = SWALLOW_REQUEST
            for host in (b, c):
                now = host.connector._clock.now()
                host.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            assert await async_many(a, e, 1) == ["lost direct"]
            await async_until(lambda: a.paths.is_failed(e.address))
            ranked = a.connector._relays.candidates(e.destination())
            assert "d" in [relay.name for relay in ranked[:2]]
            known = a.paths.describe(a.connector._clock.now())[e.address]
            assert known["reached_through"] == ["d"]

    run(async_main)


async def _async_keep(sock: Any) -> None:
    await sock.sendall(WITH_LENGTH)
    await sock.recv(1)


def test_bytes_of_an_earlier_exchange_do_not_prove_a_path():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_keep) as e:
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            await async_ask(connected.client, close=False)
            assert connected.client.received_bytes == len(WITH_LENGTH)
            await a.connector.async_release(e.address, connected)
            again = await a.connector.async_acquire(e.destination(), 0.5)
            client = again.client
            assert client is connected.client
            assert (client.sent_bytes, client.received_bytes) == (0, 0)
            await client.async_close()

    run(async_main)


def test_idle_connection_of_a_lossy_path_is_not_used():
    """A request was lost on a kept connection of a path that had failed."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_keep) as e:
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            await async_ask(connected.client, close=False)
            await a.connector.async_release(e.address, connected)
            assert a.connections.idle_by_address() == {e.address: 1}
            now = a.connector._clock.now()
            a.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            assert await async_many(a, e, 1) == ["whole b"]

    run(async_main)


def test_probe_without_a_connection_leaves_no_error_record(caplog):
    """Each probe of an upstream that was down left an error with a traceback."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(b"")) as e:
            a.connections.mode = REFUSES
            direct = a.connector._direct
            await curio.spawn(direct.async_probe, e.destination(), 0, daemon=True)
            await curio.sleep(0.1)
            assert a.paths.is_failed(e.address)

    run(async_main)
    assert not [item for item in caplog.records if item.levelno >= logging.ERROR]


def test_answer_that_was_under_way_does_not_end_a_fault_of_its_path():
    """A lossy path was taken for working by an answer of before its first loss."""
    go_on = curio.Event()

    async def async_answer(sock: Any) -> None:
        await go_on.wait()
        await sock.sendall(WITH_LENGTH)

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(async_answer) as e:
            early = await curio.spawn(async_send, a, e.destination())
            await async_until(lambda: e.requests)
            a.connections.mode = FOREIGN_ANSWER
            assert await async_many(a, e, 1) == ["foreign direct"]
            await async_until(lambda: a.paths.is_failed(e.address))
            await go_on.set()
            assert await early.join() == "whole direct"
            assert a.paths.fault(e.address) is PathFault.LOST
            assert await async_many(a, e, 2) == 2 * ["whole b"]

    run(async_main)


def test_tunnel_from_before_a_fault_does_not_end_it():
    """A host between took its path for working by an answer that was under way."""
    go_on = curio.Event()

    async def async_answer(sock: Any) -> None:
        await go_on.wait()
        await sock.sendall(WITH_LENGTH)

    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(async_answer) as e:
            a.connections.mode = REFUSES
            early = await curio.spawn(async_send, a, e.destination())
            await async_until(lambda: e.requests)
            now = b.connector._clock.now()
            b.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            await go_on.set()
            assert await early.join() == "whole b"
            assert b.paths.is_failed(e.address)

    run(async_main)


def test_bytes_in_a_tunnel_do_not_end_a_fault_of_the_path_below_it():
    """A host between took the answer of something between for its upstream's."""

    async def async_main() -> None:
        made = upstream(sending(ANSWER_BETWEEN), sending(ANSWER_BETWEEN))
        async with hosts("a", "b") as (a, b), made as e:
            a.connections.mode = REFUSES
            tunnel = await a.connector.async_acquire(e.destination(), 0.5)
            assert tunnel.relay == "b"
            now = b.connector._clock.now()
            b.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            assert (await async_ask(tunnel.client))[0] == 502
            assert b.paths.is_failed(e.address)
            await tunnel.client.async_close()

    run(async_main)


def test_probe_from_before_a_fault_does_not_end_it():
    go_on = curio.Event()

    async def async_answer(sock: Any) -> None:
        await go_on.wait()
        await sock.sendall(PROBE_ANSWER)

    async def async_main() -> None:
        made = upstream(sending(WITH_LENGTH), async_answer)
        async with hosts("a", "b") as (a, _), made as e:
            direct = a.connector._direct
            probe = await curio.spawn(direct.async_probe, e.destination(), 0)
            await async_until(lambda: e.probes)
            now = a.connector._clock.now()
            a.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            await go_on.set()
            assert await probe.join() is ProbeResult.ANSWERED
            assert a.paths.is_failed(e.address)

    run(async_main)


def test_connect_from_before_a_path_was_regained_does_not_fail_it():
    """Requests went through other hosts after a connect that had hung for long."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            direct = a.connector._direct
            now = a.connector._clock.now()
            a.paths.record_failed(e.address, "e1", PathFault.LOST, now)
            a.connections.mode = HANGS
            hung = await curio.spawn(direct.async_open, e.destination(), 0.3)
            await curio.sleep(0.05)
            a.connections.mode = ""
            await direct.async_probe(e.destination(), 0)
            assert not a.paths.is_failed(e.address)
            with pytest.raises(curio.TaskError):
                await hung.join()
            assert not a.paths.is_failed(e.address)

    run(async_main)


def test_response_from_before_a_path_was_regained_does_not_fail_it():
    """A path failed anew by the end of a stream from before its last fault."""
    go_on = curio.Event()

    async def async_answer(sock: Any) -> None:
        await sock.sendall(WITH_LENGTH[:-1])
        await go_on.wait()

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(async_answer) as e:
            early = await curio.spawn(async_send, a, e.destination())
            await async_until(lambda: e.requests)
            now = a.connector._clock.now()
            a.paths.record_failed(e.address, "e1", PathFault.REFUSED, now)
            await a.connector._direct.async_probe(e.destination(), 0)
            assert not a.paths.is_failed(e.address)
            await go_on.set()
            assert await early.join() == "truncated direct"
            await async_until(lambda: not a.checks.running)
            assert not a.paths.is_failed(e.address)

    run(async_main)


def silent_until(event: curio.Event, data: bytes) -> Answer:
    """Return an answer that begins once an event is set."""

    async def async_answer(sock: Any) -> None:
        await event.wait()
        await sock.sendall(data)

    return async_answer


@pytest.mark.parametrize("seconds", [0.35, 0.45, 0.55])
def test_silence_that_ends_during_a_check_is_no_fault_of_the_path(seconds):
    """A path counted as lost, as its upstream went on between two probes."""
    goes_on = curio.Event()

    async def async_main() -> None:
        made = upstream(
            silent_until(goes_on, WITH_LENGTH), silent_until(goes_on, PROBE_ANSWER)
        )
        async with hosts("a", "b") as (a, _), made as e:
            assert await async_many(a, e, 1) == ["lost direct"]
            await curio.sleep(seconds)
            assert a.checks.running
            assert len(e.probes) == 2
            await goes_on.set()
            await async_until(lambda: not a.checks.running)
            assert not a.paths.is_failed(e.address)
            assert await async_many(a, e, 1) == ["whole direct"]

    run(async_main)


async def async_stall(host: TunnelHost, to: Destination) -> None:
    """Report a response of which no more came, as an attempt does."""
    connected = await host.connector.async_acquire(to, 0.5)
    client = connected.client
    await client.async_request("POST", "/tiles", [], b"{}", 1.0)
    await client.async_head(0.4)
    report = PathReport(host.connector, to, connected)
    await report.async_head(True)
    with pytest.raises(IncompleteResponseError):
        while await client.async_data(0.2) is not None:
            pass
    await report.async_end()
    await client.async_close()


async def _async_stall(sock: Any) -> None:
    await sock.sendall(WITH_LENGTH[:-1])
    await sock.recv(1)


def test_response_given_up_for_silence_does_not_fail_a_path_that_works():
    """Requests went through another host for long as one stream had fallen silent."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_stall) as e:
            await async_stall(a, e.destination())
            assert a.checks.running
            await async_until(lambda: not a.checks.running)
            assert len(e.probes) == 1
            assert not a.paths.is_failed(e.address)

    run(async_main)


def test_response_given_up_for_silence_shows_a_path_that_fell_silent():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_stall) as e:
            asking = await curio.spawn(async_stall, a, e.destination())
            await async_until(lambda: e.requests)
            a.connections.mode = SILENT_REQUEST
            await asking.join()
            await async_until(lambda: not a.checks.running)
            assert a.paths.fault(e.address) is PathFault.LOST

    run(async_main)
