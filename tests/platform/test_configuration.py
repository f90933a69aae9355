"""Tests of the platform's configuration documents."""

import hashlib
from typing import Any

import pytest
from bitterntiller_platform.configuration import (
    ConfigurationError,
    parse_configuration,
    stream_services_by_route,
)

from bitterntiller.components.config.models import RouteKind
from bitterntiller.components.config.route_services import services_by_route
from bitterntiller.components.entry.routing import find_route
from tests.platform.builders import KEY, document, route


def parsed(*routes: dict[str, Any], **fields: Any):
    return parse_configuration(document(*routes, **fields), 3)


def test_routes_are_found_by_host_and_longest_prefix():
    config = parsed(
        route(),
        route(name="r-2", path_prefix="/trees/old/", priority=2),
        route(name="r-3", hostname="tiles.example", path_prefix="/"),
    )
    found = [
        find_route(host, path, config)
        for host, path in (
            ("trees.example", "/trees/1"),
            ("trees.example", "/trees/old/1"),
            ("trees.example", "/trees/old"),
            ("tiles.example", "/any/where"),
            ("trees.example", "/other/1"),
            ("else.example", "/trees/1"),
        )
    ]
    names = [item.name if item else None for item in found]
    assert names == ["r-1", "r-2", "r-1", "r-3", None, None]


def test_route_kinds_determine_what_may_be_retried():
    config = parsed(
        route(stream_resume=True),
        route(name="b", path_prefix="/b/", stream_resume=False),
        route(name="c", path_prefix="/c/", route_kind="idempotent"),
        route(name="d", path_prefix="/d/", route_kind="non_idempotent"),
    )
    kinds = {
        item.name: (item.kind, item.repeatable)
        for item in config.routes_by_host["trees.example"].values()
    }
    assert kinds == {
        "r-1": (RouteKind.RESUMABLE, True),
        "b": (RouteKind.STREAM, False),
        "c": (RouteKind.IDEMPOTENT, True),
        "d": (RouteKind.NON_IDEMPOTENT, False),
    }


def test_rank_of_the_workspace_precedes_that_of_the_route():
    config = parsed(
        tenants=[
            {"name": "a", "api_keys": ["ka"], "priority": 0},
            {"name": "b", "api_keys": ["kb"], "priority": 1},
        ]
    )
    ranks = {name: tier.rank for name, tier in config.tiers_by_name.items()}
    assert ranks["0.1"] < ranks["1.1"]


def test_keys_are_stored_as_digests():
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    assert parsed().workspaces_by_token[digest].name == "foresters"
    assert KEY not in repr(parsed())


@pytest.mark.parametrize(
    "bad",
    [
        {"version": "7"},
        {"version": -1},
        {"route_table": [route(service="none")]},
        {"route_table": [route(), route(name="r-9")]},
        {"route_table": [route(timeout_ms=0)]},
        {"route_table": [route(path_prefix="/trees")]},
        {"route_table": [route(route_kind="other")]},
        {"route_table": [route(traffic_split=[{"service": "llm", "weight": 0}])]},
        {"route_table": [route(traffic_split=[{"service": "x", "weight": 1}])]},
        {"route_table": ["r"]},
        {"route_table": {"r": 1}},
        {"services": [{"name": ""}]},
        {"services": [{"name": "llm"}, {"name": "llm"}]},
        {"limits": 5},
        {
            "tenants": [
                {"name": "a", "api_keys": ["k"]},
                {"name": "b", "api_keys": ["k"]},
            ]
        },
        {"tenants": [{"name": "a", "api_keys": "k"}]},
    ],
)
def test_invalid_documents_are_rejected(bad):
    with pytest.raises(ConfigurationError):
        parsed(**bad)


def test_split_omits_services_without_weight():
    split = [{"service": "llm", "weight": 3}, {"service": "map", "weight": 0}]
    config = parsed(route(traffic_split=split))
    found = config.routes_by_host["trees.example"]["/trees/"]
    assert [share.service for share in found.shares] == ["llm"]


@pytest.mark.parametrize(
    "value, found",
    [
        ("/healthz", "/healthz"),
        (None, ""),
        (5, ""),
        ("", ""),
        ("healthz", ""),
        ("/a b", ""),
        ("/a\r\nX: y", ""),
        ("/" + "a" * 2000, ""),
        ("/schl\u00fcssel", ""),
    ],
)
def test_health_path_that_no_request_can_carry_is_left_out(value, found):
    """A probe failed on a target with a line feed."""
    config = parsed(services=[{"name": "llm"}, {"name": "map", "health_path": value}])
    assert config.services_by_name["map"].health_path == found


def test_services_of_streams_are_those_of_the_parsed_routes():
    """Control and entry hosts differed in where a route leads."""
    parts = [{"service": "llm", "weight": 3}, {"service": "map", "weight": 0}]
    found = document(
        route(),
        route(name="r-2", path_prefix="/split/", traffic_split=parts),
        route(name="r-3", hostname="TREES.example", path_prefix="/upper/"),
    )
    parsed = services_by_route(parse_configuration(found, 1))
    assert stream_services_by_route(found) == parsed
    plain = route(name="r-4", path_prefix="/tiles/", route_kind="idempotent")
    assert stream_services_by_route(document(plain)) == {}
    assert stream_services_by_route({}) == {}
