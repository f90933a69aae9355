"""Tests of numbers in headers from callers and upstreams."""

import pytest
from bitterntiller_platform.dialect import MAX_HEADER_NUMBER, PlatformDialect
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.config.models import Selector, Service
from bitterntiller.components.http.client import keep_alive_seconds
from bitterntiller.components.http.models import RequestHead, ResponseHead
from bitterntiller.protocol import encode, messages

SUPERSCRIPT_TWO = b"\xb2"
HUGE = b"9" * 5000


def answer(value: bytes) -> ResponseHead:
    return ResponseHead(200, [(b"x-engine-load", value)])


def request(*headers: tuple[bytes, bytes]) -> RequestHead:
    return RequestHead("POST", "/trees/1", list(headers), b"1.1")


@pytest.mark.parametrize("value", [b"", b"3", b"a,b", b"-1,2", b"1.5,2", b"\xb2,0"])
def test_malformed_load_is_ignored(value):
    """A malformed load header must not abort a request that has its response.

    The superscript passes str.isdigit(), but int() raises.
    """
    assert PlatformDialect().load(answer(value)) is None


@pytest.mark.parametrize(
    ("value", "percent"),
    [
        (b"3,0,8", None),
        (b"3,0,8,100", 100),
        (b"3,0,8, 250", 250),
        (b"3,0,8,0", None),
        (b"3,0,8,10001", None),
        (b"3,0,8,-5", None),
        (b"3,0,8,2.5", None),
        (b"3,0,,250", 250),
        (b"3,0,8,", None),
    ],
)
def test_unusable_work_time_leaves_the_rest_of_a_load(value, percent):
    """A bad fourth number must not hide that the upstream is busy."""
    load = PlatformDialect().load(answer(value))
    assert (load.running, load.waiting, load.work_percent) == (3, 0, percent)


@given(st.binary(max_size=40) | st.just(HUGE + b"," + HUGE + b",7"))
def test_any_load_can_be_sent_on(value):
    load = PlatformDialect().load(answer(value))
    if load is not None:
        encode(
            messages.Load(
                running=load.running,
                waiting=load.waiting,
                kv_tokens=0,
                age_ms=0,
                work_percent=load.work_percent,
            )
        )


@given(st.binary(max_size=40))
def test_any_headers_of_a_caller_can_be_read(value):
    names = (b"x-token-usage", b"x-length-hint", b"x-prefix-hash", b"x-deadline-ms")
    head = request(*((name, value) for name in names))
    PlatformDialect().parse_request(head, 0.0)


def test_numbers_of_a_caller_are_bounded():
    head = request((b"x-token-usage", HUGE + b",7"), (b"x-length-hint", HUGE))
    work = PlatformDialect().parse_request(head, 0.0).work
    assert (work.prompt_tokens, work.output_tokens) == (MAX_HEADER_NUMBER, 7)
    odd = request((b"x-token-usage", SUPERSCRIPT_TWO + b",7"))
    assert PlatformDialect().parse_request(odd, 0.0).work is None


@pytest.mark.parametrize(
    "value", [b"timeout=\xb2", b"timeout=", b"timeout=x", b"max=9"]
)
def test_keep_alive_header_without_a_valid_timeout(value):
    assert keep_alive_seconds([(b"keep-alive", value)]) is None


def test_keep_alive_header_with_a_timeout():
    assert keep_alive_seconds([(b"keep-alive", b"max=9, Timeout = 5")]) == 5.0


@pytest.mark.parametrize(
    "status, headers, signed, named",
    [
        (200, [(b"x-engine-signature", b"s")], True, False),
        (500, [(b"x-engine-signature", b"s")], True, False),
        (503, [(b"x-not-executed", b"1")], True, True),
        (421, [], True, False),
        (200, [(b"x-instance-id", b"e1")], False, True),
        (503, [(b"x-instance-id", b"e1")], False, True),
        (200, [(b"x-instance-id", b"e2")], False, False),
        (200, [], False, False),
        (502, [], False, False),
    ],
)
def test_responses_of_something_between_are_told_from_the_upstreams(
    status, headers, signed, named
):
    """A gateway's error was taken for a sign that the path to the upstream works."""
    head = ResponseHead(status, headers)
    dialect = PlatformDialect()
    assert dialect.is_from_upstream(None, head) is signed
    assert dialect.is_probe_answer("e1", head) is named


@pytest.mark.parametrize(
    ("status", "headers", "another"),
    [
        (421, [], True),
        (200, [(b"x-instance-id", b"e2")], True),
        (503, [(b"x-instance-id", b"e2")], True),
        (200, [(b"x-instance-id", b"e1")], False),
        (503, [(b"x-not-executed", b"1")], False),
        (200, [], False),
        (502, [], False),
    ],
)
def test_process_that_took_the_place_of_an_upstream_is_told_from_it(
    status, headers, another
):
    head = ResponseHead(status, headers)
    assert PlatformDialect().is_from_another_process("e1", "1", head) is another


def test_identity_is_asked_of_the_upstream_that_was_sent_the_request():
    service = Service("map", "plain", (), (), Selector(), {})
    request = PlatformDialect().identity_request(service, "e1")
    assert request.target == "/healthz"
    assert request.headers == [(b"x-expected-instance", b"e1")]


def test_upstreams_are_probed_at_the_health_path_of_their_service():
    service = Service("map", "plain", (), (), Selector(), {})
    for path, target in (("", "/healthz"), ("/up", "/up")):
        found = PlatformDialect().probe_request(service._replace(health_path=path))
        assert found.target == target
