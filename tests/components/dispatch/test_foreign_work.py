"""Foreign requests at an upstream, as estimated from its load reports."""

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Granted, UpstreamLoad
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
SLOTS = 4


def owner_of_full_upstream(kind: str) -> tuple[PoolScheduler, float]:
    """Return an owner whose upstream reported twice its slots as used, and the time."""
    scheduler = PoolScheduler(REGISTERED_PARAMETERS._replace(kind=kind))
    scheduler.announce(upstream(slots=SLOTS), NOW)
    now = NOW
    for number in range(8):
        now = NOW + 0.1 * number
        name = f"r{number}"
        scheduler.register(request(name), now)
        scheduler.started(name, now)
        load = UpstreamLoad(SLOTS, SLOTS, 0, now)
        scheduler.finished(completion(name, load=load), now)
    return scheduler, now


def granted(scheduler: PoolScheduler, now: float) -> bool:
    last = request("last", arrived=now, deadline=now + 5.0)
    return any(isinstance(one, Granted) for one in scheduler.register(last, now))


@pytest.mark.parametrize("kind", ["engine", "plain"])
def test_upstream_full_of_foreign_requests_is_tried_again(kind):
    """An upstream that was once full of foreign requests never gets work again.

    The load report in its last response counts as many foreign requests as it has
    slots: runs whose callers disconnected, or those of another owner during a network
    cut. They end, but only another response would report that, and the upstream gets no
    request while all its slots count as taken.
    """
    scheduler, now = owner_of_full_upstream(kind)
    assert not granted(scheduler, now)
    while now < NOW + 60.0:
        now += 0.25
        scheduler.tick(now)
    assert granted(scheduler, now)
