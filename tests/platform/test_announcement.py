"""Tests of upstream announcements and of other input on their port."""

import json

import pytest
from bitterntiller_platform.announcement import (
    MAX_BODY_BYTES,
    MAX_ERROR,
    AnnouncementError,
    read_announcement,
    read_departure,
)
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.control.const import UNSPECIFIED_INCARNATION
from bitterntiller.protocol import encode

GOOD = {
    "service": "llm",
    "address": "10.1.0.9:8080",
    "zone": "bole",
    "version": "v1",
    "batch_slots": 7,
    "state": "ready",
    "seq": 4,
    "born": 1770815713027,
}
ANY = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=2),
    max_leaves=3,
)


def body(**changes) -> bytes:
    return json.dumps(GOOD | changes).encode()


def test_start_time_is_the_incarnation():
    """A restarted upstream with the same name must get requests.

    If its start time is ignored, its sequence numbers look outdated.
    """
    announcement = read_announcement("i-1", body())
    assert announcement.incarnation == GOOD["born"]
    assert announcement.sequence == 4
    assert read_departure("i-1", b"").incarnation == UNSPECIFIED_INCARNATION
    assert read_departure("i-1", b'{"born": 7}').incarnation == 7


@pytest.mark.parametrize(
    "change",
    [
        {"seq": True},
        {"seq": 1.0},
        {"seq": -1},
        {"seq": 2**63},
        {"seq": None},
        {"born": "1770815713027"},
        {"born": 1.5},
        {"born": True},
        {"born": None},
        {"batch_slots": False},
        {"batch_slots": 0},
        {"batch_slots": 2**40},
        {"state": "resting"},
        {"state": ["ready"]},
        {"service": 7},
        {"service": ""},
        {"service": "x" * 1000},
        {"address": "10.1.0.9"},
        {"address": "engine.example:80"},
        {"address": "10.1.0.9:99999"},
        {"zone": {}},
        {"zone": "\ud800"},
    ],
)
def test_invalid_field_is_rejected(change):
    """An announcement of another program with a field of another type is rejected.

    Otherwise a control host stops, or requests are sent to an invalid address.
    """
    with pytest.raises(AnnouncementError) as raised:
        read_announcement("i-1", body(**change))
    assert len(raised.value.text) <= MAX_ERROR


@pytest.mark.parametrize("key", ["service", "address", "batch_slots", "state", "seq"])
def test_missing_field_is_rejected(key):
    document = {name: value for name, value in GOOD.items() if name != key}
    with pytest.raises(AnnouncementError):
        read_announcement("i-1", json.dumps(document).encode())


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe{}",
        b"[]",
        b"7",
        b"null",
        b"[" * 100_000,
        b'{"seq": ' + b"9" * 10_000 + b"}",
        b" " * (MAX_BODY_BYTES + 1),
    ],
)
def test_bytes_that_are_not_an_announcement_are_rejected(data):
    with pytest.raises(AnnouncementError):
        read_announcement("i-1", data)


@given(st.dictionaries(st.sampled_from([*GOOD, "x"]), ANY), st.text(max_size=300))
def test_anything_is_an_announcement_that_can_be_sent_on_or_an_error(changes, name):
    try:
        encode(read_announcement(name, body(**changes)))
    except AnnouncementError as error:
        assert len(error.text) <= MAX_ERROR


@given(st.binary(max_size=200))
def test_any_bytes_are_a_departure_or_an_error(data):
    try:
        encode(read_departure("i-1", data))
    except AnnouncementError as error:
        assert len(error.text) <= MAX_ERROR
