"""Upstreams that are leaving or have left, as seen by a node."""

from bitterntiller.components.node.upstreams import MAX_REMOVED_UPSTREAMS, NodeUpstreams
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build


def listed(version: int, **state_by_name: str) -> messages.UpstreamList:
    announced = []
    for name, state in state_by_name.items():
        announce = build.announce(name, 1)
        announce.state = state
        announced.append(announce)
    return messages.UpstreamList(version=version, upstreams=announced)


def test_leaving_and_removed_upstreams_have_left():
    """Guards against using an old grant for an upstream that has left."""
    upstreams = NodeUpstreams()
    upstreams.apply(listed(1, e1="ready", e2="ready"))
    assert not upstreams.is_departing("e1")
    upstreams.apply(listed(2, e1="leaving", e2="ready"))
    assert upstreams.is_departing("e1")
    upstreams.apply(listed(3, e2="ready"))
    assert upstreams.is_departing("e1")
    assert not upstreams.is_departing("e2")
    assert not upstreams.is_departing("unheard")


def test_returning_upstream_has_not_left():
    upstreams = NodeUpstreams()
    upstreams.apply(listed(1, e1="ready"))
    upstreams.apply(listed(2))
    upstreams.apply(listed(3, e1="ready"))
    assert not upstreams.is_departing("e1")


def test_removed_upstreams_are_forgotten_eventually():
    upstreams = NodeUpstreams()
    for version in range(1, MAX_REMOVED_UPSTREAMS + 10):
        upstreams.apply(listed(version, **{f"e{version}": "ready"}))
    assert not upstreams.is_departing("e1")
    assert upstreams.is_departing(f"e{MAX_REMOVED_UPSTREAMS}")
