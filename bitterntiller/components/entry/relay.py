"""Sixth filter: passes the upstream's answer on, whole or visibly cut."""

import curio

from bitterntiller.components.entry import const
from bitterntiller.components.entry.context import Context
from bitterntiller.components.entry.models import ActiveRequest, Phase, Relayed
from bitterntiller.components.entry.sse import BrokenStreamError, EventStream
from bitterntiller.components.entry.upstream_calls import (
    STATUS_OK,
    async_open_resume,
)
from bitterntiller.components.http.client import ClientExchange
from bitterntiller.components.http.errors import BrokenAnswerError
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import Headers, ResponseHead, header
from bitterntiller.core.outcomes import Outcome

EVENT_STREAM = "text/event-stream"
FIRST_FAILED_STATUS = 400


def outcome_of(status: int) -> Outcome:
    """Return the outcome of a whole answer with this status."""
    return Outcome.FAILED if status >= FIRST_FAILED_STATUS else Outcome.DONE


def answer_headers(active: ActiveRequest, head: ResponseHead) -> Headers:
    """Return the headers for the caller.

    The outcome stands for an answer that arrives whole; a cut one has none.
    """
    dropped = (const.HOP_HEADERS - {b"content-length"}) | const.OWN_HEADERS
    dropped = dropped | {const.HEADER_ADMITTED} | _named_by_connection(head.headers)
    # A length beside chunks says nothing of the body, and one of a stream may
    # count bytes behind its end mark: kept, it would cut an answer that is whole.
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names or is_event_stream(head):
        dropped = dropped | {b"content-length"}
    kept = [item for item in head.headers if item[0] not in dropped]
    kept.append((const.HEADER_REQUEST_ID, active.upstream_request_id.encode()))
    kept.append((const.HEADER_OUTCOME, outcome_of(head.status).encode()))
    return kept


def is_event_stream(head: ResponseHead) -> bool:
    """Tell whether an answer is a stream of events."""
    content_type = header(head.headers, b"content-type") or ""
    return content_type.lower().startswith(EVENT_STREAM)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return the headers that Connection says are for one connection only."""
    value = header(headers, b"connection")
    if value is None:
        return frozenset()
    names = value.lower().encode("latin-1").split(b",")
    return frozenset(name.strip() for name in names) - {b"content-length"}


class Relay:
    """Passes one answer on."""

    def __init__(
        self, exchange: Exchange, active: ActiveRequest, context: Context
    ) -> None:
        self._exchange = exchange
        self._active = active
        self._context = context
        self._idle = context.timings.upstream_idle
        method = active.prepared.identified.received.head.method
        self._bodyless = method == "HEAD"

    async def async_run(self, client: ClientExchange, head: ResponseHead) -> Relayed:
        """Relay an answer whose head has come; client is closed by the caller."""
        await self._exchange.async_start(
            head.status, answer_headers(self._active, head)
        )
        await client.async_guard(self._idle)
        if is_event_stream(head) and head.status == STATUS_OK and not self._bodyless:
            whole = await self._async_events(client)
        else:
            whole = await self._async_body(client)
        if whole:
            await self._exchange.async_finish()
        else:
            # A cut that looked like an end would be a shorter answer taken for the
            # whole one; the missing end marker and the reset show it.
            self._context.metrics.count(const.METRIC_CUT)
            await self._exchange.async_cut()
        return Relayed(whole, head.status)

    def _note_first_byte(self) -> None:
        if self._active.first_byte_at is None:
            self._active.first_byte_at = self._context.clock.now()

    async def _async_body(self, client: ClientExchange) -> bool:
        try:
            while True:
                data = await client.async_data()
                if data is None:
                    return True
                self._note_first_byte()
                await self._exchange.async_send(data)
        except BrokenAnswerError:
            return False

    async def _async_events(self, client: ClientExchange) -> bool:
        stream = EventStream()
        if await self._async_follow(client, stream):
            return True
        return await self._async_resume(stream)

    async def async_from_start(self) -> Relayed | None:
        """Relay a stream by resume from its start, after its head was lost.

        None when the upstream has no such stream; nothing was sent to the caller.
        """
        client = await self._async_open(0)
        if client is None:
            return None
        head = ResponseHead(STATUS_OK, [(b"content-type", EVENT_STREAM.encode())])
        self._active.phase = Phase.RELAYING
        try:
            return await self.async_run(client, head)
        finally:
            await client.async_close()

    async def _async_open(self, last_id: int) -> ClientExchange | None:
        client = await async_open_resume(
            self._active,
            last_id,
            self._context.timings.upstream_connect,
            self._idle,
        )
        if client is not None:
            self._context.metrics.count(const.METRIC_RESUMES)
        return client

    async def _async_resume(self, stream: EventStream) -> bool:
        for _ in range(const.RESUME_ATTEMPTS):
            if not stream.resumable:
                break
            stream.await_next()
            client = await self._async_open(stream.last_id)
            if client is None:
                await curio.sleep(const.RESUME_DELAY)
                continue
            await client.async_guard(self._idle)
            try:
                if await self._async_follow(client, stream):
                    return True
            finally:
                await client.async_close()
        self._context.metrics.count(const.METRIC_RESUME_FAILED)
        return False

    async def _async_follow(self, client: ClientExchange, stream: EventStream) -> bool:
        """Relay whole events; True when the end mark has been passed on."""
        try:
            while not stream.ended:
                data = await client.async_data()
                if data is None:
                    return stream.ended
                events = stream.feed(data)
                if events.data:
                    self._note_first_byte()
                    self._active.output_tokens += events.count
                    await self._exchange.async_send(events.data)
        except (BrokenAnswerError, BrokenStreamError):
            return stream.ended
        finally:
            self._active.cached_tokens = stream.cached_tokens
        return True
