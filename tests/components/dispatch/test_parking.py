"""Parking of requests outside the queue."""

import pytest

from bitterntiller.components.dispatch.jobs import JobState
from bitterntiller.components.dispatch.parking import Parking

from .test_queue import job, queue_of


@pytest.mark.parametrize("upstream", ["engine-1", None])
def test_parked_request_can_be_shed(upstream):
    """A gold request is shed while a bronze request waits.

    The bronze request is parked, without a particular upstream if none may take work at
    that moment. Shedding queues parked requests first, but skipped those without an
    upstream.
    """
    low = job(1, "wards")
    queue = queue_of([low])
    parking = Parking(queue)
    parking.park(low, upstream, 10.0)
    assert queue.head(()) is None
    parking.unpark_all()
    assert queue.head(()) is low


def test_withdrawn_request_is_not_queued_again():
    """A grant goes to a caller that disconnected while its request was parked."""
    gone = job(1, "wards")
    queue = queue_of([gone])
    parking = Parking(queue)
    parking.park(gone, "engine-1", 10.0)
    gone.state = JobState.GONE
    parking.unpark_for("engine-1")
    parking.unpark_due(1000.0)
    assert queue.head(()) is None
