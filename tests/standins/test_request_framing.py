"""Tests of how our clients frame the bodies of requests."""

import h11
import pytest

from standins.request_framing import CHUNKED_SHARE, encode_request, is_chunked

FIELDS = {"Host": "x"}


def receive(data):
    """Return headers and body of a request as a server reads it."""
    server = h11.Connection(h11.SERVER)
    server.receive_data(data)
    body = b""
    while not isinstance(event := server.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Request):
            headers = dict(event.headers)
        else:
            body += bytes(event.data)
    return headers, body


@pytest.mark.parametrize("share", [0.0, 1.0])
@pytest.mark.parametrize("body", [b"", b"a", b"ab", bytes(range(256)) * 10])
def test_body_is_the_same_in_both_framings(share, body):
    http = h11.Connection(h11.CLIENT)
    data = encode_request(http, "POST", "/a", FIELDS, body, share)
    headers, received = receive(data)
    assert received == body
    assert (b"transfer-encoding" in headers) == (share == 1.0 and body != b"")


def test_share_of_the_requests_is_chunked():
    """All our clients send a length, so that no run shows a fault of chunked bodies."""
    found = [
        is_chunked("POST", "/a", b"%d" % number, CHUNKED_SHARE)
        for number in range(4000)
    ]
    assert sum(found) / len(found) == pytest.approx(CHUNKED_SHARE, abs=0.03)
