"""Placement queries of operators, from the port to the owner of the pool."""

import json

import curio
import pytest

from bitterntiller.components.dispatch.const import PLACEMENT_PURPOSE
from bitterntiller.components.links.frames import pack
from bitterntiller.components.operator.errors import RefusedRequestError
from bitterntiller.core.interfaces import Ownership
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build
from tests.components.links.builders import serving
from tests.components.operator import placement_builders as owners
from tests.components.operator.builders import operator_port, operator_request


def find(config, request=None, valid=True) -> tuple[dict, object]:
    """Return the answer, and the query that the owner got."""

    async def async_main():
        coordinator = await owners.async_owner(config)
        links = owners.StreamLinks(owners.server(coordinator, valid))
        finder = owners.finder(links, config)
        found = await finder.async_find(request or owners.query())
        return found, links.stream.queries[0]

    return curio.run(async_main)


def refused(finder, request=None) -> RefusedRequestError:
    with pytest.raises(RefusedRequestError) as caught:
        curio.run(finder.async_find, request or owners.query())
    return caught.value


def test_service_and_tier_come_from_the_configuration():
    found, query = find(build.config())
    assert (found["route"], found["tier"], found["has_quota"]) == (None, "gold", False)
    (placement,) = found["placements"]
    assert (placement["service"], placement["owner"]) == (build.POOL, "core-1")
    assert (placement["outcome"], placement["upstream"]) == ("granted", "e1")
    assert (query.deadline_in_ms, query.entry_host) == (30_000, "edge-1")


@pytest.mark.parametrize("host", ["", "API.test"])
def test_route_gives_tier_and_targets(host):
    found, query = find(owners.routed_config(), owners.query(host=host))
    assert (found["route"], found["tier"], found["has_quota"]) == ("chat", "0.1", True)
    (placement,) = found["placements"]
    assert (placement["upstream"], placement["weight"]) == ("e1", 2.0)
    assert placement["quota"] == {"left": 40, "usable_now": 7, "of": 100}
    assert (query.deadline_in_ms, query.first_by_ms) == (20_000, 500)
    assert (query.start_by_ms, query.interval_ms) == (2000, 250)


@pytest.mark.parametrize(
    ("config", "changes", "status", "text"),
    [
        (None, {}, 409, "no configuration"),
        (build.config(), {"workspace": "millers"}, 404, "no workspace millers"),
        (build.config(), {"path": "/other"}, 404, "no service has the path /other"),
        (build.config(), {"path": "/v1/../x"}, 400, "dot segment"),
        (owners.routed_config(), {"path": "/other"}, 404, "no route matches"),
        (owners.routed_config(), {"host": "x.test"}, 404, "no route matches x.test"),
        (owners.routed_config(), {"workspace": "millers"}, 404, "no workspace"),
    ],
)
def test_wrong_input_is_refused_before_any_owner_is_asked(
    config, changes, status, text
):
    finder = owners.finder(owners.StreamLinks(error=OSError()), config)
    error = refused(finder, owners.query(**changes))
    assert (error.status, text in error.text) == (status, True), error.text


def test_workspace_without_the_service_is_refused():
    config = build.config()
    workspace = config.workspaces_by_name["foresters"]._replace(services=())
    config = config._replace(workspaces_by_name={"foresters": workspace})
    error = refused(owners.finder(owners.StreamLinks(), config))
    assert (error.status, "may not use" in error.text) == (409, True)


@pytest.mark.parametrize(
    ("links", "owner", "status", "text"),
    [
        (owners.StreamLinks(), None, 409, "has no owner"),
        (owners.StreamLinks(error=OSError("x")), owners.OWNER, 502, "did not answer"),
        (owners.StreamLinks(), owners.OWNER, 502, "did not answer"),
        (owners.earlier_release(), owners.OWNER, 502, "an earlier release"),
        (owners.StreamLinks(reply=b"\0\0\0\1x"), owners.OWNER, 502, "earlier release"),
    ],
)
def test_owner_that_is_missing_or_does_not_answer_is_named(links, owner, status, text):
    """An operator couldn't tell a pool without an owner from a faulty tool."""
    error = refused(owners.finder(links, build.config(), owner))
    assert (error.status, text in error.text) == (status, True), error.text


@pytest.mark.parametrize(
    ("status", "text"),
    [
        ("no-owner", "doesn't own the pool"),
        ("no-lease", "has lost its configuration lease"),
        ("no-configuration", "has no configuration yet"),
    ],
)
def test_owner_that_must_not_answer_says_why(status, text):
    reply = messages.QueryPlacementReply(status=status)
    links = owners.StreamLinks(reply=pack(reply))
    assert text in refused(owners.finder(links, build.config())).text


def test_host_without_a_lease_does_not_answer_for_its_pools():
    """Another host may own the pool, and the answer would be about old state."""
    with pytest.raises(RefusedRequestError, match="lost its configuration lease"):
        find(build.config(), valid=False)


@pytest.mark.parametrize("knows", [True, False])
def test_query_goes_over_real_links_and_leaves_the_others_open(knows):
    """An owner of an earlier release closes a connection with a message that it can't
    decode, and with it go the requests that are registered over it."""

    async def async_main():
        coordinator = await owners.async_owner(build.config())
        async with serving("core-1") as (owner, _), serving("edge-1") as (links, _):
            if knows:
                serve = owners.server(coordinator).async_serve
                owner.handle_streams(PLACEMENT_PURPOSE, serve)
            received = []

            async def async_on_live(host, _message):
                received.append(host)

            owner.handle(messages.Live, async_on_live)
            live = messages.Live(entry_host="edge-1", pool="p", request_ids=[])
            await links.async_send(owner.own.address, live)
            connected = dict(links._connections_by_address)
            ownership = Ownership("core-1", owner.own.address, 1)
            finder = owners.finder(links, build.config(), ownership)
            try:
                found = (await finder.async_find(owners.query()))["placements"][0]
                result = found["upstream"]
            except RefusedRequestError as error:
                result = error.text
            await links.async_send(owner.own.address, live)
            await curio.sleep(0.1)
            assert dict(links._connections_by_address) == connected
            assert received == ["edge-1"] * 2
            return result

    result = curio.run(async_main)
    assert result == "e1" if knows else "earlier release" in result


@pytest.mark.parametrize(
    "change",
    [
        {"extra": 1},
        {"path": "v1"},
        {"path": None},
        {"workspace": 7},
        {"prompt_tokens": -1},
        {"prompt_tokens": True},
        {"output_tokens": 1.5},
        {"output_tokens": 10**9},
    ],
)
def test_port_refuses_a_body_that_is_no_query(change):
    """A number beyond 32 bits fails when the message is encoded."""
    port = operator_port(placements=owners.finder(owners.StreamLinks(), build.config()))
    body = json.dumps(owners.query()._asdict() | change).encode()
    request = operator_request("POST", "/v1/placement", body)
    response = curio.run(port.coordinator.async_handle, request)
    assert response.status == 400
