"""Tests of how responses of the platform's upstreams reach callers."""

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
from tests.platform.builders import request, response
from tests.platform.refusing_upstream import named, request_id

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
WITH_QUOTA = builders.document(tenants=[TENANT])


def ask(
    upstream: builders.Upstream,
    data: bytes = TILE,
    document: dict[str, Any] | None = None,
    times: int = 1,
    quota: QuotaClient | None = None,
) -> tuple[list[bytes], list[bytes]]:
    """Return the responses to the caller and the requests to the upstream.

    Each request has an id of its own, and may go on the connection of others.
    """

    async def async_main() -> tuple[list[bytes], list[bytes]]:
        async with builders.entry_host(upstream, document, quota) as host:
            asked = [
                data.replace(b"Id: a1", b"Id: a%d" % (n + 1)) for n in range(times)
            ]
            received = [await host.async_ask(item) for item in asked]
            return received, host.requests

    return curio.run(async_main)


def responding(*responses: bytes) -> builders.Upstream:
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        sent = responses[min(number, len(responses) - 1)]
        await sock.sendall(named(sent, request_id(data)))

    return upstream


def test_platform_folder_does_not_shadow_the_standard_library():
    assert hasattr(standard_platform, "python_version")


def test_caller_can_not_set_reserved_headers():
    """A caller must not set its workspace or reserve memory with reserved headers."""
    lines = ("X-Tenant: others", "X-Pin-Ms: 9", "Kv-From: 1", "X-Model: m")
    _, sent = ask(responding(response(b"tile")), request("/tiles/1", *lines))
    head = sent[0].lower()
    assert b"x-tenant: foresters" in head
    assert b"x-expected-instance: i-" in head
    assert b"x-model: m" in head
    assert b"host: trees.example" in head
    for absent in (b"others", b"x-pin-ms", b"kv-from", b"authorization"):
        assert absent not in head


def test_connection_is_reused():
    received, sent = ask(responding(response(b"tile")), times=3)
    assert all(item.endswith(b"tile") for item in received)
    assert len(sent) == 3


def test_failed_repeatable_call_is_retried_on_another_upstream():
    failed = response(b"no", b"500 Failed")
    received, sent = ask(responding(failed, response(b"tile")))
    assert received[0].endswith(b"tile")
    assert len(sent) == 2


@pytest.mark.parametrize("repeatable", [True, False])
def test_call_without_a_response_is_retried_in_time(repeatable):
    """A repeatable call must be retried early if its upstream does not respond.

    Other upstreams respond in less than 0.1 s. The call was retried only after 1 s,
    when hardly any time was left, and one lookup in fourteen timed out.
    """

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == MIN_RESPONSES:
            await curio.sleep(3.0)
        await sock.sendall(response(b"tile"))

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


def used(*responses: bytes, document: dict[str, Any] = WITH_QUOTA) -> tuple[int, int]:
    """Return the quota that one call has used, and what is still held for it."""
    clock, window = RuntimeClock(), QuotaWindow(seconds=4.0)
    account = QuotaAccount(clock, window)
    links = CountingLinks(builders.parse_configuration(document, 1), window)
    client = QuotaClient(account, links, FakeCountingHostView(), clock, "a")
    ask(responding(*responses), request("/tiles/1"), document, quota=client)
    report = account.unacknowledged("counter")
    return sum(item.amount for item in report.used), report.held_by_workspace[
        "foresters"
    ]


def test_each_execution_counts_against_the_quota():
    """A workspace must not exceed its quota while an upstream fails.

    Each failed call is retried on a second upstream, and both have run it.
    """
    failed = response(b"no", b"500 Failed")
    assert used(response(b"tile")) == (1, 0)
    assert used(failed, response(b"tile")) == (2, 0)


def test_attempt_that_certainly_did_not_run_is_not_counted():
    refused = response(b"", b"503 Full", b"X-Not-Executed: 1")
    assert used(refused, response(b"tile")) == (1, 0)


def test_failure_is_relayed_if_the_quota_has_no_room_for_a_retry():
    """The quota allows one call per window, and a retry would be the second."""
    tight = builders.document(tenants=[{**TENANT, "rate_per_s": 0.25, "burst": 0}])
    failed = response(b"no", b"500 Failed")
    assert used(failed, response(b"tile"), document=tight) == (1, 0)


def test_failure_is_relayed_after_the_last_attempt():
    received, sent = ask(responding(response(b"no", b"500 Failed")))
    assert received[0].startswith(b"HTTP/1.1 500")
    assert b"x-engine-signature: s1" in received[0].lower()
    assert len(sent) == 2


def test_non_idempotent_call_is_not_retried():
    """A call whose response was lost may have run, and must not run twice."""

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        await sock.close()

    received, sent = ask(upstream, request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")
    assert len(sent) == 1


@pytest.mark.parametrize("status", [b"503 Full", b"429 Many", b"408 Late"])
def test_status_that_promises_not_run_is_withheld(status):
    """A caller would retry a call that has run if the status promised not-run."""
    received, _ = ask(responding(response(b"", status)), request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")


def test_not_executed_header_allows_a_retry_of_a_non_idempotent_call():
    refused = response(b"", b"503 Full", b"X-Not-Executed: 1")
    received, sent = ask(responding(refused, response(b"done")), request(), ONCE)
    assert received[0].endswith(b"done")
    assert len(sent) == 2


def test_misdirected_request_is_retried():
    other = b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n"
    received, _ = ask(responding(other, response(b"done")), request(), ONCE)
    assert received[0].endswith(b"done")


def test_success_without_a_signature_is_withheld():
    unsigned = response(b"fake").replace(b"X-Engine-Signature: s1\r\n", b"")
    received, _ = ask(responding(unsigned), request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")


@pytest.mark.parametrize("status", [b"301 Moved", b"400 Bad Request", b"404 None"])
def test_unsigned_refusal_of_an_upstream_is_withheld(status):
    """A proper request gets a 4xx that another server at the address has sent."""
    unsigned = response(b"no", status).replace(b"X-Engine-Signature: s1\r\n", b"")
    received, _ = ask(responding(unsigned), request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 502")
    received, sent = ask(responding(unsigned, response(b"tile")))
    assert received[0].endswith(b"tile")
    assert len(sent) == 2


def test_signed_refusal_of_an_upstream_is_relayed():
    received, _ = ask(responding(response(b"no", b"404 None")), request(), ONCE)
    assert received[0].startswith(b"HTTP/1.1 404")


def test_late_response_is_not_relayed_to_the_next_caller():
    """On a reused connection, a caller must not get the response to another request."""
    earlier = response(b"old").replace(b"a1", b"a0")

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(response(b"one"))
            return
        await sock.sendall(earlier + named(response(b"two"), request_id(data)))

    received, _ = ask(upstream, times=2)
    assert received[0].endswith(b"one")
    assert received[1].endswith(b"two")


def test_connection_with_extra_bytes_is_not_reused():
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        sent = named(response(b"one"), request_id(data))
        await sock.sendall(sent + (b"rest" if number == 0 else b""))

    received, sent = ask(upstream, times=2)
    assert all(item.endswith(b"one") for item in received)
    assert len(sent) == 2


def test_close_delimited_response_is_complete():
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Engine-Signature: s\r\n\r\n"
        await sock.sendall(head + b"tile")
        await sock.close()

    received, _ = ask(upstream)
    assert received[0].endswith(b"tile")
    assert b"content-length: 4" in received[0].lower()


def test_incomplete_response_is_retried_on_another_upstream():
    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if number == 0:
            await sock.sendall(response(b"tile")[:-2])
            await sock.close()
            return
        await sock.sendall(response(b"tile"))

    received, sent = ask(upstream)
    assert received[0].endswith(b"tile")
    assert len(sent) == 2


def test_unknown_key_and_route_are_refused():
    data = TILE.replace(builders.KEY.encode(), b"other")
    received, sent = ask(responding(response(b"tile")), data)
    assert received[0].startswith(b"HTTP/1.1 401")
    received, _ = ask(responding(response(b"tile")), request("/none/1"))
    assert received[0].startswith(b"HTTP/1.1 404")
    assert sent == []


def test_public_route_needs_no_key():
    document = builders.document(
        builders.route(route_kind="idempotent", public=True, service="map")
    )
    data = request().replace(builders.KEY.encode(), b"")
    received, sent = ask(responding(response(b"tile")), data, document)
    assert received[0].endswith(b"tile")
    assert b"x-tenant" not in sent[0].lower()


def test_early_response_to_a_long_body_is_relayed():
    """A response before the end of a long body must be relayed.

    The rest of the body must not be read as the head of the next request.
    """
    document = builders.document(limits={"max_body_bytes": 4_000_000})
    body = b"x" * 2_000_000
    data = TILE.replace(b"Content-Length: 2", b"Content-Length: 2000000")[:-2] + body

    async def upstream(sock: Any, data: bytes, number: int) -> None:
        if data.startswith(b"POST"):
            sent = named(response(b"no", b"413 Large"), request_id(data))
            await sock.sendall(sent)
            await curio.sleep(0.3)

    received, sent = ask(upstream, data, document, times=2)
    assert all(item.startswith(b"HTTP/1.1 413") for item in received)
    assert sum(item.startswith(b"POST") for item in sent) == 2
