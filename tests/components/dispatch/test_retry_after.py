"""Retry-After of refused requests."""

from bitterntiller.components.dispatch.models import PolicyParameters, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import request, upstream

NOW = 1000.0


def refusals(count: int) -> list[float]:
    """Return the Retry-After of each request that arrives together at a full pool."""
    scheduler = PoolScheduler(PolicyParameters(max_waiting=10))
    scheduler.announce(upstream(slots=2), NOW)
    retry_times = []
    for number in range(count):
        asked = request(f"r{number}", output_tokens=200, deadline=NOW + 90)
        for decision in scheduler.register(asked, NOW + number * 0.01):
            if isinstance(decision, Refused):
                retry_times.append(decision.retry_after)
    return retry_times


def test_requests_refused_together_get_different_retry_times():
    """Callers retry after half a second, are refused again, and give up.

    Dozens are refused within a second. If each gets the time in which the queue drains,
    all retry at once, and the first of them fill the queue again.
    """
    retry_times = refusals(60)
    assert max(retry_times[:3]) < 5.0
    assert min(retry_times[-10:]) > 10.0
    assert max(retry_times) < 60.0
