"""What a port with buffered bodies holds, in bytes."""

import curio

from bitterntiller.components.http.buffered import BodyBudget, async_serve_buffered
from bitterntiller.components.http.models import HttpResponse

from .builders import LIMITS, async_send, serving

BODY = b"x" * 100_000
HEAD = b"PUT /config HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
TIMEOUT = 2.0


def request(body):
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Handler:
    def __init__(self, response):
        self.response = response
        self.released = curio.Event()

    async def async_handle(self, request):
        await self.released.wait()
        return HttpResponse(200, [], self.response)


async def async_responses(requests, budget, handler):
    """Send requests at once; return the statuses and what was held at most."""

    async def async_exchange(exchange):
        await async_serve_buffered(exchange, handler, 10**6, TIMEOUT, budget)

    limits = LIMITS._replace(connections=50, head_timeout=5.0, write_timeout=5.0)
    async with serving(async_exchange, limits) as (_, port):
        tasks = [await curio.spawn(async_send, port, item) for item in requests]
        await curio.sleep(0.5)
        held = budget.held_bytes
        await handler.released.set()
        answers = [await task.join() for task in tasks]
    return sorted(int(answer[9:12]) for answer in answers), held


def test_bodies_that_arrive_at_once_are_bounded_in_bytes():
    """512 connections could hold 8 MB each; short bodies still have room."""

    async def run():
        budget = BodyBudget(3 * len(BODY))
        requests = [request(BODY)] * 8 + [request(b"small")] * 4
        statuses, held = await async_responses(requests, budget, Handler(b"ok"))
        assert held <= budget.max_bytes
        assert statuses.count(200) >= 4 + 1
        assert statuses.count(503) >= 5
        assert len(statuses) == 12
        assert budget.held_bytes == 0

    curio.run(run)


def test_responses_count_too():
    """Readers of a long configuration that read slowly hold a copy each."""

    async def run():
        budget = BodyBudget(len(BODY))
        statuses, _ = await async_responses([request(b"")], budget, Handler(BODY * 2))
        assert statuses == [503]
        statuses, _ = await async_responses([request(b"")], budget, Handler(BODY))
        assert statuses == [200]
        assert budget.held_bytes == 0

    curio.run(run)
