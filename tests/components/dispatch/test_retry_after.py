"""When callers that were refused are told to come back."""

from bitterntiller.components.dispatch.models import PolicyParameters, Refused
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import request, upstream

NOW = 1000.0


def refusals(count: int) -> list[float]:
    """Return what each of many callers is told who come to a full pool together."""
    scheduler = PoolScheduler(PolicyParameters(max_waiting=10))
    scheduler.announce(upstream(slots=2), NOW)
    told = []
    for number in range(count):
        asked = request(f"r{number}", output_tokens=200, deadline=NOW + 90)
        for decision in scheduler.register(asked, NOW + number * 0.01):
            if isinstance(decision, Refused):
                told.append(decision.retry_after)
    return told


def test_callers_refused_together_are_not_told_the_same_time():
    """Callers come back after half a second, are refused again, and give up.

    Dozens are refused in the same second; each is told the time in which the queue
    drains, so all come back to a queue that the first of them fill again.
    """
    told = refusals(60)
    assert max(told[:3]) < 5.0
    assert min(told[-10:]) > 10.0
    assert max(told) < 60.0
