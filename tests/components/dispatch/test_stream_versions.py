"""Owned pools whose requests continue streams of one of two versions."""

from typing import Any

import pytest

from bitterntiller.components.dispatch import make_registered_scheduler
from bitterntiller.components.dispatch.models import Granted, Refused
from bitterntiller.components.dispatch.owned_pool import OwnedPool
from bitterntiller.components.rollouts.models import VersionRules
from bitterntiller.core.outcomes import Reason
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build

T0 = 1000.0
SLOTS = 4


def listed(**versions: str) -> dict[str, Any]:
    """Return the list of registered upstreams with their versions."""
    return {
        name: build.announce(name, SLOTS, version=version)
        for name, version in versions.items()
    }


def pool(**versions: str) -> OwnedPool:
    owned = OwnedPool(build.POOL, 1, make_registered_scheduler("engine"), T0)
    owned.configure(build.config(), T0)
    owned.sync_registered(listed(**versions), 1, T0)
    return owned


def register(owned: OwnedPool, request_id: str, version: str | None) -> list[Any]:
    return owned.register(build.register(request_id, version=version), "i1", T0)


def returned(owned: OwnedPool, request_id: str, version: str | None) -> list[Any]:
    message = messages.Returned(
        request_id=request_id,
        pool=build.POOL,
        upstream="a",
        reason="lost-answer",
        still_waiting=True,
        version=version,
    )
    return owned.returned(message, T0 + 0.1)


def upstreams_of(decisions: list[Any]) -> list[str]:
    return [item.upstream for item in decisions if isinstance(item, Granted)]


def reasons(decisions: list[Any]) -> list[str]:
    return [item.reason for item in decisions if isinstance(item, Refused)]


def test_request_is_granted_an_upstream_of_its_version():
    """A stream that was taken up went to another version."""
    owned = pool(a="v1", b="v2", c="v2", d="v2")
    granted = [upstreams_of(register(owned, f"r{n}", "v1")) for n in range(SLOTS)]
    assert granted == [["a"]] * SLOTS
    assert upstreams_of(register(owned, "more", "v1")) == []
    assert upstreams_of(register(owned, "new", None)) != []


def test_broken_stream_is_queued_again_for_its_version_only():
    """A stream that broke within its response was granted any upstream."""
    owned = pool(a="v1", b="v2")
    register(owned, "r", None)
    for number in range(3):
        register(owned, f"full{number}", "v1")
    assert upstreams_of(returned(owned, "r", "v1")) == ["a"]


def test_stream_goes_back_to_the_only_upstream_of_its_version():
    """A stream whose upstream had broken off once waited until its deadline."""
    owned = pool(a="v1", b="v2")
    register(owned, "r", "v1")
    assert upstreams_of(returned(owned, "r", "v1")) == ["a"]
    taken_over = pool(a="v1", b="v2")
    again = build.register("r", version="v1", tried=["a"])
    assert upstreams_of(taken_over.register(again, "i1", T0)) == ["a"]


def test_stream_is_refused_if_no_upstream_has_its_version():
    """A caller waited for a version that had left."""
    owned = pool(b="v2")
    decisions = register(owned, "r", "v1")
    assert reasons(decisions) == [Reason.VERSION_GONE]
    assert "r" not in owned.tracked_by_id


def test_stream_is_refused_if_all_upstreams_of_its_version_leave():
    """A caller waited for upstreams that took no more requests."""
    owned = pool(a="v1", b="v2")
    leaving = listed(a="v1", b="v2")
    leaving["a"].state = "leaving"
    owned.sync_registered(leaving, 2, T0)
    assert reasons(register(owned, "r", "v1")) == [Reason.VERSION_GONE]


def test_waiting_stream_is_refused_once_its_version_leaves():
    """A stream waited on after the last upstream of its version had left."""
    owned = pool(a="v1", b="v2")
    for number in range(SLOTS):
        register(owned, f"full{number}", "v1")
    assert register(owned, "r", "v1") == []
    decisions = owned.sync_registered(listed(b="v2"), 2, T0 + 1)
    assert reasons(decisions) == [Reason.VERSION_GONE]


def test_stream_broken_within_its_response_is_refused_once_its_version_left():
    """A response stayed open although nothing could go on with it."""
    owned = pool(a="v1", b="v2")
    register(owned, "r", None)
    if owned.tracked_by_id["r"].granted:
        owned.sync_registered(listed(b="v2"), 2, T0 + 0.05)
    assert reasons(returned(owned, "r", "v1")) == [Reason.VERSION_GONE]


def test_waiting_request_keeps_its_version_when_labels_change():
    """A stream was granted another version after an upstream had joined."""
    owned = pool(a="v1", b="v2")
    for number in range(SLOTS):
        register(owned, f"full{number}", "v1")
    register(owned, "r", "v1")
    decisions = owned.sync_registered(listed(a="v1", b="v2", c="v2"), 2, T0 + 1)
    assert upstreams_of(decisions) == []
    decisions = owned.sync_registered(listed(a="v1", b="v2", d="v1"), 3, T0 + 2)
    assert upstreams_of(decisions) == ["d"]


@pytest.mark.parametrize(
    ("rules", "granted"),
    [
        (VersionRules("v1", "v2", "", 7), []),
        (VersionRules("v1", "", "v2", 7), []),
        (VersionRules("v2", "", "", 7), ["b"]),
    ],
    ids=["candidate", "reverted", "complete"],
)
def test_version_rules_hold_for_streams_taken_up(rules, granted):
    """A version got streams taken up beyond what its rollout allows."""
    owned = pool(a="v1", b="v2")
    owned.set_versions(rules, T0)
    assert upstreams_of(register(owned, "r", "v2")) == granted
