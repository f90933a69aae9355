"""Attempts that fail before anything is sent to the upstream."""

from bitterntiller.components.entry.const import MAX_FAILED_CONNECTIONS
from bitterntiller.components.entry.retry_budget import RetryBudget
from tests.components.entry.deployment import Entry, async_whole
from tests.components.entry.test_pipeline import PLAIN, run
from tests.components.http.builders import async_send
from tests.components.links.builders import free_port


def test_failed_connection_spends_no_retry():
    """Callers got 503 after one failed connection, as the retry budget was empty."""

    async def async_step(entry: Entry) -> bytes:
        entry.coordinator.pipeline.retries = RetryBudget(0.0, lambda: 0.0)
        entry.links.first = [f"127.0.0.1:{free_port()}" for _ in range(2)]
        return await async_send(entry.port, PLAIN)

    assert run(async_step, async_whole).startswith(b"HTTP/1.1 200")


def test_request_ends_after_a_bounded_number_of_failed_connections():
    """A request tried every upstream of a large pool that had ended."""

    async def async_step(entry: Entry) -> tuple[bytes, int]:
        entry.links.first = [f"127.0.0.1:{free_port()}" for _ in range(20)]
        return await async_send(entry.port, PLAIN), len(entry.links.first)

    response, left = run(async_step, async_whole)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in response.lower()
    assert 20 - left == MAX_FAILED_CONNECTIONS
