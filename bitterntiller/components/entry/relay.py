"""Relay the response of an upstream to the caller.

A response reaches the caller complete, or truncated by a reset of the connection, which
the caller can detect.
"""

import copy

import curio

from bitterntiller.components.config.models import RouteKind
from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.event_logging import log_move
from bitterntiller.components.entry.models import (
    ActiveRequest,
    Cut,
    CutBy,
    Phase,
    RelayResult,
    Retry,
)
from bitterntiller.components.entry.relay_headers import (
    EVENT_STREAM,
    is_event_stream,
)
from bitterntiller.components.entry.run import TAKEN_OVER, Run, RunWatch
from bitterntiller.components.entry.sse import (
    BrokenStreamError,
    Events,
    EventStream,
)
from bitterntiller.components.entry.upstream_calls import (
    STATUS_OK,
    async_open_resume,
)
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import IncompleteResponseError
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import ResponseHead
from bitterntiller.components.http.progress import SilenceWatch

LOST_RESPONSE = "lost-answer"
STANDBY_RESUMED = "the silent upstream has gone on"
NO_STREAM = "the response does not go on with the stream"
ENDED_WITHIN_EVENT = "the response ended before the end of the stream"


class Relay:
    """Relays one response to its caller."""

    def __init__(
        self,
        exchange: Exchange,
        active: ActiveRequest,
        context: Context,
        run: Run | None = None,
        response_watch: SilenceWatch | None = None,
    ) -> None:
        """Set up; response_watch is told that no response begins, or isn't whole."""
        self._exchange = exchange
        self._active = active
        self._context = context
        self._timings = context.timings
        self._run = run
        self._response_watch = response_watch
        self._event_watch: SilenceWatch | None = None
        self._idle = self._idle_timeout()
        method = active.prepared.identified.received.head.method
        self._bodyless = method == "HEAD"
        self._output_since: float | None = None
        self._broken_by = ""

    async def async_run(
        self, client: ClientExchange, head: ResponseHead
    ) -> RelayResult | Retry:
        """Relay a response whose head was received.

        The caller of this method closes client. Return a Retry if the response broke
        off and another upstream can serve the request.
        """
        streams = is_event_stream(head) and head.status == STATUS_OK
        if self._active.route is not None and not streams:
            if self._exchange.started:
                self._broken_by = NO_STREAM
                return self._lost()
            return await self._async_relay_buffered(client, head)
        self._event_watch = self._watch()
        await client.async_start_read_timeout(
            self._idle, self._first_watch(), self._left(), self._timings.caller_write
        )
        first = await self._async_take_over(client) if self._has_standby() else b""
        if first is None:
            return self._lost()
        if not self._exchange.started:
            headers = self._context.dialect.response_headers(self._active, head)
            await self._exchange.async_start(head.status, headers)
        if streams and not self._bodyless:
            whole = await self._async_relay_stream(client, first)
        else:
            whole = await self._async_relay_body(client)
        if not whole and (self._may_move() or self._set_aside()):
            return self._lost()
        client.end_watch()
        await self._async_end(whole)
        return RelayResult(whole, head.status)

    def _lost(self) -> Retry:
        return Retry(
            self._active.upstream, LOST_RESPONSE, ran=True, detail=self._broken_by
        )

    async def _async_end(self, whole: bool) -> None:
        if whole:
            await self._async_go_on()
            await self._exchange.async_finish()
            return
        # Without an end marker and with a reset, the caller can't mistake the
        # truncated response for a complete one.
        self._active.cut = Cut(CutBy.UPSTREAM, LOST_RESPONSE, self._broken_by)
        await self._exchange.async_cut()

    def _idle_timeout(self) -> float:
        """Return the seconds without data after which a response counts as broken.

        A routed response may still be whole before its deadline.
        """
        idle = self._context.timings.upstream_idle
        if self._active.route is None:
            return idle
        return max(idle, self._seconds_to_deadline())

    def _left(self) -> float:
        """Return the seconds within which the response must be whole."""
        return max(0.0, self._seconds_to_deadline()) + const.RESPONSE_GRACE

    def _seconds_to_deadline(self) -> float:
        identified = self._active.prepared.identified
        return identified.seconds_left(self._context.clock.now())

    def _watch(self) -> SilenceWatch | None:
        """Return what is told that the upstream is silent, None if nothing is."""
        route = self._active.route
        if self._run is None or route is None or not route.target_output_interval:
            return None
        seconds = max(const.MIN_STREAM_SILENCE, 2 * route.target_output_interval)
        return RunWatch(self._run, seconds)

    def _first_watch(self) -> SilenceWatch | None:
        """Return the watch until the first event, for which a prompt is prefilled."""
        watch, whole = self._event_watch, self._response_watch
        if watch is None or whole is None:
            return watch
        return max(watch, whole, key=lambda item: item.seconds)

    def _may_move(self) -> bool:
        return self._active.stream is not None and self._active.movable

    def _has_standby(self) -> bool:
        return self._active.standby is not None and not self._set_aside()

    async def _async_go_on(self) -> None:
        """Record that the run sends to its caller, also if only an end has arrived."""
        if self._run is not None:
            await self._run.async_end_silence()

    async def _async_take_over(self, client: ClientExchange) -> bytes | None:
        """End the silent run on standby once this response goes on with its stream.

        Return the data from its first event on, or None if it doesn't go on, or the
        silent run has. Comments ahead of that event are dropped: they have no bound.
        """
        stream = copy.copy(self._active.stream) or EventStream(ends_with_response=True)
        if self._active.stream is not None:
            stream.begin_resume()
        try:
            while (data := await client.async_data()) is not None:
                events = stream.feed(data)
                if not events.count:
                    continue
                received = events.data + stream.incomplete
                return received if await self._async_supersede() else None
        except (IncompleteResponseError, BrokenStreamError) as error:
            self._broken_by = error.text
            return None
        self._broken_by = ENDED_WITHIN_EVENT
        return None

    async def _async_supersede(self) -> bool:
        """End the run on standby, if any; return False if it has gone on."""
        standby = self._active.standby
        if standby is None or standby is self._run:
            return True
        if not await standby.async_supersede():
            self._broken_by = STANDBY_RESUMED
            return False
        self._active.standby = None
        log_move(self._active, standby.grant.upstream)
        return True

    def _begin_event_watch(self, client: ClientExchange) -> None:
        """Watch the pauses between events, from the first one on."""
        if self._event_watch is not None:
            client.change_watch(self._event_watch)
            self._event_watch = None

    def _check_current(self) -> None:
        """Raise IncompleteResponseError if another run has taken the request over."""
        if self._run is not None and self._run.superseded:
            raise IncompleteResponseError(TAKEN_OVER)

    def _set_aside(self) -> bool:
        """Return whether another run decides how the response ends."""
        return self._run is not None and self._run.set_aside

    async def _async_relay_buffered(
        self, client: ClientExchange, head: ResponseHead
    ) -> RelayResult | Retry:
        """Relay a response once it is complete, so that a broken one can be retried.

        A response over BUFFERED_BYTES is relayed as it arrives.
        """
        await client.async_start_read_timeout(
            self._idle, self._response_watch, self._left(), self._timings.caller_write
        )
        parts: list[bytes] = []
        size = 0
        try:
            while (data := await client.async_data()) is not None:
                parts.append(data)
                size += len(data)
                if size > const.BUFFERED_BYTES:
                    return await self._async_relay_oversized(client, head, parts)
        except IncompleteResponseError as error:
            self._broken_by = error.text
            return self._lost()
        # Writing to a caller that reads slowly must not count as silence.
        client.end_watch()
        if not await self._async_supersede():
            return self._lost()
        await self._async_go_on()
        self._record_first_byte()
        headers = self._context.dialect.response_headers(self._active, head)
        headers = [item for item in headers if item[0] != b"content-length"]
        await self._exchange.async_respond(head.status, headers, b"".join(parts))
        return RelayResult(True, head.status)

    async def _async_relay_oversized(
        self, client: ClientExchange, head: ResponseHead, parts: list[bytes]
    ) -> RelayResult | Retry:
        client.end_watch()
        if not await self._async_supersede():
            return self._lost()
        await self._async_go_on()
        headers = self._context.dialect.response_headers(self._active, head)
        await self._exchange.async_start(head.status, headers)
        self._record_first_byte()
        await self._exchange.async_send(b"".join(parts))
        whole = await self._async_relay_body(client)
        await self._async_end(whole)
        return RelayResult(whole, head.status)

    def _record_first_byte(self) -> None:
        if self._active.first_byte_at is None:
            self._active.first_byte_at = self._context.clock.now()

    async def _async_record_begun(self, events: Events) -> None:
        """Bind a routed stream to the version of its upstream at its first event.

        It is recorded before the caller gets the event, and not waited for: a stream
        that nobody remembers isn't taken up.
        """
        active = self._active
        if active.route is None or active.begun or not events.count:
            return
        active.mark_begun()
        streams = self._context.stream_versions
        if streams is not None and active.route.kind is RouteKind.RESUMABLE:
            await streams.async_record(
                active.route, active.stream_id, active.pool, active.granted_version
            )

    async def _async_record_sound_parts(self) -> None:
        """Record that the parts of a prompt are sound, once its output has lasted."""
        active, crashes = self._active, self._context.crashes
        if active.parts_sound or crashes is None:
            return
        now = self._context.clock.now()
        if self._output_since is None:
            self._output_since = now
        if now - self._output_since >= const.SOUND_OUTPUT_SECONDS:
            active.parts_sound = True
            await crashes.async_record_success(*active.part_fingerprints)

    async def _async_relay_body(self, client: ClientExchange) -> bool:
        try:
            while True:
                data = await client.async_data()
                if data is None:
                    return True
                self._record_first_byte()
                await self._exchange.async_send(data)
        except IncompleteResponseError as error:
            self._broken_by = error.text
            return False

    async def _async_relay_stream(self, client: ClientExchange, first: bytes) -> bool:
        routed = self._active.route is not None
        stream = self._active.stream
        if stream is not None:
            # The upstream sends the incomplete last event again from its beginning.
            stream.begin_resume()
        else:
            stream = EventStream(ends_with_response=routed)
        if routed:
            self._active.stream = stream
        if await self._async_relay_events(client, stream, first):
            return True
        # A routed stream is resumed by a new attempt, at the upstream of its grant.
        return False if routed else await self._async_resume(stream)

    async def async_resume_from_start(self) -> RelayResult | None:
        """Resume a stream from its first event after its response head was lost.

        Return None, with nothing sent to the caller, if the upstream has no such
        stream.
        """
        client = await self._async_open_resume(0)
        if client is None:
            return None
        head = ResponseHead(STATUS_OK, [(b"content-type", EVENT_STREAM.encode())])
        self._active.phase = Phase.RELAYING
        try:
            return await self.async_run(client, head)
        finally:
            await client.async_close()

    async def _async_open_resume(self, last_id: int) -> ClientExchange | None:
        left = max(const.MIN_TIMEOUT, self._seconds_to_deadline())
        client = await async_open_resume(
            self._active,
            last_id,
            self._context.connector,
            min(left, self._context.timings.upstream_connect),
            min(left, self._idle),
        )
        if client is not None:
            self._context.metrics.count(const.METRIC_RESUMES)
        return client

    async def _async_resume(self, stream: EventStream) -> bool:
        for _ in range(const.RESUME_ATTEMPTS):
            if not stream.resumable or self._seconds_to_deadline() <= 0:
                break
            stream.begin_resume()
            client = await self._async_open_resume(stream.last_id)
            if client is None:
                await curio.sleep(const.RESUME_DELAY)
                continue
            await client.async_start_read_timeout(
                self._idle, total=self._left(), pause=self._timings.caller_write
            )
            try:
                if await self._async_relay_events(client, stream):
                    return True
            finally:
                await client.async_close()
        self._context.metrics.count(const.METRIC_RESUME_FAILED)
        return False

    async def _async_relay_events(
        self, client: ClientExchange, stream: EventStream, first: bytes = b""
    ) -> bool:
        """Relay complete events; return True once the end of the stream was relayed.

        first is data that was already read.
        """
        try:
            while not stream.ended:
                data = first or await client.async_data()
                first = b""
                if data is None:
                    self._broken_by = ENDED_WITHIN_EVENT
                    return stream.is_complete_at_eof()
                self._check_current()
                events = stream.feed(data)
                if events.count:
                    await client.async_progress()
                    self._begin_event_watch(client)
                    self._record_first_byte()
                    await self._async_record_begun(events)
                    self._active.output_tokens += events.count
                if events.data:
                    await self._exchange.async_send(events.data)
                    await self._async_record_sound_parts()
        except (IncompleteResponseError, BrokenStreamError) as error:
            self._broken_by = error.text
            return stream.ended
        finally:
            self._active.cached_tokens = stream.cached_tokens
        return True
