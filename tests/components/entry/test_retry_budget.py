"""Tests of the limit on retries."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.retry_budget import RetryBudget
from tests.components.entry.test_guards import send_to_entry_host
from tests.components.entry.test_pipeline import PLAIN


def test_retries_are_limited_to_a_fraction_of_the_load():
    """All upstreams of a pool refuse, and the load on them multiplies.

    Thousands of requests are retried at one upstream after the other until their
    deadlines.
    """
    budget = RetryBudget()
    granted = 0
    for _ in range(1000):
        budget.record_request("registry")
        for _ in range(5):
            granted += budget.spend("registry")
    assert granted <= 1000 * const.RETRIES_PER_REQUEST + const.MAX_RETRY_RESERVE
    assert granted >= 1000 * const.RETRIES_PER_REQUEST


def test_pools_have_separate_retry_budgets():
    budget = RetryBudget()
    while budget.spend("registry"):
        pass
    assert budget.spend("maps")


def test_request_over_the_budget_is_refused_as_not_run_immediately():
    """A caller waits until its deadline while its request is retried in a loop.

    The only upstream accepts connections but admits nothing. Without a limit, the entry
    host sends, returns and resends the request as fast as it gets grants.
    """

    async def async_refuse(sock, data):
        request_id = data.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0]
        head = b"HTTP/1.1 503 Busy\r\nX-Request-Id: " + request_id
        head += b"\r\nX-Admitted: false\r\nContent-Length: 0\r\n\r\n"
        await sock.sendall(head)

    answer, entry = send_to_entry_host(PLAIN, async_refuse)
    assert b"x-outcome: not-run" in answer.lower()
    assert b"not-admitted" in answer
    sent = [item for item in entry.requests if item.startswith(b"POST")]
    assert len(sent) == const.MAX_RETRY_RESERVE + 1
