"""Attempts that fail before anything is sent to the upstream."""

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
