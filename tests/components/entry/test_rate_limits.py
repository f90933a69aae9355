"""Tests of parsing the rate limit in a response."""

import pytest

from bitterntiller.components.entry.native_dialect import NativeDialect
from bitterntiller.components.http.models import ResponseHead


@pytest.mark.parametrize(
    ("text", "rate"),
    [(b"2.5", 2.5), (b"3", 3.0), (b"0", 0.0), (b"0.25", 0.25), (b" 4 ", 4.0)],
)
def test_limit_is_a_decimal_number(text, rate):
    head = ResponseHead(200, [(b"x-rate-limit", text)])
    assert NativeDialect().rate_limit(head) == rate


@pytest.mark.parametrize(
    "text",
    [
        b"",
        b"two",
        b"nan",
        b"inf",
        b"-1",
        b"1e99",
        b"\xb2",
        b"9" * 400,
        b"1_0",
        b"0x1",
        b".",
    ],
)
def test_malformed_limit_is_ignored(text):
    head = ResponseHead(200, [(b"x-rate-limit", text)])
    assert NativeDialect().rate_limit(head) is None


def test_response_without_the_header_has_no_limit():
    assert NativeDialect().rate_limit(ResponseHead(200, [])) is None
