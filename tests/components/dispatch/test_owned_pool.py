"""Tests of the requests and labels that an owner tracks beside its scheduler."""

from typing import Any

from bitterntiller.components.config.models import Selector
from bitterntiller.components.dispatch import make_scheduler
from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.owned_pool import OwnedPool
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build

T0 = 1000.0


def pool(settled_at: float = T0) -> OwnedPool:
    made = OwnedPool(build.POOL, 1, make_scheduler("engine"), settled_at)
    made.configure(build.config(), T0)
    return made


def granted(decisions: list[Any]) -> list[str]:
    return [item.request_id for item in decisions if isinstance(item, Granted)]


def running_count(owned: OwnedPool, upstream: str) -> int:
    view = owned.scheduler.describe(T0)["upstreams_by_name"][upstream]
    return view["running"]


def test_lost_grant_is_repeated():
    """A request waited until its deadline beside an idle upstream.

    The grant was lost with a broken connection. The entry host registered the request
    again, and the owner ignored this since it tracked the id. The grant expired, and
    the request was never queued again.
    """
    owned = pool()
    owned.announce(build.announce("e1", 1), T0)
    assert granted(owned.register(build.register("r1"), "i1", T0)) == ["r1"]
    decisions = owned.register(build.register("r1"), "i1", T0 + 2.0)
    owned.announce(build.announce("e1", 1, sequence=2), T0 + 2.0)
    decisions += owned.tick(T0 + 4.0)
    decisions += owned.register(build.register("r1"), "i1", T0 + 4.0)
    decisions += owned.tick(T0 + 4.1)
    assert granted(decisions) == ["r1"]


def test_slot_of_a_lost_end_is_freed():
    """A slot of an engine stayed unused until the pool got another owner.

    The end of a request was lost with a broken connection. The entry host reports it
    only once, so the owner counted the request for ever.
    """
    owned = pool()
    owned.announce(build.announce("e1", 1), T0)
    owned.register(build.register("r1"), "i1", T0)
    owned.started("r1", T0)
    owned.register(build.register("r2"), "i1", T0 + 9.0)
    owned.announce(build.announce("e1", 1, sequence=2), T0 + 9.0)
    decisions = owned.retain_only("bole-1", frozenset({"r2"}), T0 + 9.0)
    assert granted(decisions) == ["r2"]
    assert set(owned.tracked_by_id) == {"r2"}


def test_live_list_keeps_new_requests_and_those_of_other_hosts():
    owned = pool()
    owned.register(build.register("other", host="yeka-1"), "i2", T0)
    owned.register(build.register("new"), "i1", T0 + 9.0)
    owned.retain_only("bole-1", frozenset(), T0 + 9.5)
    assert set(owned.tracked_by_id) == {"other", "new"}


def test_changed_selector_keeps_adopted_requests_running():
    """An engine got a second full load after an operator changed a selector.

    The owner had taken over running requests. When the selectors changed, it treated
    them as waiting, cancelled them and queued them again, so that their slots seemed
    free while the requests ran.
    """
    owned = pool()
    owned.announce(build.announce("e1", 1, zone="bole"), T0)
    owned.adopt_running(build.running("r1", "e1"), "i1", T0)
    selector = Selector({"zone": ("bole",)})
    decisions = owned.configure(build.config(2, selector), T0 + 1.0)
    assert granted(decisions) == []
    assert running_count(owned, "e1") == 1


def test_returned_request_follows_new_selectors():
    """A request was sent to an engine that a changed selector excludes.

    Its first grant had been returned unused, but the owner still treated the request as
    granted, and changed selectors do not apply to granted requests.
    """
    owned = pool()
    owned.announce(build.announce("e1", 1, zone="bole"), T0)
    owned.register(build.register("r1"), "i1", T0)
    returned = messages.Returned(
        request_id="r1",
        pool=build.POOL,
        upstream="e1",
        reason="refused-connection",
        still_waiting=True,
    )
    assert granted(owned.returned(returned, T0 + 0.1)) == []
    owned.configure(build.config(2, Selector({"zone": ("yeka",)})), T0 + 0.2)
    assert owned.tracked_by_id["r1"].request.upstream_names == frozenset()


def test_epoch_settles_before_the_first_grant():
    owned = pool(settled_at=T0 + 1.0)
    owned.announce(build.announce("e1", 4), T0)
    assert owned.register(build.register("r1"), "i1", T0 + 0.5) == []
    assert owned.tick(T0 + 0.9) == []
    assert granted(owned.tick(T0 + 1.0)) == ["r1"]


def test_waiting_requests_are_taken_over_together():
    """After a change of owner the only slot went to the lowest tier.

    The entry hosts registered their waiting requests with the new owner, the bronze
    request first. Queued one by one, it was granted before the gold one was registered,
    which then waited behind it, or could be shed while bronze requests were unknown.
    """
    owned = pool(settled_at=T0 + 1.0)
    owned.announce(build.announce("e1", 1), T0)
    owned.register(build.register("low", tier="bronze"), "i1", T0)
    owned.register(build.register("high", tier="gold"), "i1", T0)
    assert granted(owned.tick(T0 + 1.0)) == ["high"]


def silent_run() -> OwnedPool:
    """Return a pool in which the upstream e1 of r1 is silent, and e2 is granted."""
    owned = pool()
    owned.announce(build.announce("e1", 1), T0)
    owned.register(build.register("r1"), "i1", T0)
    owned.started("r1", T0)
    owned.announce(build.announce("e2", 1), T0)
    returned = build.returned("r1", "e1", "upstream-silent", waiting=True)
    assert granted(owned.returned(returned, T0 + 1.0)) == ["r1"]
    assert (running_count(owned, "e1"), running_count(owned, "e2")) == (0, 1)
    return owned


def resume(owned: OwnedPool) -> list[Any]:
    return owned.adopt_running(build.running("r1", "e1"), "i1", T0 + 1.5)


def test_request_that_goes_on_at_a_silent_upstream_takes_its_slot_again():
    owned = silent_run()
    assert granted(resume(owned)) == []
    assert (running_count(owned, "e1"), running_count(owned, "e2")) == (1, 0)


def test_unused_grant_does_not_free_the_slot_of_a_request_that_went_on():
    owned = silent_run()
    resume(owned)
    unused = build.returned("r1", "e2", "expired", waiting=False)
    owned.returned(unused, T0 + 1.6)
    assert running_count(owned, "e1") == 1


def test_grant_that_could_not_be_delivered_leaves_a_request_that_runs_on():
    """Its host has gone on with the silent upstream while the delivery failed."""
    owned = pool()
    owned.announce(build.announce("e1", 1), T0)
    owned.register(build.register("r1"), "i1", T0)
    owned.started("r1", T0)
    owned.returned(
        build.returned("r1", "e1", "upstream-silent", waiting=True), T0 + 1.0
    )
    owned.announce(build.announce("e2", 1), T0 + 1.1)
    owned.cancel("r1", T0 + 1.2)
    owned.adopt_running(build.running("r1", "e1"), "i1", T0 + 1.2)
    assert running_count(owned, "e1") == 1
    owned.drop_undelivered("r1", T0 + 1.5)
    assert running_count(owned, "e1") == 1
    assert "r1" in owned.tracked_by_id


def test_late_grant_of_the_same_upstream_leaves_a_request_that_runs_on():
    """Its host returns the grant, since the request runs on; that is no end of it."""
    owned = pool()
    owned.announce(build.announce("e1", 2), T0)
    owned.register(build.register("r1"), "i1", T0)
    owned.started("r1", T0)
    decisions = owned.returned(
        build.returned("r1", "e1", "upstream-silent", waiting=True), T0 + 1.0
    )
    assert granted(decisions) == ["r1"]
    owned.cancel("r1", T0 + 1.1)
    owned.adopt_running(build.running("r1", "e1"), "i1", T0 + 1.1)
    stale = build.returned("r1", "e1", "expired", waiting=False)
    owned.returned(stale, T0 + 1.2)
    assert running_count(owned, "e1") == 1
    assert "r1" in owned.tracked_by_id
