"""Copies of one sound request at engines that all end at one moment."""

import time
from pathlib import Path

import pytest

from bitterntiller.components.crashes.const import FIRST_QUARANTINE_SECONDS
from tests.platform.builders import KEY
from tests.platform.crashing_parts import (
    BACK_AFTER,
    CONTACT_WINDOW,
    CrashingFleet,
    Kind,
    Load,
)

pytestmark = pytest.mark.xdist_group("crashing-parts")

COPIES = Kind("copies", 40.0, KEY, lambda: ("c0b1e5",))
COUNTED_SECONDS = 5.0
LEAST_BEGUN = 0.95


def test_copies_of_one_request_are_served_soon_after_their_engines_have_ended(
    tmp_path: Path,
):
    """They were refused for half an hour, as if each end were a failed trial."""
    with CrashingFleet(tmp_path) as fleet:
        fleet.add_engines()
        load = Load((COPIES,), fleet.entry_ips, equal_bodies=True)
        time.sleep(3.0)
        ended = time.monotonic()
        for engine in list(fleet.engines):
            fleet.end_engine(engine)
        settled = ended + BACK_AFTER + FIRST_QUARANTINE_SECONDS + CONTACT_WINDOW
        time.sleep(settled + COUNTED_SECONDS - ended)
        load.stop()
    first = [item for item in load.sent if item.first_attempt]
    before = [item.begun for item in first if item.at < ended - 1.0]
    after = [item.begun for item in first if item.at >= settled]
    assert sum(before) >= LEAST_BEGUN * len(before)
    assert len(after) > COPIES.a_second
    assert sum(after) >= LEAST_BEGUN * len(after)
