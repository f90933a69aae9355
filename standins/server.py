"""Server shared by both stand-ins: HTTP, fault injection, records and shutdown."""

import json
import signal
import socket as system_socket
import time
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import curio
import h11
from curio.io import Socket

from standins.announcer import Announcer
from standins.faults import Faults
from standins.options import Options, parse_address
from standins.responses import digest

READ_BYTES = 65536
LINGER_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class ConnectionLostError(Exception):
    """Raised when the peer disconnects or a fault breaks the connection."""


class Request(NamedTuple):
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class Connection:
    """One HTTP connection, with one request at a time."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._http = h11.Connection(h11.SERVER)

    async def async_read(self) -> Request | None:
        """Return the next request, None when the peer has closed the connection."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        head, body = None, []
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._sock.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {k.decode(): v.decode() for k, v in head.headers}
                method, target = head.method.decode(), head.target.decode()
                return Request(method, target, headers, b"".join(body))
            else:
                return None

    async def async_send(self, *events: h11.Event) -> None:
        """Send parts of a response in one write."""
        data = b"".join(self._http.send(event) or b"" for event in events)
        try:
            await self._sock.sendall(data)
        except OSError as err:
            raise ConnectionLostError from err

    async def async_respond(
        self, status: int, document: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response; document is a JSON value or encoded JSON."""
        body = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        if status == 204:
            body = b""
        fields = {"Content-Type": "application/json", **(headers or {})}
        if status != 204:
            fields["Content-Length"] = str(len(body))
        await self.async_send(
            h11.Response(status_code=status, headers=list(fields.items())),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    async def async_wait_closed(self) -> None:
        """Wait until the peer closes, as a client that waits for a response may do."""
        while await self._sock.recv(READ_BYTES):
            pass

    def reset(self) -> None:
        """Close the connection with a TCP reset; raise ConnectionLostError."""
        self._sock.setsockopt(
            system_socket.SOL_SOCKET, system_socket.SO_LINGER, LINGER_RESET
        )
        raise ConnectionLostError

    def is_reusable(self) -> bool:
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE


class Recorder:
    """Appends a JSON line per event to the record file.

    Each line is flushed, so that tests can count events also after SIGKILL.
    """

    def __init__(self, options: Options) -> None:
        self._file = options.record.open("a") if options.record else None
        self._upstream = {"upstream": options.name, "incarnation": options.incarnation}

    def add(self, kind: str, **fields: Any) -> None:
        if self._file is None:
            return
        line = {"kind": kind, **fields, **self._upstream, "time": time.time()}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def record_run(self, request: Request) -> None:
        """Record that a request begins to run."""
        self.add(
            "run",
            request_id=request.request_id,
            digest=digest(request.body),
            method=request.method,
            path=request.target,
        )


Handler = Callable[[Connection, Request, Faults], Awaitable[None]]


class Server:
    """Serves a handler and announces the stand-in until SIGTERM.

    running is the number of requests in progress; the handler updates it.
    """

    def __init__(self, options: Options, handler: Handler) -> None:
        self.options = options
        self.faults = Faults()
        self.recorder = Recorder(options)
        self.announcer = Announcer(
            options, self.faults, lambda: self.running, self._on_accepted
        )
        self._accepted = False
        self.running = 0
        self._handler = handler
        self._listener: Any = None
        self._accept_task: curio.Task | None = None

    def is_full(self) -> bool:
        return self.running >= self.options.limit

    def _on_accepted(self) -> None:
        if not self._accepted:
            self.recorder.add("accepted")
        self._accepted = True

    async def async_run(self) -> None:
        """Serve until SIGTERM, then announce leaving, finish requests and return."""
        reader, writer = system_socket.socketpair()
        signal.signal(signal.SIGTERM, lambda *_: writer.send(b"x"))
        await self._async_open()
        if self.options.control:
            listener = curio.tcp_server_socket(*parse_address(self.options.control))
            await curio.spawn(self._async_accept, listener, daemon=True)
        await curio.spawn(self.announcer.async_run, daemon=True)
        await Socket(reader).recv(1)
        self.recorder.add("leaving")
        self.announcer.leaving = True
        await self.announcer.announce_now.set()
        earliest = time.monotonic() + self.options.leave_s
        while self.running or time.monotonic() < earliest:
            await curio.sleep(0.05)
        self.recorder.add("left")

    async def _async_open(self) -> None:
        address = parse_address(self.options.listen)
        self._listener = curio.tcp_server_socket(*address, backlog=1024)
        self._accept_task = await curio.spawn(
            self._async_accept, self._listener, daemon=True
        )

    async def _async_close(self) -> None:
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None
            await self._listener.close()

    async def _async_accept(self, listener: Any) -> None:
        while True:
            sock, _ = await listener.accept()
            sock.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
            await curio.spawn(self._async_serve, sock, daemon=True)

    async def _async_serve(self, sock: Any) -> None:
        connection = Connection(sock)
        async with sock:
            try:
                while (request := await connection.async_read()) is not None:
                    await self._async_handle(connection, request)
                    if not connection.is_reusable():
                        return
            except (ConnectionLostError, OSError, h11.ProtocolError):
                return

    async def _async_handle(self, connection: Connection, request: Request) -> None:
        if request.target == "/v1/faults":
            await self._async_set_faults(connection, request)
        else:
            await self._handler(connection, request, self.faults)

    async def _async_set_faults(self, connection: Connection, request: Request) -> None:
        try:
            self.faults.set(json.loads(request.body or b"{}"))
        except ValueError as err:
            await connection.async_respond(400, {"error": str(err)})
            return
        if self.faults.refuse_connect:
            await self._async_close()
        elif self._accept_task is None:
            await self._async_open()
        await self.announcer.announce_now.set()
        await connection.async_respond(200, vars(self.faults))
