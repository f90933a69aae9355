"""Carry the tunnels of other hosts to upstreams."""

from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from bitterntiller.components.links.errors import HandshakeError
from bitterntiller.components.links.frames import pack, unpack
from bitterntiller.components.links.handshake import async_read_frame
from bitterntiller.components.links.models import Peer
from bitterntiller.components.paths.host_paths import HostPaths
from bitterntiller.components.paths.models import CarriedBytes, PathFault
from bitterntiller.components.tunnels import const
from bitterntiller.components.tunnels.checks import PathChecks
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.direct import DirectPaths
from bitterntiller.components.tunnels.stream import END, pack_count, pack_part
from bitterntiller.core import events
from bitterntiller.core.clock import Clock
from bitterntiller.core.interfaces import Metrics
from bitterntiller.core.tcp import (
    async_connect,
    is_closed_by_peer,
    is_reset,
    unacknowledged_bytes,
)
from bitterntiller.core.timeouts import ignore_after, timeout_after
from bitterntiller.core.turns import Turns
from bitterntiller.protocol import MalformedMessageError, messages


class Opened(NamedTuple):
    """The connection to an upstream, None with the status why there is none."""

    status: str
    text: str = ""
    sock: Any = None


class TunnelServer:
    """Connects the tunnels of other hosts to upstreams, directly only.

    A tunnel never leads through a further host, so tunnels can't form a loop. carried
    is the number of tunnels in progress; none is added while draining is set.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        paths: HostPaths,
        direct: DirectPaths,
        checks: PathChecks,
        max_tunnels: int = const.MAX_TUNNELS,
    ) -> None:
        self.carried = 0
        self.draining = False
        self._clock = clock
        self._metrics = metrics
        self._paths = paths
        self._direct = direct
        self._checks = checks
        self._max_tunnels = max_tunnels

    async def async_serve(self, sock: Any, peer: Peer) -> None:
        """Serve one tunnel until either end closes it."""
        request = await self._async_request(sock)
        if request is None:
            self._metrics.count(const.METRIC_REJECTED)
            return
        refusal = self._refusal(request)
        if refusal is not None:
            await self._async_reply(sock, peer, request, refusal)
            return
        self.carried += 1
        try:
            opened = await self._async_connect(request)
            try:
                if await self._async_reply(sock, peer, request, opened):
                    await self._async_carry(sock, opened.sock, peer, request)
            finally:
                if opened.sock is not None:
                    await opened.sock.close()
        finally:
            self.carried -= 1

    def describe(self) -> dict[str, object]:
        """Return the state of the server for the state dump."""
        return {"carried": self.carried, "draining": self.draining}

    async def _async_request(self, sock: Any) -> Any:
        """Return the messages.OpenTunnel of a peer, None if it sends something else."""
        try:
            async with timeout_after(const.REQUEST_TIMEOUT):
                request = unpack(await async_read_frame(sock)).message
        except (curio.TaskTimeout, OSError, HandshakeError, MalformedMessageError):
            return None
        return request if isinstance(request, messages.OpenTunnel) else None

    def _refusal(self, request: Any) -> Opened | None:
        if self.draining:
            return Opened(const.STATUS_STOPPING, "the host is stopping")
        if self.carried >= self._max_tunnels:
            text = f"the host carries {self.carried} tunnels"
            return Opened(const.STATUS_BUSY, text)
        # A path that was only refused is tried, as a refusal takes no time.
        if self._paths.leads_around(request.address):
            self._paths.record_use(request.address, self._clock.now())
            text = f"{request.address} is not reached from here"
            return Opened(const.STATUS_UNREACHABLE, text)
        return None

    async def _async_connect(self, request: Any) -> Opened:
        address = request.address
        ip, _, port = address.rpartition(":")
        began = self._clock.now()
        timeout = min(max(request.connect_ms, 1) / 1000, const.MAX_CONNECT_SECONDS)
        try:
            sock = await async_connect(ip, int(port), timeout)
        except (ValueError, OverflowError) as error:
            return Opened(const.STATUS_INVALID, f"{address}: {error!r}")
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
            fault = PathFault.REFUSED if refused else PathFault.SILENT
            self._direct.record_failed(_destination(request), fault, repr(error), began)
            status = const.STATUS_REFUSED if refused else const.STATUS_UNREACHABLE
            return Opened(status, f"{address}: {error!r}")
        return Opened(const.STATUS_OK, "", sock)

    async def _async_reply(
        self, sock: Any, peer: Peer, request: Any, opened: Opened
    ) -> bool:
        """Send the reply; return whether the tunnel is open."""
        is_open = opened.status == const.STATUS_OK
        self._metrics.count(const.METRIC_CARRIED if is_open else const.METRIC_REJECTED)
        events.emit(
            "tunnel-asked",
            request=request.request_id,
            entry_host=peer.host,
            upstream=request.upstream,
            address=request.address,
            status=opened.status,
            detail=opened.text,
            carried=self.carried,
        )
        reply = messages.OpenTunnelReply(status=opened.status, text=opened.text)
        try:
            await sock.sendall(pack(reply))
        except OSError:
            return False
        return is_open

    async def _async_carry(
        self, sock: Any, upstream: Any, peer: Peer, request: Any
    ) -> None:
        """Pass bytes on in both directions until one of them ends.

        After an upstream's orderly end, the bytes for it are passed on until the host
        that asked closes: it learns how many of them the upstream receives.
        """
        began = self._clock.now()
        counts = _Counts()
        destination = _destination(request)

        def record_answer() -> None:
            # Only the host that asked can tell whose bytes these are. They show a
            # connection, so they end a refusal and no other fault.
            if not self._paths.leads_around(destination.address):
                carried = CarriedBytes(counts.sent)
                self._direct.record_carried(destination, carried, counts.sent_at)

        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(
                _async_pass_to_upstream, sock, upstream, counts, self._clock
            )
            down = await group.spawn(
                _async_pass_to_host, upstream, sock, counts, record_answer
            )
        # A check that led to further checks would spread over all hosts.
        if counts.sent and not counts.received and not request.probe:
            needed = CarriedBytes(counts.sent)
            await self._checks.async_start(
                destination, PathFault.LOST, needed, counts.sent_at
            )
        events.emit(
            "tunnel-ended",
            request=request.request_id,
            entry_host=peer.host,
            upstream=request.upstream,
            by_upstream=counts.ended or group.completed is down,
            seconds=round(self._clock.now() - began, 4),
        )


class _Counts:
    """The bytes that a tunnel has carried to an upstream and from it.

    sent_at is when it carried the first ones to the upstream. passed counts those that
    the kernel has taken; ended is set after the upstream's orderly end.
    """

    def __init__(self) -> None:
        self.sent_at = 0.0
        self.sent = 0
        self.passed = 0
        self.received = 0
        self.ended = False


def _destination(request: Any) -> Destination:
    return Destination(
        request.request_id,
        request.upstream,
        request.address,
        pool=request.pool or "",
    )


async def _async_pass_to_upstream(
    sock: Any, upstream: Any, counts: _Counts, clock: Clock
) -> None:
    turns = Turns()
    try:
        while data := await sock.recv(const.READ_BYTES):
            if not counts.sent:
                counts.sent_at = clock.now()
            counts.sent += len(data)
            if not await _async_send(upstream, data, sock):
                return
            counts.passed += len(data)
            await turns.async_count(len(data))
    except OSError:
        return


async def _async_send(upstream: Any, data: bytes, sock: Any) -> bool:
    """Send bytes to an upstream; return False if the host that asked has closed.

    An upstream may read nothing for as long as it likes, and nobody reads the end of
    the tunnel meanwhile.
    """
    rest = memoryview(data)
    while rest:
        sent = len(rest)
        async with ignore_after(const.CLOSE_CHECK_SECONDS):
            try:
                await upstream.sendall(rest)
            except curio.TaskTimeout as error:
                sent = error.bytes_sent
                raise
        rest = rest[sent:]
        if rest and is_closed_by_peer(sock):
            return False
    return True


async def _async_pass_to_host(
    upstream: Any, sock: Any, counts: _Counts, record_answer: Callable[[], None]
) -> None:
    """Pass the upstream's bytes on, and their orderly end if there is one."""
    turns = Turns()
    try:
        while data := await upstream.recv(const.READ_BYTES):
            if not counts.received:
                record_answer()
            counts.received += len(data)
            await sock.sendall(pack_part(data))
            await turns.async_count(len(data))
        counts.ended = True
        await sock.sendall(END)
        await _async_report_received(upstream, sock, counts)
    except OSError:
        return


async def _async_report_received(upstream: Any, sock: Any, counts: _Counts) -> None:
    """Report how many bytes an upstream has received, until it can't receive more.

    Raise OSError if the host that asked has closed.
    """
    reported = None
    while True:
        received = max(0, counts.passed - unacknowledged_bytes(upstream))
        if is_reset(upstream):
            return
        if received != reported:
            reported = received
            await sock.sendall(pack_count(received))
        await curio.sleep(const.DELIVERY_CHECK_SECONDS)
