"""What the connector learns from the response to an attempt."""

import socket
from types import SimpleNamespace
from typing import Any, NamedTuple

import curio
import pytest

from bitterntiller.components.config.models import RouteKind
from bitterntiller.components.entry.attempt import Attempt
from bitterntiller.components.entry.claiming import ClaimClient
from bitterntiller.components.entry.models import ActiveRequest
from bitterntiller.components.entry.native_dialect import NativeDialect
from bitterntiller.components.entry.owner_messages import finished_message
from bitterntiller.components.entry.path_report import PathReport
from bitterntiller.components.entry.registry import RequestRegistry
from bitterntiller.components.entry.service_probes import ServiceProbes
from bitterntiller.components.http.exchange import Exchange
from bitterntiller.components.http.models import RequestHead, ResponseHead
from bitterntiller.components.http.pool import ConnectionPool
from bitterntiller.components.paths.models import PathFault
from bitterntiller.components.tunnels.client import Destination
from bitterntiller.components.tunnels.connector import Connected, DirectConnector
from bitterntiller.core.clock import ManualClock
from bitterntiller.core.interfaces import SentRequest
from bitterntiller.core.outcomes import ResponseFault
from tests.components.entry import fakes
from tests.components.entry.test_attempt import WHOLE, upstream
from tests.components.stream_versions.builders import route


class RecordingConnector(DirectConnector):
    """Connects directly and records what it is told."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(ConnectionPool(clock))
        self.reports: list[str] = []
        self.destinations: set[Destination] = set()
        self.repeatable: list[bool] = []

    async def async_acquire(
        self, destination: Destination, timeout: float, repeatable: bool = False
    ) -> Connected:
        self.repeatable.append(repeatable)
        return await super().async_acquire(destination, timeout, repeatable)

    def record_answer(
        self, destination: Destination, connected: Connected, complete: bool
    ) -> None:
        self.destinations.add(destination)
        self.reports.append("complete" if complete else "head")

    async def async_record_fault(
        self, destination: Destination, connected: Connected, fault: PathFault
    ) -> None:
        self.destinations.add(destination)
        self.reports.append(fault)


def reports(answer: bytes) -> list[str]:
    """Return what an attempt whose upstream sends some bytes reports of its path."""
    clock = ManualClock()
    connector = RecordingConnector(clock)
    context = fakes.context(clock, fakes.FakeLinks(clock))
    context = context._replace(relayed_connector=connector)

    async def async_main() -> None:
        async with upstream(answer, []) as address:
            one = Attempt(
                fakes.FakeExchange(),
                fakes.active_request(clock),
                context,
                ClaimClient(context, "i1"),
            )
            await one.async_run(fakes.grant(clock, address))
            (destination,) = connector.destinations
            assert destination[:3] == ("r1", "p1", address)
            assert destination.pool == "registry"

    curio.run(async_main)
    return connector.reports


@pytest.mark.parametrize(
    "answer, expected",
    [
        (WHOLE, ["head", "complete"]),
        (WHOLE[:-1], ["head", "truncated"]),
        (b"", ["lost"]),
        (WHOLE[:9], ["lost"]),
        (WHOLE.replace(b"r1", b"r2"), ["lost"]),
        (WHOLE.replace(b"X-Request-Id: r1\r\n", b""), ["lost"]),
    ],
)
def test_path_is_judged_by_the_response_to_an_attempt(answer: bytes, expected: Any):
    """An open connection was taken for a working path."""
    assert reports(answer) == expected


def test_service_that_the_configuration_lacks_has_no_probe():
    config = fakes.FakeConfig()
    config.put(fakes.WORKSPACE)
    probes = ServiceProbes(NativeDialect(), config)
    assert probes.probe_request("none") is None
    sent = SentRequest("r1", 1, "e1", "1", "127.0.0.1:1")
    assert probes.identity_request(sent._replace(pool="none")) is None
    assert probes.identity_request(sent._replace(pool="registry")) is not None
    assert probes.probe_request("registry").target == "/v1/requests/path-probe/stream"


@pytest.mark.parametrize(
    "headers, another",
    [
        ([(b"x-incarnation", b"2")], True),
        ([(b"x-incarnation", b"1")], False),
        ([], False),
    ],
)
def test_new_incarnation_of_an_upstream_is_told_from_the_earlier_one(headers, another):
    head = ResponseHead(404, headers)
    assert NativeDialect().is_from_another_process("p1", "1", head) is another


@pytest.mark.parametrize("status, counts", [(404, True), (204, True), (502, False)])
def test_probe_is_not_answered_by_a_gateway_error(status: int, counts: bool):
    assert NativeDialect().is_probe_answer("p1", ResponseHead(status, [])) is counts


@pytest.mark.parametrize(
    "kind, attempts, allowed, tests_paths",
    [
        (RouteKind.IDEMPOTENT, 2, True, True),
        (RouteKind.RESUMABLE, 2, True, True),
        (RouteKind.IDEMPOTENT, 1, True, False),
        (RouteKind.IDEMPOTENT, 2, False, False),
        (RouteKind.NON_IDEMPOTENT, 2, True, False),
    ],
)
def test_only_a_request_that_can_be_sent_again_tests_a_path(
    kind: RouteKind, attempts: int, allowed: bool, tests_paths: bool
):
    """A request was lost on its last attempt to find out whether a path works."""
    clock = ManualClock()
    connector = RecordingConnector(clock)
    context = fakes.context(clock, fakes.FakeLinks(clock))
    active = fakes.active_request(clock)
    identified = active.prepared.identified._replace(
        route=route()._replace(kind=kind, max_attempts=attempts)
    )
    active.prepared = active.prepared._replace(identified=identified)

    async def async_main() -> None:
        one = Attempt(
            fakes.FakeExchange(),
            active,
            context._replace(relayed_connector=connector),
            ClaimClient(context, "i1"),
            may_repeat=allowed,
        )
        await one.async_run(fakes.grant(clock, "127.0.0.1:1"))

    curio.run(async_main)
    assert connector.repeatable == [tests_paths]


OVERRAN = {"overran": True}
MALFORMED = {"malformed": True, "broke": True}
BROKE = {"broke": True}
SILENT_AT_ITS_DEADLINE = {"timed_out": True, "overran": True}


class EndedResponse(NamedTuple):
    """The response to a request that was sent at the time 0, and its path."""

    active: ActiveRequest
    connector: RecordingConnector
    report: PathReport

    @property
    def fault(self) -> str:
        """Return the fault that the owner is told."""
        return finished_message(self.active, "unknown", 1.0).fault or ""


def ended(flags: dict[str, bool], seconds: float = 30.0) -> EndedResponse:
    """Return a response that ended so to a request with so many seconds left.

    Requests of its tier usually have TIER.deadline_ms.
    """
    clock = ManualClock()
    active = fakes.active_request(clock)
    identified = active.prepared.identified
    identified = identified._replace(deadline=clock.now() + seconds)
    active.prepared = active.prepared._replace(identified=identified)
    active.mark_sending(fakes.grant(clock, "127.0.0.1:1"))
    active.sent_at = clock.now()
    client: Any = SimpleNamespace(
        **{"broke": False, "timed_out": False, "overran": False, "malformed": False}
        | flags
    )
    connector = RecordingConnector(clock)
    destination = Destination("r1", active.upstream, active.address)
    report = PathReport(connector, destination, Connected(client), active)
    return EndedResponse(active, connector, report)


@pytest.mark.parametrize(
    "flags, expected, fault",
    [
        (OVERRAN, [], "overrun"),
        (MALFORMED, [], "malformed"),
        (BROKE, ["truncated"], ""),
        (SILENT_AT_ITS_DEADLINE, ["lost"], ""),
        ({}, ["complete"], ""),
    ],
)
def test_path_is_not_blamed_for_the_bytes_of_a_response(flags, expected, fault):
    """Requests were led through other hosts since an upstream had sent no HTTP."""
    response = ended(flags)
    curio.run(response.report.async_end)
    assert response.connector.reports == expected
    assert response.fault == fault


@pytest.mark.parametrize(
    "flags, expected, fault",
    [
        (OVERRAN, [], "overrun"),
        (MALFORMED, [], "malformed"),
        (BROKE, ["lost"], ""),
        (SILENT_AT_ITS_DEADLINE, ["lost"], ""),
    ],
)
def test_path_is_not_blamed_for_bytes_in_place_of_a_head(flags, expected, fault):
    response = ended(flags)
    curio.run(response.report.async_lost)
    assert response.connector.reports == expected
    assert response.fault == fault


@pytest.mark.parametrize("seconds, fault", [(20.0, "overrun"), (10.0, "unfinished")])
def test_upstream_is_not_blamed_for_the_short_deadline_of_a_caller(seconds, fault):
    response = ended(OVERRAN, seconds)
    curio.run(response.report.async_end)
    assert response.connector.reports == []
    assert response.fault == fault


@pytest.mark.parametrize("reads, fault", [(True, "overrun"), (False, "unfinished")])
def test_upstream_is_not_blamed_for_a_caller_that_reads_slowly(reads, fault):
    response = ended(OVERRAN)
    ours, callers = socket.socketpair()
    with ours, callers:
        ours.setblocking(False)
        if not reads:
            with pytest.raises(BlockingIOError):
                while True:
                    ours.send(bytes(65536))
        connection: Any = SimpleNamespace(sock=ours)
        exchange = Exchange(connection, RequestHead("GET", "/", [], b"1.1"))
        exchange.started = True
        curio.run(response.report._replace(exchange=exchange).async_end)
    assert response.fault == fault


def test_fault_of_a_response_is_told_once_with_the_grant_that_is_returned():
    """A later grant of the same upstream would be returned with the earlier fault."""
    clock = ManualClock()
    links = fakes.FakeLinks(clock)
    registry = RequestRegistry(fakes.context(clock, links))
    response = ended(MALFORMED)
    grant = fakes.grant(clock, response.active.address)

    async def async_main() -> None:
        await registry.async_add(response.active)
        await response.report.async_lost()
        for _ in range(2):
            await registry.async_return_grant("r1", grant, "lost-answer", True)

    curio.run(async_main)
    faults = [message.fault for message in links.sent]
    assert faults == [ResponseFault.MALFORMED, None]
