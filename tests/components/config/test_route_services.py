"""Where the requests of a route may have gone lately."""

import json

import pytest

from bitterntiller.components.config.models import RouteKey
from bitterntiller.components.config.route_services import RouteServices

KEPT = 60
TREES: RouteKey = ("trees.example", "/trees/")
OAKS: RouteKey = ("trees.example", "/trees/oaks/")
TILES: RouteKey = ("trees.example", "/tiles/")
ELSEWHERE: RouteKey = ("other.example", "/trees/oaks/")
OLD, NEW = frozenset({"old"}), frozenset({"new"})


def changed(*steps: dict[RouteKey, frozenset[str]]) -> RouteServices:
    """Return the state after some configurations, at 0, 10, 20 and so on."""
    found = RouteServices(KEPT)
    for number, step in enumerate(steps):
        found.update(step, 10 * number)
    return found


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([{TREES: OLD}], OLD, id="unchanged"),
        pytest.param([{TREES: OLD}, {TREES: NEW}], OLD | NEW, id="moved"),
        pytest.param([{TREES: OLD | NEW}, {TREES: NEW}], OLD | NEW, id="split-ended"),
        pytest.param([{TREES: OLD}, {}, {TREES: NEW}], OLD | NEW, id="added-again"),
        pytest.param(
            [{TREES: NEW, OAKS: OLD}, {TREES: NEW}], OLD | NEW, id="longer-one-removed"
        ),
        pytest.param([{TREES: NEW, OAKS: OLD}], NEW, id="longer-one-kept"),
        pytest.param([{TREES: NEW}, {TREES: NEW, TILES: OLD}], NEW, id="other-added"),
        pytest.param(
            [{TREES: NEW, ELSEWHERE: OLD}, {TREES: NEW}], NEW, id="of-another-host"
        ),
    ],
)
def test_services_from_before_a_change_count(
    steps: list[dict[RouteKey, frozenset[str]]], expected: frozenset[str]
):
    """A stream went on at the service that its route had moved to."""
    assert changed(*steps).services(TREES, -1) == expected


def test_services_of_a_shorter_route_count_for_one_that_was_added():
    """A stream went on at the service of a route that was added for a part of it."""
    known = changed({TREES: OLD}, {TREES: OLD, OAKS: NEW})
    assert known.services(OAKS, -1) == OLD | NEW
    assert known.services(OAKS, 10) == NEW
    assert changed({TREES: OLD, OAKS: NEW}).services(OAKS, -1) == NEW


def test_services_that_left_before_are_forgotten():
    known = changed({TREES: OLD}, {TREES: NEW})
    assert known.services(TREES, 9) == OLD | NEW
    assert known.services(TREES, 10) == NEW
    known.update({TREES: NEW}, 10 + KEPT)
    assert known.to_document() == {"left": [], "added": []}


def test_services_survive_a_snapshot():
    """A restarted host of control forgot where a route had led."""
    present = {TREES: NEW, OAKS: NEW}
    known = changed({TREES: OLD}, present)
    other = RouteServices(KEPT)
    other.from_document(json.loads(json.dumps(known.to_document())), present)
    assert other.services(TREES, -1) == OLD | NEW
    assert other.services(OAKS, -1) == OLD | NEW
    assert other.to_document() == known.to_document()
