"""Work of others at an upstream, as its late reports tell of it."""

import pytest

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import Granted, UpstreamLoad
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
SLOTS = 4


def full_of_other_work(kind: str) -> tuple[PoolScheduler, float]:
    """Return an owner whose upstream has told of twice its slots, and the time."""
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
def test_upstream_that_was_full_of_other_work_is_tried_again(kind):
    """An upstream gets no work for ever after it has told once that others fill it.

    Its last answer tells of as much work besides this owner's as it has slots: runs
    that their callers have left, or of another owner during a cut. That ends, but only
    an answer would tell so, and with its slots taken it is sent nothing to answer.
    """
    scheduler, now = full_of_other_work(kind)
    assert not granted(scheduler, now)
    while now < NOW + 60.0:
        now += 0.25
        scheduler.tick(now)
    assert granted(scheduler, now)
