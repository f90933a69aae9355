"""Tests of the bound on sending again."""

from bitterntiller.components.entry import const
from bitterntiller.components.entry.retry_budget import RetryBudget
from tests.components.entry.test_guards import asked
from tests.components.entry.test_pipeline import PLAIN


def test_retries_are_a_part_of_the_load():
    """All upstreams of a pool refuse, and the load on them grows many times over.

    Each request goes from one to the next until its deadline; thousands do so.
    """
    budget = RetryBudget()
    granted = 0
    for _ in range(1000):
        budget.record_request("registry")
        for _ in range(5):
            granted += budget.spend("registry")
    assert granted <= 1000 * const.RETRIES_PER_REQUEST + const.MAX_RETRY_RESERVE
    assert granted >= 1000 * const.RETRIES_PER_REQUEST


def test_one_pool_does_not_use_another_ones_retries():
    budget = RetryBudget()
    while budget.spend("registry"):
        pass
    assert budget.spend("maps")


def test_request_beyond_the_budget_is_refused_truly_and_at_once():
    """A caller waits until its deadline while its request goes round and round.

    The only upstream takes connections and admits nothing. Without a bound the
    entry host sends, returns and sends again as fast as it is granted.
    """

    async def async_refuse(sock, data):
        request_id = data.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0]
        head = b"HTTP/1.1 503 Busy\r\nX-Request-Id: " + request_id
        head += b"\r\nX-Admitted: false\r\nContent-Length: 0\r\n\r\n"
        await sock.sendall(head)

    answer, entry = asked(PLAIN, async_refuse)
    assert b"x-outcome: not-run" in answer.lower()
    assert b"not-admitted" in answer
    sent = [item for item in entry.requests if item.startswith(b"POST")]
    assert len(sent) == const.MAX_RETRY_RESERVE + 1
