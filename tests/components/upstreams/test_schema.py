"""Tests of announcements with arbitrary content."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.upstreams.errors import AnnouncementError
from bitterntiller.components.upstreams.schema import parse_announcement
from bitterntiller.protocol import encode

GOOD = {
    "name": "bole-1",
    "service": "canopy-llm",
    "address": "127.0.0.1:9001",
    "incarnation": 3,
    "sequence": 17,
    "state": "ready",
    "labels": {"zone": "bole"},
    "slots": 16,
}
VALUE = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)


@given(st.dictionaries(st.sampled_from([*GOOD, "load", "kv_tokens", "x"]), VALUE))
def test_any_values_are_an_announcement_or_an_error(changes):
    try:
        encode(parse_announcement(json.dumps(GOOD | changes).encode()))
    except AnnouncementError:
        return


@given(st.binary(max_size=100))
def test_any_body_is_an_announcement_or_an_error(body):
    with pytest.raises(AnnouncementError):
        parse_announcement(body)


@pytest.mark.parametrize("change", [{"name": "\ud800"}, {"labels": {"zone": "\ud800"}}])
def test_lone_surrogate_is_rejected(change):
    """The connection of an announcement is closed without a response.

    Its JSON contains a lone surrogate, which the schema accepts as a string but which
    can't be encoded in the message to the owner.
    """
    with pytest.raises(AnnouncementError):
        parse_announcement(json.dumps(GOOD | change).encode())
