"""Requests that wait beside the queue."""

import pytest

from bitterntiller.components.dispatch.jobs import JobState
from bitterntiller.components.dispatch.parking import Parking

from .test_queue import job, queue_of


@pytest.mark.parametrize("upstream", ["engine-1", None])
def test_parked_work_is_there_to_be_shed(upstream):
    """A gold request is shed while bronze work waits.

    The bronze request is parked; when no upstream may take work just then, it is
    parked for none in particular. Shedding puts parked work back first, but passed
    over what waited for no upstream.
    """
    low = job(1, "wards")
    queue = queue_of([low])
    parking = Parking(queue)
    parking.park(low, upstream, 10.0)
    assert queue.head(()) is None
    parking.unpark_all()
    assert queue.head(()) is low


def test_withdrawn_request_does_not_come_back():
    """A caller that has left gets a grant: its parked request was put back."""
    gone = job(1, "wards")
    queue = queue_of([gone])
    parking = Parking(queue)
    parking.park(gone, "engine-1", 10.0)
    gone.state = JobState.GONE
    parking.unpark_for("engine-1")
    parking.unpark_due(1000.0)
    assert queue.head(()) is None
