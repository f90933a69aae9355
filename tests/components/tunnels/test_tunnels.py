"""Requests that are sent to an upstream through another host."""

import struct
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest
from curio import socket

from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.links.frames import pack
from bitterntiller.components.paths.models import PathFault
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.server import Opened
from bitterntiller.core.interfaces import SentRequest
from bitterntiller.protocol import messages
from tests.components.links.builders import free_port
from tests.components.tunnels.builders import (
    CLOSE_DELIMITED,
    HANGS,
    REFUSES,
    WITH_LENGTH,
    async_ask,
    hosts,
    sending,
    upstream,
)

LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"x" * 3_000_000


def run(main: Callable[[], Awaitable[Any]]) -> Any:
    async def async_main() -> Any:
        async with curio.timeout_after(10.0):
            return await main()

    return curio.run(async_main)


async def async_until(condition: Callable[[], Any], seconds: float = 3.0) -> None:
    async with curio.timeout_after(seconds):
        while not condition():
            await curio.sleep(0.01)


@pytest.mark.parametrize("mode", [HANGS, REFUSES])
@pytest.mark.parametrize("data", [WITH_LENGTH, CLOSE_DELIMITED, LARGE])
def test_response_arrives_whole_through_another_host(mode, data):
    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(sending(data)) as e:
            a.connections.mode = mode
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            assert connected.relay == "b"
            status, body = await async_ask(connected.client)
            assert (status, body) == (200, data.partition(b"\r\n\r\n")[2])
            assert len(e.requests) == 1
            await a.connector.async_release(e.address, connected)
            await async_until(lambda: not b.server.carried and not e.open)

    run(async_main)


def test_working_path_is_used_directly():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(sending(WITH_LENGTH)) as e:
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            assert connected.relay == ""
            assert (await async_ask(connected.client))[0] == 200
            await connected.client.async_close()
            assert b.metrics.counts[const.METRIC_CARRIED] == 0

    run(async_main)


async def _async_reset(sock: Any) -> None:
    await sock.sendall(CLOSE_DELIMITED[:-3])
    await curio.sleep(0.1)
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def test_response_that_an_upstream_resets_is_incomplete():
    """A truncated response without a length passed for a complete one."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_reset) as e:
            a.connections.mode = REFUSES
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            with pytest.raises(IncompleteResponseError):
                await async_ask(connected.client)
            await connected.client.async_close()

    run(async_main)


def test_response_is_incomplete_if_the_host_between_ends():
    """The kernel of a killed host closes its connections in order."""

    async def async_slow(sock: Any) -> None:
        await sock.sendall(CLOSE_DELIMITED[:-3])
        await curio.sleep(5.0)

    async def async_main() -> None:
        async with hosts("a") as (a,), upstream(async_slow) as e:
            a.connections.mode = REFUSES
            async with hosts("b") as (b,):
                a.directory.hosts_by_name.update(b.directory.hosts_by_name)
                connected = await a.connector.async_acquire(e.destination(), 0.5)
                asking = await curio.spawn(async_ask, connected.client)
                await async_until(lambda: e.requests)
            with pytest.raises(curio.TaskError) as raised:
                await asking.join()
            assert isinstance(raised.value.__cause__, IncompleteResponseError)
            await connected.client.async_close()

    run(async_main)


def test_work_ends_at_the_upstream_when_the_sender_closes():
    """An upstream went on working for a caller that had left."""

    async def async_endless(sock: Any) -> None:
        await sock.recv(1)

    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(async_endless) as e:
            a.connections.mode = REFUSES
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            await connected.client.async_request("POST", "/", [], b"{}", 1.0)
            await async_until(lambda: e.requests)
            await connected.client.async_close()
            await async_until(lambda: not e.open and not b.server.carried, 0.5)

    run(async_main)


def test_connection_of_a_tunnel_to_its_upstream_has_no_user_timeout():
    """A response was lost because its upstream was silent for some seconds."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(sending(b"")) as e:
            request = messages.OpenTunnel(
                request_id="r", upstream="e1", address=e.address, connect_ms=300
            )
            opened = await b.server._async_connect(request)
            async with opened.sock:
                for level, option in (
                    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
                    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                ):
                    assert not opened.sock.getsockopt(level, option)

    run(async_main)


def test_stopping_host_ends_no_tunnel_and_opens_none():
    """A host that stopped cut requests that were sent through it."""
    go_on = curio.Event()

    async def async_answer(sock: Any) -> None:
        await go_on.wait()
        await sock.sendall(WITH_LENGTH)

    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, b, c), upstream(async_answer) as e:
            a.connections.mode = REFUSES
            first = await a.connector.async_acquire(e.destination(), 0.5)
            relay, other = (b, c) if first.relay == "b" else (c, b)
            asking = await curio.spawn(async_ask, first.client)
            await async_until(lambda: e.requests)
            relay.server.draining = True
            second = await a.connector.async_acquire(e.destination(), 0.5)
            assert second.relay == other.name
            await second.client.async_close()
            assert relay.server.carried == 1
            await go_on.set()
            assert (await asking.join())[0] == 200
            await first.client.async_close()

    run(async_main)


def test_host_that_the_owner_names_is_tried_first():
    async def async_main() -> None:
        names = tuple("abcdefgh")
        async with hosts(*names) as found, upstream(sending(b"")) as e:
            for host in found[:-1]:
                host.connections.mode = REFUSES
                host.server.draining = True
            destination = e.destination()._replace(relays=("h",))
            connected = await found[0].connector.async_acquire(destination, 0.5)
            assert connected.relay == "h"
            await connected.client.async_close()
            assert found[0].metrics.counts[const.METRIC_FAILED] == 0

    run(async_main)


def test_tunnel_that_opens_too_late_is_closed():
    """Tunnels that lost the race stayed open at the host between."""

    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, b, c), upstream(sending(b"")) as e:
            a.connections.mode = REFUSES
            a.paths.record_relay(e.address, "b", True, a.connector._clock.now())
            connect = b.server._async_connect

            async def async_slowly(request: Any) -> Any:
                await curio.sleep(0.25)
                return await connect(request)

            b.server._async_connect = async_slowly
            destination = e.destination()
            for _ in range(5):
                connected = await a.connector.async_acquire(destination, 0.5)
                assert connected.relay == "c"
                await connected.client.async_close()
            await async_until(lambda: not b.server.carried and not c.server.carried)
            await async_until(lambda: not e.open)

    run(async_main)


async def _async_keep(sock: Any) -> None:
    await sock.sendall(WITH_LENGTH)
    await sock.recv(1)


def test_tunnel_is_not_kept_for_another_request():
    """A direct connection was expected and a tunnel of another request was used."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_keep) as e:
            a.connections.mode = REFUSES
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            await async_ask(connected.client, close=False)
            await a.connector.async_release(e.address, connected)
            assert not a.connections.idle_by_address()

    run(async_main)


def test_idle_connection_from_before_a_silent_failure_is_not_used():
    """Requests were lost on kept connections that carried nothing any more."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(_async_keep) as e:
            opened = []
            for fault in (PathFault.REFUSED, PathFault.SILENT):
                connected = await a.connector.async_acquire(e.destination(), 0.5)
                await async_ask(connected.client, close=False)
                await a.connector.async_release(e.address, connected)
                now = a.connector._clock.now()
                a.paths.record_failed(f"other-{fault}:1", "e2", fault, now)
                connected = await a.connector.async_acquire(e.destination(), 0.5)
                await connected.client.async_close()
                opened.append(a.connections.opened)
            assert opened == [1, 3]

    run(async_main)


def test_connection_that_a_request_has_used_is_kept_for_others_only():
    """A request was sent again where a late copy of its response could follow."""

    async def async_main() -> None:
        async with hosts("a") as (a,), upstream(_async_keep) as e:
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            await async_ask(connected.client, close=False)
            used = connected.client.serial
            connected.client.record_request(e.destination().request_id)
            await a.connector.async_release(e.address, connected)
            second = await a.connector.async_acquire(e.destination(), 0.5)
            another = e.destination()._replace(request_id="another")
            other = await a.connector.async_acquire(another, 0.5)
            assert (second.client.serial != used, other.client.serial) == (True, used)
            for item in (second, other):
                await item.client.async_close()

    run(async_main)


def test_full_host_is_passed_over():
    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, b, c), upstream(sending(b"")) as e:
            a.connections.mode = REFUSES
            b.server._max_tunnels = 0
            for _ in range(3):
                connected = await a.connector.async_acquire(e.destination(), 0.5)
                assert connected.relay == "c"
                await connected.client.async_close()
            assert c.metrics.counts[const.METRIC_CARRIED] == 3

    run(async_main)


def test_hosts_that_are_all_cut_off_ask_each_other_a_bounded_number_of_times():
    """Hosts without a path asked each other in a loop."""

    async def async_main() -> None:
        names = ("a", "b", "c", "d", "e", "f")
        async with hosts(*names) as found, upstream(sending(WITH_LENGTH)) as e:
            for host in found:
                host.connections.mode = REFUSES
                host.paths.record_failed(e.address, "e1", PathFault.SILENT, 0.0)
            with pytest.raises(ConnectRefusedError):
                await found[0].connector.async_acquire(e.destination(), 0.5)
            rejected = sum(h.metrics.counts[const.METRIC_REJECTED] for h in found)
            assert 1 <= rejected <= const.MAX_RELAYS
            assert e.requests == []

    run(async_main)


def test_path_is_direct_again_within_two_seconds():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, _), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = HANGS
            connected = await a.connector.async_acquire(e.destination(), 0.2)
            assert connected.relay == "b"
            await connected.client.async_close()
            await async_until(lambda: a.paths.is_failed(e.address))
            a.connections.mode = ""
            await async_until(lambda: not a.paths.is_failed(e.address), 2.0)
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            assert connected.relay == ""
            await connected.client.async_close()

    run(async_main)


def test_upstream_that_no_host_reaches_is_refused_at_once():
    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, b, c):
            ended = f"127.0.0.1:{free_port()}"
            with pytest.raises(ConnectRefusedError):
                async with curio.timeout_after(0.5):
                    await a.connector.async_acquire(Destination("r", "e", ended), 0.5)
            assert b.paths.is_failed(ended)
            assert c.paths.is_failed(ended)

    run(async_main)


@pytest.mark.parametrize("fault", PathFault)
def test_host_without_others_goes_on_trying_its_failed_path(fault):
    """The only entry host refused requests for a second after an upstream was back."""

    async def async_main() -> None:
        async with hosts("a") as (a,), upstream(sending(WITH_LENGTH)) as e:
            a.paths.record_failed(e.address, "e1", fault, a.connector._clock.now())
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            assert connected.relay == ""
            await connected.client.async_close()

    run(async_main)


def test_host_between_tries_a_path_that_was_refused_before():
    """A stream was truncated, as the only other host trusted an outdated refusal."""

    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(sending(WITH_LENGTH)) as e:
            a.connections.mode = REFUSES
            b.paths.record_failed(e.address, "e1", PathFault.REFUSED, 0.0)
            connected = await a.connector.async_acquire(e.destination(), 0.5)
            assert connected.relay == "b"
            assert (await async_ask(connected.client))[0] == 200
            await connected.client.async_close()
            assert not b.paths.is_failed(e.address)

    run(async_main)


def sent(address: str) -> SentRequest:
    return SentRequest("r1", 1, "e1", "1", address)


async def async_refused(request: Any) -> Any:
    return Opened(const.STATUS_REFUSED, "refused")


def test_refusal_is_confirmed_only_if_no_other_host_is_connected():
    """Requests were taken for the crash of upstreams that one host didn't reach."""

    async def async_main() -> None:
        async with hosts("a", "b", "c") as (a, b, c), upstream(sending(b"")) as e:
            ended = f"127.0.0.1:{free_port()}"
            assert await a.connector.async_confirm_refusal(sent(ended))
            assert not await a.connector.async_confirm_refusal(sent(e.address))
            c.server._async_connect = async_refused
            assert not await a.connector.async_confirm_refusal(sent(e.address))
            b.paths.record_failed(e.address, "e1", PathFault.SILENT, 0.0)
            c.paths.record_failed(e.address, "e1", PathFault.SILENT, 0.0)
            b.server.draining = c.server.draining = True
            assert not await a.connector.async_confirm_refusal(sent(ended))

    run(async_main)


@pytest.mark.parametrize(
    ("answer", "replaced"),
    [
        (b"HTTP/1.1 204 No Content\r\nX-Name: e1\r\n\r\n", False),
        (b"HTTP/1.1 204 No Content\r\nX-Name: e2\r\n\r\n", True),
        (b"HTTP/1.1 502 Bad Gateway\r\n\r\n", False),
        (b"not a response\r\n\r\n", False),
        (b"", False),
    ],
)
def test_upstream_is_replaced_if_another_process_names_itself(answer, replaced):
    """A process that was back at once was taken for the one that had ended."""

    async def async_main() -> None:
        async with hosts("a") as (a,), upstream(sending(b""), sending(answer)) as e:
            assert await a.connector.async_is_replaced(sent(e.address)) is replaced
            assert not e.requests

    run(async_main)


def test_upstream_that_refuses_connections_is_not_replaced():
    async def async_main() -> None:
        async with hosts("a") as (a,):
            ended = f"127.0.0.1:{free_port()}"
            assert not await a.connector.async_is_replaced(sent(ended))
            assert not a.paths.is_failed(ended)

    run(async_main)


def test_refusal_is_certain_without_other_hosts():
    async def async_main() -> None:
        async with hosts("a") as (a,):
            assert await a.connector.async_confirm_refusal(sent("127.0.0.1:1"))

    run(async_main)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x00\x00\x00\x05junk!",
        b"\xff\xff\xff\xff",
        pack(messages.Cancel(request_id="r", pool="p")),
    ],
)
def test_bad_first_message_of_a_tunnel_is_counted_and_closed(data):
    async def async_main() -> None:
        async with hosts("a", "b") as (a, b):
            sock = await a.links.async_open_stream(b.links.own.address, const.PURPOSE)
            async with sock:
                await sock.sendall(data)
                if not data:
                    await sock.shutdown(socket.SHUT_WR)
                async with curio.timeout_after(2.0):
                    try:
                        assert await sock.recv(100) == b""
                    except ConnectionResetError:
                        pass
            await async_until(lambda: b.metrics.counts[const.METRIC_REJECTED] == 1)
            assert not b.server.carried

    run(async_main)


@pytest.mark.parametrize("address", ["", "nowhere", "127.0.0.1:70000", "host:80"])
def test_tunnel_to_a_bad_address_is_rejected(address):
    async def async_main() -> None:
        async with hosts("a", "b") as (a, b), upstream(sending(b"")) as e:
            a.connections.mode = REFUSES
            destination = e.destination()._replace(address=address)
            with pytest.raises(ConnectRefusedError):
                await a.connector.async_acquire(destination, 0.5)
            assert b.metrics.counts[const.METRIC_REJECTED] == 1

    run(async_main)


def test_stream_of_unknown_purpose_is_rejected():
    async def async_main() -> None:
        async with hosts("a", "b") as (a, b):
            sock = await a.links.async_open_stream(b.links.own.address, "mail")
            async with sock:
                data = await sock.recv(1000)
                assert b"mail" in data

    run(async_main)
