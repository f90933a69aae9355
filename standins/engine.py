"""Stand-in for a model engine: `python -m standins.engine`; see docs/UPSTREAMS.md."""

import json
import os
import random
import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Annotated

import cappa
import curio
import h11

from standins.faults import Faults
from standins.generation import BYTES_PER_TOKEN, Generation
from standins.options import Options
from standins.orders import OrderExecutor
from standins.prefix_cache import PrefixCache
from standins.server import Connection, Request, Server

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
REQUESTS_PATH = "/v1/requests/"
EXIT_CRASHED = 70


@dataclass(kw_only=True)
class EngineOptions(Options):
    """Options of an engine."""

    token_ms: Annotated[float, cappa.Arg(long=True)] = 5.0
    prefill_us: Annotated[float, cappa.Arg(long=True)] = 20.0
    """Prefill time in microseconds for each prompt token that is not cached."""
    cache_prefixes: Annotated[int, cappa.Arg(long=True)] = 1000
    keep_s: Annotated[float, cappa.Arg(long=True)] = 30.0
    """Seconds for which a finished generation can be resumed."""
    crash_mark: Annotated[str, cappa.Arg(long=True)] = ""
    """The process exits when it begins a request whose prompt contains this text."""


class Engine:
    """Generates tokens for requests in a bounded number of slots."""

    def __init__(self, options: EngineOptions) -> None:
        self.server = Server(options, self.async_handle)
        self._options = options
        self._slots = curio.Semaphore(options.slots)
        self._orders = OrderExecutor(self.server)
        self._generations_by_id: OrderedDict[str, Generation] = OrderedDict()
        self._cache = PrefixCache(
            options.cache_prefixes, self.server.announcer.cache_events
        )

    async def async_handle(
        self, connection: Connection, request: Request, faults: Faults
    ) -> None:
        """Handle one request."""
        path = request.target.split("?")[0]
        if request.method == "POST" and path in (CHAT_PATH, COMPLETION_PATH):
            await self._async_run(connection, request, faults.consume())
        elif request.method == "GET" and path.startswith(REQUESTS_PATH):
            await self._async_resume(connection, request, faults)
        elif request.method == "DELETE" and path.startswith(REQUESTS_PATH):
            await self._async_cancel(connection, path.removeprefix(REQUESTS_PATH))
        elif request.method == "POST" and path == "/v1/orders":
            await self._orders.async_handle(connection, request)
        else:
            await connection.async_respond(404, {"error": "no such path"})

    async def _async_run(
        self, connection: Connection, request: Request, faults: Faults
    ) -> None:
        headers = {"X-Request-Id": request.request_id, **self._notice_headers()}
        if faults.refuses() or self.server.is_full():
            self.server.recorder.add("turned-away", retry_after=faults.retry_after)
            await connection.async_respond(
                503, {"error": "full"}, headers | not_admitted_headers(faults)
            )
            return
        chat = request.target.startswith(CHAT_PATH)
        try:
            body = json.loads(request.body)
            generation = Generation(request.request_id, body, chat=chat)
        except (ValueError, KeyError, TypeError, AttributeError) as err:
            await connection.async_respond(400, {"error": repr(err)}, headers)
            return
        self.server.recorder.record_run(request)
        if random.random() < faults.fail:
            self.server.recorder.add("failed", request_id=generation.request_id)
            await connection.async_respond(500, {"error": "failed"}, headers)
            return
        self._expire_finished()
        self._generations_by_id[generation.request_id] = generation
        self.server.running += 1
        generation.task = await curio.spawn(
            self._async_execute, generation, daemon=True
        )
        if faults.drop_answers:
            await self._async_drop_response(connection, generation)
        elif body.get("stream"):
            await self._async_stream(connection, generation, 0, faults)
        else:
            await self._async_send_whole(connection, generation, faults)

    async def _async_execute(self, generation: Generation) -> None:
        try:
            async with self._slots:
                self._crash_if_marked(generation)
                await self._async_generate(generation)
            self.server.recorder.add("done", request_id=generation.request_id)
        except curio.TaskCancelled:
            self.server.recorder.add("cancelled", request_id=generation.request_id)
            raise
        finally:
            self.server.running -= 1
            self.server.announcer.kv_tokens_used -= generation.prompt_tokens()
            await generation.async_finish()

    def _crash_if_marked(self, generation: Generation) -> None:
        """Exit, with all other generations, when the prompt contains crash_mark."""
        mark = self._options.crash_mark
        if mark and mark in generation.prompt:
            self.server.recorder.add("crash", request_id=generation.request_id)
            os._exit(EXIT_CRASHED)

    async def _async_generate(self, generation: Generation) -> None:
        prompt = generation.prompt.encode()
        self.server.announcer.kv_tokens_used += generation.prompt_tokens()
        generation.cached_bytes = self._cache.lookup_and_store(prompt)
        fresh = generation.prompt_tokens() - generation.cached_bytes // BYTES_PER_TOKEN
        due = time.monotonic()
        due += fresh * self._options.prefill_us / 1e6 * self.server.faults.slow
        for index in range(generation.max_tokens):
            due += self._options.token_ms / 1000 * self.server.faults.slow
            pause = due - time.monotonic()
            if pause > 0:
                await curio.sleep(pause)
            generation.add_token(index)
            if pause > 0:
                await generation.async_notify()
        generation.add_final_events()

    async def _async_drop_response(
        self, connection: Connection, generation: Generation
    ) -> None:
        await generation.async_wait_finished()
        connection.reset()

    async def _async_send_whole(
        self, connection: Connection, generation: Generation, faults: Faults
    ) -> None:
        await curio.sleep(faults.delay_s)
        await generation.async_wait_finished()
        if faults.reset_after >= 0:
            connection.reset()
        if faults.stall_after >= 0:
            await connection.async_wait_closed()
            connection.reset()
        headers = {"X-Request-Id": echoed_request_id(generation.request_id, faults)}
        headers |= self._notice_headers()
        await connection.async_respond(200, generation.response_document(), headers)

    async def _async_stream(
        self, connection: Connection, generation: Generation, after: int, faults: Faults
    ) -> None:
        await curio.sleep(faults.delay_s)
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Request-Id": echoed_request_id(generation.request_id, faults),
            **self._notice_headers(),
        }
        if faults.reset_after == 0:
            connection.reset()
        head = h11.Response(status_code=200, headers=list(fields.items()))
        sent, stop = 0, first_break(faults)
        while piece := await generation.async_events_after(after + sent):
            piece = piece[: stop - sent] if stop >= 0 else piece
            parts = [h11.Data(data=event) for event in piece]
            await connection.async_send(*([head] if sent == 0 else []), *parts)
            sent += len(piece)
            if sent == stop:
                await self._async_break_stream(connection, faults)
                return
        if sent == 0:
            await connection.async_send(head)
        if not generation.events or b"[DONE]" not in generation.events[-1]:
            connection.reset()  # cancelled: an incomplete stream never ends cleanly
        await connection.async_send(h11.EndOfMessage())

    async def _async_break_stream(self, connection: Connection, faults: Faults) -> None:
        if faults.end_after >= 0:
            await connection.async_send(h11.EndOfMessage())
            return
        if faults.stall_after >= 0:
            await connection.async_wait_closed()
        connection.reset()

    async def _async_resume(
        self, connection: Connection, request: Request, faults: Faults
    ) -> None:
        request_id = request.target.removeprefix(REQUESTS_PATH).removesuffix("/stream")
        generation = self._generations_by_id.get(request_id)
        if generation is None or faults.forget:
            headers = {
                "X-Request-Id": request_id,
                "X-Incarnation": str(self._options.incarnation),
            }
            await connection.async_respond(404, {"error": "unknown"}, headers)
            return
        self.server.recorder.add("resume", request_id=request_id)
        after = int(request.headers.get("last-event-id", "0"))
        await self._async_stream(connection, generation, after, faults.consume())

    async def _async_cancel(self, connection: Connection, request_id: str) -> None:
        generation = self._generations_by_id.get(request_id)
        if (
            generation is not None
            and generation.task is not None
            and not generation.finished
        ):
            await generation.task.cancel()
        await connection.async_respond(204, b"", {"X-Request-Id": request_id})

    def _notice_headers(self) -> dict[str, str]:
        return notice_headers(self.server.faults)

    def _expire_finished(self) -> None:
        oldest = time.monotonic() - self._options.keep_s
        while self._generations_by_id:
            generation = next(iter(self._generations_by_id.values()))
            if not generation.finished or generation.finished_at > oldest:
                return
            del self._generations_by_id[generation.request_id]


def notice_headers(faults: Faults) -> dict[str, str]:
    """Return the headers in which a response states a rate limit or a departure."""
    headers = {}
    if faults.rate_limit >= 0:
        headers["X-Rate-Limit"] = f"{faults.rate_limit:g}"
    if faults.say_leaving or faults.leaving:
        headers["X-Leaving"] = "true"
    return headers


def not_admitted_headers(faults: Faults) -> dict[str, str]:
    """Return the headers of a refusal."""
    return {"X-Admitted": "false", "Retry-After": f"{faults.retry_after:g}"}


def echoed_request_id(request_id: str, faults: Faults) -> str:
    """Return the request id that a response carries."""
    return f"not-{request_id}" if faults.wrong_id else request_id


def first_break(faults: Faults) -> int:
    """Return the number of events after which a stream breaks, -1 for never."""
    bounds = (faults.reset_after, faults.stall_after, faults.end_after)
    return min((bound for bound in bounds if bound >= 0), default=-1)


def main() -> None:
    """Run an engine with the options of the command line."""
    options = cappa.parse(EngineOptions)
    curio.run(Engine(options).server.async_run)


if __name__ == "__main__":
    main()
