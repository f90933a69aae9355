"""Property tests of malformed configurations."""

import json
from typing import Any

from bitterntiller_platform.configuration import (
    ConfigurationError,
    parse_configuration,
    stream_services_by_route,
)
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bitterntiller.components.config.models import RouteKind
from bitterntiller.components.config.route_services import services_by_route
from tests.platform.builders import document

ANY = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from([2**70, -1, "\ud800", "", 0, 1e308]),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=5), inner, max_size=2)
    ),
    max_leaves=4,
)


def paths(value: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths to all values in a document."""
    found = [path] if path else []
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        if isinstance(inner, dict | list):
            found += paths(inner, (*path, key))
        else:
            found.append((*path, key))
    return found


PATHS = paths(document())


def changed(path: tuple, value: Any) -> dict[str, Any]:
    """Return a valid document with one value replaced."""
    whole = json.loads(json.dumps(document()))
    place = whole
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return whole


@settings(max_examples=400, deadline=None)
@given(st.sampled_from(PATHS), ANY)
@example(("route_table", 0, "priority"), float("nan"))
@example(("tenants", 0, "api_keys"), [["a"]])
@example(("tenants", 0, "api_keys"), ["\ud800"])
@example(("services", 0, "engine_id"), [])
def test_any_value_anywhere_is_a_configuration_or_an_error(path, value):
    """An operator hears of no answer, though its configuration can't be read.

    A value of another type raises where nobody expects it, and the call ends as if
    control had no leader.
    """
    try:
        parse_configuration(changed(path, value), 3)
    except ConfigurationError as error:
        assert error.text


@settings(max_examples=400, deadline=None)
@given(st.sampled_from([path for path in PATHS if path[0] == "route_table"]), ANY)
def test_services_of_streams_can_be_read_from_each_accepted_document(path, value):
    """Hosts of control would end at a configuration that they have accepted."""
    found = changed(path, value)
    try:
        config = parse_configuration(found, 3)
    except ConfigurationError:
        return
    streams = {
        (route.host, route.prefix)
        for routes in config.routes_by_host.values()
        for route in routes.values()
        if route.kind in (RouteKind.STREAM, RouteKind.RESUMABLE)
    }
    expected = services_by_route(config)
    assert stream_services_by_route(found) == {key: expected[key] for key in streams}


@settings(max_examples=100, deadline=None)
@given(st.dictionaries(st.sampled_from(list(document())), ANY))
def test_any_document_is_a_configuration_or_an_error(fields):
    try:
        parse_configuration({**document(), **fields}, 3)
    except ConfigurationError as error:
        assert error.text
