"""HTTP/1.1 client for upstreams, with one exchange at a time per connection."""

import contextlib
import itertools
from typing import Any

import curio
import h11
from curio import socket

from bitterntiller.components.http import const
from bitterntiller.components.http.delivery import Delivery, DirectDelivery, Sending
from bitterntiller.components.http.errors import (
    ConnectRefusedError,
    IncompleteResponseError,
)
from bitterntiller.components.http.event_logging import log_end_during_request
from bitterntiller.components.http.head_checks import has_second_status_line
from bitterntiller.components.http.models import (
    Headers,
    HttpResponse,
    ResponseHead,
    header,
)
from bitterntiller.components.http.progress import (
    Progress,
    ReadLimits,
    SilenceWatch,
    async_expiry,
)
from bitterntiller.core.tcp import async_connect, enable_keepalive, is_quiet
from bitterntiller.core.timeouts import ignore_after, timeout_after
from bitterntiller.core.turns import Turns

CLOSED_EARLY = "the upstream closed the connection before its answer was whole"


class ClientExchange:
    """A connection that carries one exchange and is then closed or reused.

    With a new connection for each exchange, a late response to an earlier request can't
    be taken for the response to this one. Where connections are reused, the caller of
    async_head() compares the request id in the response, and no connection carries two
    requests with the same id.

    With allow_close_delimited, a response without content-length or chunked encoding is
    complete when the connection is closed in order, as HTTP defines it, and the
    upstream has received the whole request. Otherwise such a response is incomplete.
    delivery tells what the upstream has received, if the socket doesn't lead there.

    serial is the number of the connection in this process, and exchanges counts the
    requests that were sent on it. incarnation is that of the upstream, as it names it
    on this connection; None before it was asked.

    sent_bytes counts those of the current exchange. broke is set once its response was
    lost or truncated, malformed also if its bytes can't be a response; timed_out if the
    upstream was silent for longer than this end waits; overran if its response hadn't
    ended within the time or the bytes that it has.
    """

    _serials = itertools.count(1)

    def __init__(
        self,
        sock: Any,
        allow_close_delimited: bool = False,
        delivery: Delivery | None = None,
    ) -> None:
        self.serial = next(self._serials)
        self.exchanges = 0
        self._carried: set[int] = set()
        self.idle_since = 0.0
        self.reused = False
        self.incarnation: str | None = None
        self.sent_bytes = 0
        self.broke = False
        self.malformed = False
        self.timed_out = False
        self.overran = False
        self._allow_close_delimited = allow_close_delimited
        self._keep_alive: float | None = None
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self._method = ""
        self._close_delimited = False
        self._chunked = False
        self._buffered_event: Any = h11.NEED_DATA
        self._buffer_drained = False
        self._interim = 0
        self._turns = Turns()
        self._read_parts = 1
        self._read_bytes = 0
        self._read_timeout_task: curio.Task | None = None
        self._failure = ""
        self._progress = Progress()
        self._sender: curio.Task | None = None
        self._delivery = delivery or DirectDelivery(sock)
        self._sending = Sending(self._delivery, 0)

    @classmethod
    async def async_open(
        cls, address: str, timeout: float, allow_close_delimited: bool = False
    ) -> "ClientExchange":
        """Connect to IP:port; raise ConnectRefusedError if that fails."""
        ip, _, port = address.rpartition(":")
        try:
            sock = await async_connect(ip, int(port), timeout)
            enable_keepalive(sock, const.UPSTREAM_KEEPALIVE_SECONDS, user_timeout=False)
        except (OSError, ValueError, OverflowError) as error:
            raise ConnectRefusedError(f"{address}: {error!r}") from error
        return cls(sock, allow_close_delimited)

    @property
    def keep_alive(self) -> float | None:
        """The idle seconds after which the upstream closes, None if not stated."""
        return self._keep_alive

    @property
    def received_bytes(self) -> int:
        """The received bytes of the current exchange."""
        return self._progress.received

    async def async_prepare_reuse(self) -> bool:
        """Prepare for another exchange; return False if that is not possible.

        A connection can't be reused while its exchange is unfinished, or if bytes
        followed the response, since these belong to no request.
        """
        if self._read_timeout_task is not None:
            await self._read_timeout_task.cancel()
            self._read_timeout_task = None
        connection = self._h11
        done = connection.our_state is h11.DONE and connection.their_state is h11.DONE
        if self._sender is not None:
            # The response may be complete before a long request has been sent; the
            # upstream then still expects the rest of the request.
            done = done and self._sender.terminated
            await self._sender.cancel()
            self._sender = None
        if (
            not done
            or connection.trailing_data[0]
            or self._buffered_event is not h11.NEED_DATA
        ):
            return False
        connection.start_next_cycle()
        self._buffer_drained = False
        self._interim = 0
        self._progress = Progress()
        self.sent_bytes = 0
        self.reused = True
        return True

    def record_request(self, request_id: str) -> None:
        """Record that the connection carries a request."""
        self._carried.add(hash(request_id))

    def has_carried(self, request_id: str) -> bool:
        """Return whether the connection may have carried a request with this id.

        Only hashes of ids are kept, as callers choose how long an id is.
        """
        return hash(request_id) in self._carried

    def is_quiet(self) -> bool:
        """Return whether an idle connection has received nothing, not even its end."""
        return is_quiet(self._sock)

    async def async_close(self) -> None:
        """Close the connection; a cancellation is delivered afterwards."""
        async with curio.disable_cancellation():
            for task in (self._read_timeout_task, self._sender):
                if task is not None:
                    await task.cancel()
            await self._sock.close()

    async def async_start_read_timeout(
        self,
        timeout: float,
        watch: SilenceWatch | None = None,
        total: float | None = None,
        pause: float = 0.0,
    ) -> None:
        """Make reads fail if nothing arrives for timeout seconds, or after total ones.

        A task checks this, as a timer for each read would be a quarter of the cost of
        relaying. The time in which the reader pauses is added to total, up to pause
        seconds.
        """
        self._progress.begin_watch(watch)
        self._read_timeout_task = await curio.spawn(
            self._async_enforce_limits, ReadLimits(timeout, total, pause), daemon=True
        )

    def change_watch(self, watch: SilenceWatch) -> None:
        """Replace the watch; the time without progress begins anew."""
        self._progress.begin_watch(watch)

    def end_watch(self) -> None:
        """Stop reporting silences."""
        self._progress.watch = None

    async def _async_enforce_limits(self, limits: ReadLimits) -> None:
        expiry = await async_expiry(self._progress, limits)
        self.timed_out = expiry.idle
        if expiry.overran:
            self._fail_overrun(limits.total)
        else:
            self._failure = no_data_text(limits.idle)
        self._sending.failure = self._failure
        await self._async_shut_down()

    async def _async_shut_down(self) -> None:
        """Make the present read and all later ones fail."""
        with contextlib.suppress(OSError):
            await self._sock.shutdown(socket.SHUT_RDWR)

    def _fail_overrun(self, seconds: float) -> IncompleteResponseError:
        """Record and return the failure of a response that didn't end in time."""
        text = f"the response had not ended after {seconds:.3g} s"
        return self._fail_bound(f"{text}, {self.received_bytes} bytes")

    def _fail_bound(self, failure: str) -> IncompleteResponseError:
        """Record and return the failure of a response that exceeded a bound."""
        self.overran = True
        self._failure = failure
        return IncompleteResponseError(failure)

    async def async_progress(self) -> None:
        """Record that the body has brought what its reader can use.

        Raise IncompleteResponseError if that must be dropped.
        """
        await self._progress.async_progress()

    async def async_request(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        timeout: float,
        close: bool = True,
    ) -> None:
        """Send the request; raise IncompleteResponseError if it can't be sent.

        With close, ask the upstream to close the connection after its response.
        """
        self._method = method
        self._keep_alive = None
        self.exchanges += 1
        names = {name for name, _ in headers}
        lines = list(headers)
        if b"host" not in names:
            lines.insert(0, (b"host", b"upstream"))
        if body or close or method not in const.BODYLESS_METHODS:
            lines.append((b"content-length", str(len(body)).encode()))
        if close:
            lines.append((b"connection", b"close"))
        head = h11.Request(method=method, target=target, headers=lines)
        self._request = _without_body(head)
        data = self._h11.send(head)
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        self.sent_bytes = len(data)
        self._sending = Sending(self._delivery, len(data))
        if len(data) > const.SEND_AT_ONCE_BYTES:
            self._sender = await curio.spawn(self._async_send, data, daemon=True)
            return
        try:
            async with timeout_after(timeout):
                await self._sock.sendall(data)
        except (OSError, curio.TaskTimeout) as error:
            raise IncompleteResponseError(f"sending broke: {error!r}") from error
        self._sending.sent = len(data)

    async def _async_send(self, data: bytes) -> None:
        """Send a long request; a failure shows when the response is read."""
        sending = self._sending
        rest = memoryview(data)
        try:
            while rest:
                part = rest[: const.SEND_PART_BYTES]
                await self._sock.sendall(part)
                sending.sent += len(part)
                rest = rest[len(part) :]
        except OSError as error:
            self._failure = sending.failure = f"sending broke: {error!r}"
            with contextlib.suppress(OSError):
                await self._sock.shutdown(socket.SHUT_RD)

    async def async_head(
        self, timeout: float, watch: SilenceWatch | None = None
    ) -> ResponseHead:
        """Return the head of the final response; raise IncompleteResponseError.

        It must be whole within timeout seconds, whatever arrives before it.
        """
        self._progress.watch = watch
        event = await self._async_final_head(timeout, watch)
        if self.exchanges > 1 and has_second_status_line(event):
            self.broke = self.malformed = True
            raise IncompleteResponseError("a second status line in a head")
        await self._progress.async_progress()
        self._close_delimited = self._is_close_delimited(event)
        self._keep_alive = keep_alive_seconds(event.headers)
        self._chunked = header(event.headers, b"transfer-encoding") is not None
        reason = event.reason.decode("latin-1")
        return ResponseHead(event.status_code, list(event.headers), reason)

    async def _async_final_head(
        self, timeout: float, watch: SilenceWatch | None
    ) -> h11.Response:
        """Return the head of the final response; tell watch if it is awaited for long.

        The time until watch is told again doubles.
        """
        left = timeout
        pause = timeout if watch is None else watch.seconds
        while watch is not None and left > pause:
            async with ignore_after(pause):
                return await self._async_skip_interim()
            left -= pause
            pause *= 2
            await self._progress.async_begin_silence()
        async with ignore_after(left):
            return await self._async_skip_interim()
        if self._interim > 1 or self._h11.trailing_data[0]:
            raise self._fail_overrun(timeout)
        self.timed_out = True
        raise IncompleteResponseError(no_data_text(timeout))

    async def _async_skip_interim(self) -> h11.Response:
        """Return the head of the final response, after those that precede it."""
        while True:
            event = await self._async_next()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise IncompleteResponseError("the connection ended before the answer")
            self._interim += 1
            if self._interim > const.MAX_INTERIM_RESPONSES:
                self.broke = self.malformed = True
                most = const.MAX_INTERIM_RESPONSES
                raise IncompleteResponseError(f"more than {most} interim responses")

    async def async_data(self, timeout: float | None = None) -> bytes | None:
        """Return the next part of the body, None at its end.

        Raise IncompleteResponseError if the connection ends early, if no part is there
        after timeout seconds, or at the timeouts of async_start_read_timeout(). Parts
        that arrived together are joined.
        """
        self._progress.reading = True
        event = await self._async_event(timeout)
        if isinstance(event, h11.EndOfMessage):
            await self._async_check_complete()
            self._progress.reading = False
            return None
        self._progress.reading = False
        if not isinstance(event, h11.Data):
            raise IncompleteResponseError("the answer ended before its end marker")
        data = bytes(event.data)
        # Only the line end of a chunk is left, so h11 needn't be asked for more. A
        # response with content-length may have ended, which only h11 knows.
        if self._chunked and len(self._h11.trailing_data[0]) <= const.CHUNK_END_BYTES:
            self._buffer_drained = True
            return data
        return self._collect_buffered(data)

    async def async_body(self, timeout: float, limit: int) -> bytes:
        """Return the rest of the body.

        Raise IncompleteResponseError if it isn't whole within timeout seconds, or is
        longer than limit bytes.
        """
        parts: list[bytes] = []
        size = 0
        async with ignore_after(timeout):
            while (data := await self.async_data()) is not None:
                parts.append(data)
                size += len(data)
                if size > limit:
                    raise self._fail_bound(f"a response over {limit} bytes")
            return b"".join(parts)
        raise self._fail_overrun(timeout)

    async def async_skip_response(self) -> bool:
        """Skip a response to an earlier request; return False if that fails."""
        try:
            await self.async_body(const.SKIP_SECONDS, const.SKIP_BYTES)
        except IncompleteResponseError:
            return False
        rest = self._h11.trailing_data[0]
        if self._close_delimited:
            return False
        request = self._request
        self._h11 = h11.Connection(h11.CLIENT)
        # The request was already sent; this only sets the state of the new parser.
        self._h11.send(request)
        self._h11.send(h11.EndOfMessage())
        self._buffer_drained = False
        if rest:
            self._h11.receive_data(rest)
        return True

    def _collect_buffered(self, data: bytes) -> bytes:
        parts = [data]
        while len(parts) < const.PARTS_AT_ONCE:
            event = self._next_buffered_event()
            if not isinstance(event, h11.Data):
                self._buffered_event = event
                break
            parts.append(bytes(event.data))
        self._read_parts = len(parts)
        return b"".join(parts)

    def _is_close_delimited(self, response: h11.Response) -> bool:
        if self._method == "HEAD" or response.status_code in const.BODYLESS_STATUSES:
            return False
        names = {name for name, _ in response.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))

    async def _async_check_complete(self) -> None:
        """Raise IncompleteResponseError for a close-delimited response that may be cut.

        The kernel of a peer that dies during such a response closes its socket in
        order, so that a part would be taken for the complete response. So does that of
        one that closes while a request arrives, and the reset that follows is not seen
        by reads. An upstream that has ended its response goes on to take the request.
        """
        if not self._close_delimited:
            return
        if not self._allow_close_delimited:
            self.broke = True
            raise IncompleteResponseError("the answer has no end marker of its own")
        self._progress.awaiting = True
        try:
            undelivered = await self._sending.async_undelivered()
            if undelivered:
                log_end_during_request(self.serial, self.sent_bytes, undelivered)
            await self._sending.async_delivered()
        except OSError as error:
            if self._failure:
                raise IncompleteResponseError(self._failure) from error
            self.broke = True
            text = f"the answer may be cut, the request was not received: {error!r}"
            raise IncompleteResponseError(text) from error
        self._progress.awaiting = False

    def _next_buffered_event(self) -> Any:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            # Raised by the next read, after the parts that precede the error.
            return error

    async def _async_event(self, timeout: float | None) -> Any:
        if timeout is None:
            return await self._async_next()
        async with ignore_after(timeout):
            return await self._async_next()
        self.timed_out = True
        raise IncompleteResponseError(no_data_text(timeout))

    async def _async_next(self) -> Any:
        # Before the read: a timeout may end the wait for a turn, and would drop data.
        await self._turns.async_count(self._read_bytes, self._read_parts)
        self._read_bytes, self._read_parts = 0, 1
        event = self._buffered_event
        self._buffered_event = h11.NEED_DATA
        closed = False
        try:
            while event is h11.NEED_DATA:
                if self.overran:
                    raise IncompleteResponseError(self._failure)
                if not self._buffer_drained:
                    event = self._next_buffered_event()
                if event is h11.NEED_DATA:
                    data = await self._async_receive()
                    self._buffer_drained = False
                    closed = not data
                    self._h11.receive_data(data)
        except OSError as error:
            if self._failure:
                # This end has shut the connection down; the upstream resets it then.
                raise IncompleteResponseError(self._failure) from error
            self.broke = True
            raise IncompleteResponseError(f"reading broke: {error!r}") from error
        if isinstance(event, h11.RemoteProtocolError):
            self.broke = True
            self.malformed = not closed
            text = CLOSED_EARLY if closed else str(event)
            raise IncompleteResponseError(text) from event
        return event

    async def _async_receive(self) -> bytes:
        """Return what has arrived; raise OSError or IncompleteResponseError."""
        self._progress.awaiting = True
        data = await self._sock.recv(const.READ_BYTES)
        self._progress.awaiting = False
        self._progress.idle_ticks = 0
        if self._failure and (not data or self.overran):
            raise IncompleteResponseError(self._failure)
        self._progress.received += len(data)
        self._read_bytes += len(data)
        return data


def no_data_text(seconds: float) -> str:
    """Return the text of an error for an upstream that was silent for some time."""
    return f"the upstream sent nothing for {seconds:.3g} s"


def _without_body(request: h11.Request) -> h11.Request:
    """Return the request without its body framing, which its response ignores."""
    framing = (b"content-length", b"transfer-encoding")
    headers = [item for item in request.headers if item[0] not in framing]
    return h11.Request(method=request.method, target=request.target, headers=headers)


def keep_alive_seconds(headers: Headers) -> float | None:
    """Return the timeout of a Keep-Alive header in seconds, None without one."""
    value = header(headers, b"keep-alive") or ""
    for part in value.split(","):
        name, _, text = part.partition("=")
        text = text.strip()
        if name.strip().lower() != "timeout":
            continue
        if text.isascii() and text.isdigit():
            return float(text)
    return None


async def async_fetch(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout: float,
) -> HttpResponse:
    """Return a complete response.

    Raise ConnectRefusedError or IncompleteResponseError.
    """
    exchange = await ClientExchange.async_open(address, timeout)
    return await async_fetch_on(exchange, method, target, headers, body, timeout)


async def async_fetch_on(
    exchange: ClientExchange,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout: float,
    limit: int = const.MAX_FETCH_BYTES,
) -> HttpResponse:
    """Return a complete response on a connection, which is closed afterwards.

    Raise IncompleteResponseError, also if its body is longer than limit bytes.
    """
    try:
        await exchange.async_request(method, target, headers, body, timeout)
        head = await exchange.async_head(timeout)
        body = await exchange.async_body(timeout, limit)
        return HttpResponse(head.status, head.headers, body)
    finally:
        await exchange.async_close()
