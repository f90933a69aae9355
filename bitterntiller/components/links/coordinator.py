"""Connections to all peers of this host, and the handlers of messages."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
from absl import logging

from bitterntiller.components.links import const, handshake
from bitterntiller.components.links.budget import LinkBudget
from bitterntiller.components.links.connection import Connection
from bitterntiller.components.links.errors import (
    HandshakeError,
    LinkFaultError,
    LinkTimeoutError,
    LinkUnreachableError,
)
from bitterntiller.components.links.frames import pack
from bitterntiller.components.links.models import Incoming, Peer
from bitterntiller.components.settings.models import Address, Limits
from bitterntiller.core.clock import Clock
from bitterntiller.core.errors import BrokenInvariantError
from bitterntiller.core.interfaces import MessageHandler, Metrics, StreamHandler
from bitterntiller.core.listener import Listener
from bitterntiller.core.runtime import Runtime
from bitterntiller.core.tcp import (
    async_connect,
    enable_keepalive,
    set_user_timeout,
)
from bitterntiller.core.timeouts import ignore_after
from bitterntiller.protocol import messages


class ConnectAttempt(NamedTuple):
    """A connection attempt; settled once it ended or the peer connected first."""

    task: curio.Task
    settled: curio.Event


class LinkCoordinator:
    """Sends and receives messages between this host and its peers.

    A message to this host's own address is passed to its handler without a socket.
    Messages without a reply are handled in order of arrival; each call is handled in
    its own task, so that a slow one does not delay others.
    """

    def __init__(
        self,
        own: Peer,
        listen: Address,
        key: bytes,
        clock: Clock,
        metrics: Metrics,
        limits: Limits | None = None,
    ) -> None:
        self.own = own
        self.budget = LinkBudget(limits or Limits())
        self._listen = listen
        self._key = key
        self._clock = clock
        self._metrics = metrics
        self._handlers_by_type: dict[type, MessageHandler] = {}
        self._incarnation_by_host: dict[str, str] = {}
        self._stream_handlers_by_purpose: dict[str, StreamHandler] = {}
        self._connections_by_address: dict[str, Connection] = {}
        self._attempts_by_address: dict[str, ConnectAttempt] = {}
        self._failed_at_by_address: dict[str, float] = {}
        self._running_by_connection: dict[Connection, curio.Task] = {}
        self._runtime: Runtime | None = None
        self._disconnect_listeners: list[Callable[[], Awaitable[None]]] = []

    def add_disconnect_listener(self, listener: Callable[[], Awaitable[None]]) -> None:
        """Register a callback that is awaited when a connection to a peer ends."""
        self._disconnect_listeners.append(listener)

    def handle(self, cls: type, handler: MessageHandler) -> Callable[[], None]:
        """Register the handler of a message type; return a function to remove it."""
        if cls in self._handlers_by_type:
            raise BrokenInvariantError(f"two handlers for {cls.__name__}")
        self._handlers_by_type[cls] = handler
        return lambda: self._handlers_by_type.pop(cls, None)

    async def async_send(self, address: str, message: Any) -> bool:
        """Send without a reply; return False if it was certainly not sent."""
        if address == self.own.address:
            await curio.spawn(self._async_handle, self.own.host, message, daemon=True)
            return True
        connection = await self._async_connection(address)
        if connection is None or not connection.send(message):
            return False
        await connection.async_flush_soon()
        return True

    async def async_call(self, address: str, message: Any, timeout: float) -> Any:
        """Send a message and return its reply; raise LinkError.

        The timeout includes opening the connection. The kernel of a suspended peer
        accepts connections, but the handshake gets no response and its own timeout is
        longer than most callers can wait.
        """
        if address == self.own.address:
            return await self._async_call_own(message, timeout)
        before = self._clock.now()
        connection = None
        async with ignore_after(timeout):
            connection = await self._async_connection(address)
        if connection is None:
            raise LinkUnreachableError(f"can't connect to {address}")
        left = timeout - (self._clock.now() - before)
        return await connection.async_call(message, max(0.0, left))

    async def _async_call_own(self, message: Any, timeout: float) -> Any:
        async with ignore_after(timeout):
            reply = await self._async_handle(self.own.host, message)
            if isinstance(reply, messages.Fault):
                raise LinkFaultError(reply.code, reply.text)
            return reply
        raise LinkTimeoutError(f"own handler took over {timeout} s")

    def handle_streams(
        self, purpose: str, handler: StreamHandler
    ) -> Callable[[], None]:
        """Register the handler of connections that carry no messages.

        It is awaited with the socket, which is closed afterwards, and the peer. Return
        a function to remove it.
        """
        if purpose in self._stream_handlers_by_purpose:
            raise BrokenInvariantError(f"two handlers of {purpose} connections")
        self._stream_handlers_by_purpose[purpose] = handler
        return lambda: self._stream_handlers_by_purpose.pop(purpose, None)

    async def async_open_stream(self, address: str, purpose: str) -> curio.io.Socket:
        """Return a new connection to a peer that carries no messages.

        Raise OSError, ValueError or HandshakeError.
        """
        sock, _ = await self._async_dial(address, self.own._replace(purpose=purpose))
        set_user_timeout(sock, const.STREAM_USER_TIMEOUT)
        return sock

    def connected(self) -> dict[str, str]:
        """Return the names of peers with an open connection, by address."""
        return {
            address: connection.peer.host
            for address, connection in self._connections_by_address.items()
            if connection.open
        }

    def incarnation(self, host: str) -> str:
        """Return which process of a host connected last, empty if none has."""
        return self._incarnation_by_host.get(host, "")

    async def async_serve(self, runtime: Runtime) -> None:
        """Accept connections from peers until cancelled."""
        self._runtime = runtime
        listener = Listener(self._listen.ip, self._listen.port, self._async_accept)
        await listener.async_serve(runtime)

    async def async_close(self) -> None:
        """Close all connections and end their calls."""
        for task in list(self._running_by_connection.values()):
            await task.cancel()
        for attempt in list(self._attempts_by_address.values()):
            await attempt.task.cancel()

    async def _async_accept(self, sock: curio.io.Socket) -> None:
        try:
            enable_keepalive(sock, const.KEEPALIVE_TIMEOUT)
            peer = await handshake.async_accept(sock, self._key, self.own)
        except OSError:
            return
        except HandshakeError as error:
            self._metrics.count(const.METRIC_WRONG_KEY)
            await _async_send_fault(sock, const.FAULT_UNAUTHORIZED, error.text)
            return
        if peer.purpose:
            await self._async_serve_stream(sock, peer)
            return
        connection = self._make_connection(sock, peer)
        await self._async_store(peer.address, connection)
        await self._async_run(connection)

    async def _async_serve_stream(self, sock: curio.io.Socket, peer: Peer) -> None:
        handler = self._stream_handlers_by_purpose.get(peer.purpose)
        if handler is None:
            self._metrics.count(const.METRIC_MALFORMED)
            text = f"no handler of {peer.purpose!r} connections"
            await _async_send_fault(sock, const.FAULT_NO_HANDLER, text)
            return
        set_user_timeout(sock, const.STREAM_USER_TIMEOUT)
        await handler(sock, peer)

    async def _async_store(self, address: str, connection: Connection) -> None:
        """Use the connection for sending, unless an open one exists.

        Replacing an open connection could let a later message overtake an earlier one.
        A connection to an earlier run of the peer is replaced, since that process has
        ended and receives nothing.
        """
        peer = connection.peer
        self._incarnation_by_host[peer.host] = peer.incarnation
        present = self._connections_by_address.get(address)
        if (
            present is None
            or not present.open
            or present.peer.incarnation != peer.incarnation
        ):
            self._connections_by_address[address] = connection
        attempt = self._attempts_by_address.get(address)
        if attempt is not None:
            await attempt.settled.set()

    async def _async_run(self, connection: Connection) -> None:
        self.budget.connections += 1
        try:
            await connection.async_run()
        finally:
            self.budget.connections -= 1
            address = connection.peer.address
            self._running_by_connection.pop(connection, None)
            if self._connections_by_address.get(address) is connection:
                del self._connections_by_address[address]
        for listener in self._disconnect_listeners:
            await listener()

    async def _async_connection(self, address: str) -> Connection | None:
        connection = self._connections_by_address.get(address)
        if connection is not None and connection.open:
            return connection
        failed_at = self._failed_at_by_address.get(address)
        # Without this delay each message to a failed host would wait for a connection
        # attempt of its own.
        if (
            failed_at is not None
            and self._clock.now() - failed_at < const.RECONNECT_DELAY
        ):
            return None
        attempt = self._attempts_by_address.get(address)
        if attempt is None:
            settled = curio.Event()
            task = await curio.spawn(self._async_connect, address, settled, daemon=True)
            attempt = self._attempts_by_address[address] = ConnectAttempt(task, settled)
        # A peer that has just started may connect first, while the attempt from here
        # still waits for a port that was not open yet.
        await attempt.settled.wait()
        connection = self._connections_by_address.get(address)
        return connection if connection is not None and connection.open else None

    async def _async_connect(self, address: str, settled: curio.Event) -> None:
        try:
            connection = await self._async_open(address)
            await self._async_store(address, connection)
        except (OSError, ValueError, HandshakeError):
            self._failed_at_by_address[address] = self._clock.now()
            return
        finally:
            self._attempts_by_address.pop(address, None)
            await settled.set()
        self._failed_at_by_address.pop(address, None)
        task = await curio.spawn(self._async_run, connection, daemon=True)
        self._running_by_connection[connection] = task

    async def _async_open(self, address: str) -> Connection:
        sock, peer = await self._async_dial(address, self.own)
        return self._make_connection(sock, peer)

    def _make_connection(self, sock: curio.io.Socket, peer: Peer) -> Connection:
        return Connection(sock, peer, self._async_incoming, self._metrics, self.budget)

    async def _async_dial(
        self, address: str, own: Peer
    ) -> tuple[curio.io.Socket, Peer]:
        ip, _, port = address.rpartition(":")
        sock = await async_connect(ip, int(port), const.CONNECT_TIMEOUT)
        try:
            enable_keepalive(sock, const.KEEPALIVE_TIMEOUT)
            peer = await handshake.async_connect(sock, self._key, own, address)
        except BaseException:
            # Failed handshakes would otherwise leak sockets until no file descriptor
            # is left.
            await sock.close()
            raise
        return sock, peer

    async def _async_incoming(self, connection: Connection, incoming: Incoming) -> None:
        if not incoming.call:
            await self._async_handle(connection.peer.host, incoming.message)
            return
        is_full = connection.calls_running >= const.MAX_CALLS_PER_CONNECTION
        if is_full or not self.budget.may_call(incoming.size):
            self._metrics.count(const.METRIC_BUSY)
            fault = messages.Fault(code=const.FAULT_BUSY, text="too many calls")
            connection.send(fault, incoming.call, reply=True)
            await connection.async_flush_soon()
            return
        connection.calls_running += 1
        self.budget.calls_bytes += incoming.size
        await curio.spawn(self._async_answer, connection, incoming, daemon=True)

    async def _async_answer(self, connection: Connection, incoming: Incoming) -> None:
        try:
            reply = await self._async_handle(connection.peer.host, incoming.message)
            if reply is not None:
                connection.send(reply, incoming.call, reply=True)
                await connection.async_flush_soon()
        finally:
            connection.calls_running -= 1
            self.budget.calls_bytes -= incoming.size

    async def _async_handle(self, host: str, message: Any) -> Any:
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            text = f"no handler of {type(message).__name__}"
            return messages.Fault(code=const.FAULT_NO_HANDLER, text=text)
        try:
            return await handler(host, message)
        except BrokenInvariantError as error:
            # Raising alone would end only the task of this message, and the process
            # would continue with an inconsistent state.
            if self._runtime is not None:
                await self._runtime.async_fail(error)
            raise
        except Exception as error:
            # One failing message must not stop the handling of others.
            self._metrics.count(const.METRIC_HANDLER_ERROR)
            logging.exception("handler for %s failed", type(message).__name__)
            return messages.Fault(code=const.FAULT_INTERNAL, text=repr(error))


async def _async_send_fault(sock: curio.io.Socket, code: int, text: str) -> None:
    try:
        await sock.sendall(pack(messages.Fault(code=code, text=text)))
    except OSError:
        return
