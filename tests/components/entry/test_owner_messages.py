"""The messages of the entry role to owners."""

from bitterntiller.components.entry.models import ReportedLoad
from bitterntiller.components.entry.owner_messages import (
    finished_message,
    progress_item,
)
from bitterntiller.core.clock import ManualClock
from tests.components.entry import fakes


def test_end_of_a_request_names_the_host_that_it_went_through():
    """An owner took an upstream that one host reached for reached by another."""
    clock = ManualClock()
    active = fakes.active_request(clock)
    assert finished_message(active, "done", clock.now()).relay is None
    active.relay = "edge-2"
    assert finished_message(active, "done", clock.now()).relay == "edge-2"


def test_first_report_of_a_stream_says_what_its_response_stated():
    """An owner learned an engine's speed from times that others had slowed down."""
    clock = ManualClock()
    active = fakes.active_request(clock)
    active.load = ReportedLoad(1, 0, 250)
    active.sent_at = clock.now()
    active.first_byte_at = clock.now() + 0.5
    active.output_tokens = 1
    item = progress_item(active)
    assert (item.first_ms, item.work_percent) == (500, 250)
    active.reported_tokens, active.output_tokens = 1, 2
    item = progress_item(active)
    assert (item.output_tokens, item.first_ms, item.work_percent) == (2, None, None)
