"""Answers of upstreams on the platform, and what callers get of them."""

import platform as standard_platform
from typing import Any

import curio
import pytest

from bitterntiller.components.entry.quota import QuotaAccount
from bitterntiller.components.entry.quota_client import QuotaClient
from bitterntiller.components.entry.response_times import MIN_RESPONSES
from bitterntiller.components.settings.models import QuotaWindow
from bitterntiller.core.clock import RuntimeClock
from tests.components.entry.counting import CountingLinks, FakeCountingHostView
from tests.platform import builders
from tests.platform.builders import answer, request

TILE = request("/tiles/1")
ONCE = builders.document(
    builders.route(route_kind="non_idempotent", max_attempts=1, service="map")
)
TENANT = {
    "name": "foresters",
    "api_keys": [builders.KEY],
    "priority": 2,
    "rate_per_s": 100,
    "burst": 0,
}
METERED = builders.document(tenants=[TENANT])


def ask(
    upstream: builders.Upstream,
    data: bytes = TILE,
    document: dict[str, Any] | None = None,
    times: int = 1,
    quota: QuotaClient | None = None,
) -> tuple[list[bytes], list[bytes]]:
    """Return what the caller got each time, and what the upstream got."""

    async def async_main() -> tuple[list[bytes], list[bytes]]:
        async with builders.entry_host(upstream, document, quota) as host:
            received = [await host.async_ask(data) for _ in range(times)]
            return received, host.requests

    return curio.run(async_main)


def answering(*answers: bytes) -> builders.Upstream:
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(answers[min(number, len(answers) - 1)])

    return upstream


def test_folder_does_not_hide_the_standard_library():
    assert hasattr(standard_platform, "python_version")


def test_headers_of_the_system_are_its_own():
    """A caller sets who it is, or reserves memory, by headers that are not its own."""
    lines = ("X-Tenant: others", "X-Pin-Ms: 9", "Kv-From: 1", "X-Model: m")
    _, sent = ask(answering(answer(b"tile")), request("/tiles/1", *lines))
    head = sent[0].lower()
    assert b"x-tenant: foresters" in head
    assert b"x-expected-instance: i-" in head
    assert b"x-model: m" in head
    assert b"host: trees.example" in head
    for absent in (b"others", b"x-pin-ms", b"kv-from", b"authorization"):
        assert absent not in head


def test_connection_is_used_again():
    received, sent = ask(answering(answer(b"tile")), times=3)
    assert all(item.endswith(b"tile") for item in received)
    assert len(sent) == 3


def test_failure_of_a_repeatable_call_is_tried_elsewhere():
    failed = answer(b"no", b"500 Failed")
    received, sent = ask(answering(failed, answer(b"tile")))
    assert received[0].endswith(b"tile")
    assert len(sent) == 2


@pytest.mark.parametrize("repeatable", [True, False])
def test_call_that_its_upstream_does_not_answer_is_sent_elsewhere_in_time(repeatable):
    """One lookup in fourteen ends as a timeout, though it could have been repeated.

    Its upstream never answers it, while others take less than a tenth of a second. It
    was sent elsewhere after a whole second only, when hardly any time was left.
    """

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == MIN_RESPONSES:
            await curio.sleep(3.0)
        await sock.sendall(answer(b"tile"))

    configuration = None if repeatable else ONCE
    call = TILE if repeatable else request()

    async def async_main() -> tuple[bytes, int]:
        async with builders.entry_host(upstream, configuration) as host:
            for _ in range(MIN_RESPONSES):
                await host.async_ask(call)
            return await host.async_ask(call), len(host.requests)

    received, sent = curio.run(async_main)
    assert received.endswith(b"tile") == repeatable
    assert sent == MIN_RESPONSES + 1 + repeatable


def used(*answers: bytes, document: dict[str, Any] = METERED) -> tuple[int, int]:
    """Return what one call has used of a quota, and what is held for it still."""
    clock, window = RuntimeClock(), QuotaWindow(seconds=4.0)
    account = QuotaAccount(clock, window)
    links = CountingLinks(builders.parse_configuration(document, 1), window)
    client = QuotaClient(account, links, FakeCountingHostView(), clock, "a")
    ask(answering(*answers), request("/tiles/1"), document, quota=client)
    told = account.unacknowledged("counter")
    return sum(item.amount for item in told.used), told.held_by_workspace["foresters"]


def test_each_run_of_a_call_counts_against_the_quota():
    """A workspace gets more than its quota while an upstream fails.

    Each failed call is sent to a second upstream, and both have run it.
    """
    failed = answer(b"no", b"500 Failed")
    assert used(answer(b"tile")) == (1, 0)
    assert used(failed, answer(b"tile")) == (2, 0)


def test_sending_that_proved_not_to_have_run_counts_once():
    refused = answer(b"", b"503 Full", b"X-Not-Executed: 1")
    assert used(refused, answer(b"tile")) == (1, 0)


def test_failure_is_passed_on_where_the_quota_has_no_room_for_a_repeat():
    """The quota allows one call in a window, and the repeat would be the second."""
    tight = builders.document(tenants=[{**TENANT, "rate_per_s": 0.25, "burst": 0}])
    failed = answer(b"no", b"500 Failed")
    assert used(failed, answer(b"tile"), document=tight) == (1, 0)


def test_failure_is_passed_on_once_all_attempts_are_used():
    received, sent = ask(answering(answer(b"no", b"500 Failed")))
    assert received[0].startswith(b"HTTP/1.1 500")
    assert b"x-engine-signature: s1" in received[0].lower()
    assert len(sent) == 2


def test_call_that_may_run_once_is_not_repeated():
    """A tree is counted twice, since a call ran and its answer was lost."""

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.close()

    received, sent = ask(upstream, request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")
    assert len(sent) == 1


@pytest.mark.parametrize("status", [b"503 Full", b"429 Many", b"408 Late"])
def test_status_that_promises_not_run_is_not_passed_on(status):
    """A caller repeats a call that has run, as its status promised that it had not."""
    received, _ = ask(answering(answer(b"", status)), request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")


def test_word_of_not_run_lets_even_a_single_call_go_elsewhere():
    refused = answer(b"", b"503 Full", b"X-Not-Executed: 1")
    received, sent = ask(answering(refused, answer(b"done")), request(), ONCE)
    assert received[0].endswith(b"done")
    assert len(sent) == 2


def test_another_upstream_at_the_address_does_not_end_the_request():
    other = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
    received, _ = ask(answering(other, answer(b"done")), request(), ONCE)
    assert received[0].endswith(b"done")


def test_success_without_a_signature_is_nobodys_answer():
    unsigned = answer(b"fake").replace(b"X-Engine-Signature: s1\r\n", b"")
    received, _ = ask(answering(unsigned), request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")


def test_answer_that_came_twice_is_not_the_next_callers():
    """A caller gets the answer to somebody else's request on a kept connection."""
    earlier = answer(b"old").replace(b"a1", b"a0")

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(answer(b"one"))
            return
        await sock.sendall(earlier + answer(b"two"))

    received, _ = ask(upstream, times=2)
    assert received[0].endswith(b"one")
    assert received[1].endswith(b"two")


def test_extra_bytes_end_the_use_of_a_connection():
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.sendall(answer(b"one") + (b"rest" if number == 0 else b""))

    received, sent = ask(upstream, times=2)
    assert all(item.endswith(b"one") for item in received)
    assert len(sent) == 2


def test_answer_that_ends_with_its_connection_is_whole():
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Engine-Signature: s\r\n\r\n"
        await sock.sendall(head + b"tile")
        await sock.close()

    received, _ = ask(upstream)
    assert received[0].endswith(b"tile")
    assert b"content-length: 4" in received[0].lower()


def test_broken_answer_is_had_of_another_upstream():
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(answer(b"tile")[:-2])
            await sock.close()
            return
        await sock.sendall(answer(b"tile"))

    received, sent = ask(upstream)
    assert received[0].endswith(b"tile")
    assert len(sent) == 2


def test_unknown_key_and_route():
    data = TILE.replace(builders.KEY.encode(), b"other")
    received, sent = ask(answering(answer(b"tile")), data)
    assert received[0].startswith(b"HTTP/1.1 401")
    received, _ = ask(answering(answer(b"tile")), request("/none/1"))
    assert received[0].startswith(b"HTTP/1.1 404")
    assert sent == []


def test_public_route_needs_no_key():
    document = builders.document(
        builders.route(route_kind="idempotent", public=True, service="map")
    )
    data = request().replace(builders.KEY.encode(), b"")
    received, sent = ask(answering(answer(b"tile")), data, document)
    assert received[0].endswith(b"tile")
    assert b"x-tenant" not in sent[0].lower()


def test_long_body_is_answered_before_it_is_read():
    """An answer that comes early is never seen, and the rest of a body is read as the
    head of the next request."""
    document = builders.document(limits={"max_body_bytes": 4_000_000})
    body = b"x" * 2_000_000
    data = TILE.replace(b"Content-Length: 2", b"Content-Length: 2000000")[:-2] + body

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if data.startswith(b"POST"):
            await sock.sendall(answer(b"no", b"413 Large"))
            await curio.sleep(0.3)

    received, sent = ask(upstream, data, document, times=2)
    assert all(item.startswith(b"HTTP/1.1 413") for item in received)
    assert sum(item.startswith(b"POST") for item in sent) == 2
