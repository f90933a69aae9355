"""bitterntiller route: where a request would be placed now."""

import json

import curio
import pytest

from bitterntiller.cli import const
from bitterntiller.components.operator import const as operator_const
from tests.cli.builders import served_port
from tests.components.dispatch import messages_builders as build
from tests.components.operator import placement_builders as owners
from tests.components.operator.builders import operator_port

QUERY = ("--workspace", "foresters", "--path", "/v1/chat")


@pytest.fixture
def route(tool):
    """Return a function that asks a port, by default that of a host with an owner."""

    def run(*arguments, links=None, config=None, owner=owners.OWNER):
        config = config or build.config()
        coordinator = curio.run(owners.async_owner, config)
        links = links or owners.StreamLinks(owners.server(coordinator))
        port = operator_port(placements=owners.finder(links, config, owner))
        with served_port(port.coordinator, port.metrics) as address:
            return tool("route", "--operator", address, *(arguments or QUERY))

    return run


def test_placement_is_printed(route):
    result = route(*QUERY, "--prompt-tokens", 70, config=owners.routed_config())
    assert result.code == const.EXIT_OK
    lines = result.out.splitlines()
    assert "route          chat" in lines
    assert "tier           0.1 (rank 0)" in lines
    assert "tokens         70 prompt, 100 output" in lines
    assert "quota left     40 of 100, 7 usable now" in lines
    assert "owner          core-1 (127.0.0.1:7), epoch 3" in lines
    assert "outcome        granted, at e1" in lines
    assert lines[-1].split()[:3] == ["e1", "yes", "-"]


def test_placement_is_printed_as_json(route):
    result = route(*QUERY, "--json")
    found = json.loads(result.out)
    assert found["placements"][0]["candidates"][0]["upstream"] == "e1"
    assert "quota left     no quota" in route().out


@pytest.mark.parametrize(
    ("arguments", "text"),
    [
        (("--workspace", "foresters", "--path", "v1"), "--path begins with a slash"),
        (("--workspace", "foresters"), "--path begins with a slash"),
        ((*QUERY, "--prompt-tokens", -1), "--prompt-tokens is from 0 to"),
        ((*QUERY, "--output-tokens", 10**8), "--output-tokens is from 0 to"),
    ],
)
def test_wrong_usage(route, arguments, text):
    result = route(*arguments)
    assert (result.code, text in result.err) == (const.EXIT_USAGE, True)


def test_number_that_is_none_is_wrong_usage(route):
    with pytest.raises(SystemExit) as stopped:
        route(*QUERY, "--prompt-tokens", "many")
    assert stopped.value.code == const.EXIT_USAGE


@pytest.mark.parametrize(
    ("arguments", "options", "text"),
    [
        (("--workspace", "x", "--path", "/v1"), {}, "there is no workspace x"),
        (("--workspace", "foresters", "--path", "/x"), {}, "no service has the path"),
        (QUERY, {"owner": None}, "has no owner"),
        (QUERY, {"links": owners.earlier_release()}, "an earlier release"),
    ],
)
def test_what_was_refused_is_printed(route, arguments, options, text):
    result = route(*arguments, **options)
    assert (result.code, text in result.err) == (const.EXIT_REFUSED, True)


def test_host_of_an_earlier_release_is_named(tool, monkeypatch):
    """Its operator port knows no such path, which says nothing to an operator."""
    port = operator_port()
    del port.coordinator._handlers_by_path[operator_const.PATH_PLACEMENT]
    with served_port(port.coordinator, port.metrics) as address:
        result = tool("route", "--operator", address, *QUERY)
    assert result.code == const.EXIT_REFUSED
    assert "an earlier release" in result.err
