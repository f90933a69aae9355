"""The messages of the entry role to owners."""

from bitterntiller.components.entry.owner_messages import finished_message
from bitterntiller.core.clock import ManualClock
from tests.components.entry import fakes


def test_end_of_a_request_names_the_host_that_it_went_through():
    """An owner took an upstream that one host reached for reached by another."""
    clock = ManualClock()
    active = fakes.active_request(clock)
    assert finished_message(active, "done", clock.now()).relay is None
    active.relay = "edge-2"
    assert finished_message(active, "done", clock.now()).relay == "edge-2"
