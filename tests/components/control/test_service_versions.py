"""The versions that services had lately: replicated state and replies of the leader."""

import json
from collections.abc import Mapping
from typing import Any

import curio

from bitterntiller.components.config.route_services import ServicesByRoute
from bitterntiller.components.control.const import VERSIONS_KEPT_SECONDS
from bitterntiller.components.control.service_versions import (
    MAX_GONE_VERSIONS,
    ServiceVersionsState,
)
from bitterntiller.components.control.state import ControlState
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages

from .builders import apply, make_control

KEPT_MS = int(VERSIONS_KEPT_SECONDS * 1000)
ROUTE = ("trees.example", "/trees/")


def announce(
    name: str,
    version: str,
    sequence: int = 1,
    state: str = "ready",
    pool: str = "llm",
) -> Any:
    return messages.Announce(
        name=name,
        pool=pool,
        address=f"10.0.0.1:{sequence}",
        incarnation=0,
        sequence=sequence,
        state=state,
        labels={"version": version},
        slots=4,
        kv_tokens=0,
        cache_events=[],
    )


def test_version_counts_for_a_while_after_its_last_upstream():
    """A stream of a version that had just left was continued by another one."""
    state = ControlState()
    apply(state, 1, time_ms=1000, upstreams=[announce("a", "v1"), announce("b", "v2")])
    apply(state, 2, time_ms=5000, upstreams=[announce("a", "v1", 2, "gone")])
    known = state.service_versions
    assert known.recent("llm", 0) == ["v1", "v2"]
    assert known.recent("llm", 5000) == ["v1", "v2"]
    assert known.recent("llm", 5001) == ["v2"]
    assert known.recent("other", 0) == []


def test_leaving_and_silent_upstreams_count():
    """A stream of an upstream that was leaving was continued by another version."""
    state = ControlState()
    apply(state, 1, upstreams=[announce("a", "v1"), announce("b", "v2")])
    apply(state, 2, upstreams=[announce("a", "v1", 2, "leaving")])
    apply(state, 3, upstreams=[announce("b", "v2", 2, "silent")])
    assert state.service_versions.recent("llm", 2**60) == ["v1", "v2"]


def test_version_that_returns_is_present():
    state = ControlState()
    apply(state, 1, time_ms=1000, upstreams=[announce("a", "v1")])
    apply(state, 2, time_ms=2000, upstreams=[announce("a", "v1", 2, "gone")])
    apply(state, 3, time_ms=3000, upstreams=[announce("c", "v1")])
    assert state.service_versions.recent("llm", 2**60) == ["v1"]


def test_versions_survive_a_snapshot():
    """A restarted control host took the version left for the only one there was."""
    state = ControlState()
    apply(state, 1, time_ms=1000, upstreams=[announce("a", "v1"), announce("b", "v2")])
    apply(state, 2, time_ms=5000, upstreams=[announce("a", "v1", 2, "gone")])
    other = ControlState()
    other.restore(state.snapshot())
    assert other.service_versions.recent("llm", 4000) == ["v1", "v2"]
    assert other.snapshot() == state.snapshot()


def test_many_versions_never_look_like_a_single_one():
    """A service with many releases seemed to have had one version only."""
    known = ServiceVersionsState()
    for number in range(3 * MAX_GONE_VERSIONS):
        known.update([announce("a", f"v{number}")], number)
    assert len(known.recent("llm", 0)) == MAX_GONE_VERSIONS + 1


def test_reply_needs_a_confirmed_leader():
    """A deposed leader named the only version that it had heard of."""

    async def main() -> tuple[Any, Any, Any]:
        clock = ManualClock()
        control, log = make_control(clock)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            registered = [announce("a", "v1"), announce("b", "v2")]
            apply(control.state, 1, upstreams=registered)
            gone = [announce("a", "v1", 2, "gone")]
            apply(control.state, 2, upstreams=gone)
            request = messages.GetVersions(pools=["llm", "map"])
            first = await control.async_get_versions("e1", request)
            clock.advance(VERSIONS_KEPT_SECONDS + 1)
            later = await control.async_get_versions("e1", request)
            log.quorum = False
            return first, later, await control.async_get_versions("e1", request)

    first, later, deposed = curio.run(main)
    assert [(item.pool, item.versions) for item in first.services] == [
        ("llm", ["v1", "v2"]),
        ("map", []),
    ]
    assert [item.versions for item in later.services] == [["v2"], []]
    assert (deposed.status, deposed.services) == ("not-leader", [])


def services_by_route(document: Mapping[str, Any]) -> ServicesByRoute:
    """Return the services of a document that names one route's service only."""
    return {ROUTE: frozenset({document["service"]})} if document else {}


def change(service: str) -> Any:
    config = json.dumps({"service": service}).encode()
    return messages.Change(change_id=service, base_version=0, config=config)


def test_reply_has_the_services_that_a_route_led_to():
    """The service that a route leads to was taken for the only one there was."""

    async def main() -> list[Any]:
        clock = ManualClock()
        state = ControlState(services_by_route)
        registered = [announce("a", "v1"), announce("b", "v2", pool="map")]
        apply(state, 1, upstreams=registered)
        apply(state, 2, change=change("llm"))
        moved = change("map")
        moved.base_version = 1
        apply(state, 3, change=moved)
        restored = ControlState(services_by_route)
        restored.restore(state.snapshot())
        assert restored.snapshot() == state.snapshot()
        control, _ = make_control(clock, state=restored)
        await control.async_start(tick=False)
        host, prefix = ROUTE
        request = messages.GetVersions(
            pools=["map"], route_host=host, route_prefix=prefix
        )
        async with control._runtime.stack:
            first = await control.async_get_versions("e1", request)
            clock.advance(VERSIONS_KEPT_SECONDS + 1)
            return [first, await control.async_get_versions("e1", request)]

    first, later = (
        [(item.pool, item.versions) for item in reply.services]
        for reply in curio.run(main)
    )
    assert first == [("llm", ["v1"]), ("map", ["v2"])]
    assert later == [("map", ["v2"])]


def test_snapshots_of_replicas_are_equal():
    """Two replicas wrote the same state in two orders."""
    versions = [f"v{number}" for number in range(20)]
    registered = [announce(f"u-{version}", version) for version in versions]
    state = ControlState()
    apply(state, 1, upstreams=registered)
    document = state.service_versions.to_document()
    assert list(document["llm"]) == sorted(versions)
