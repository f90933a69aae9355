"""Tests of what an owner keeps beside its scheduler."""

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


def test_grant_that_was_lost_is_given_again():
    """A request waits until its deadline beside an idle upstream.

    The connection breaks with the grant on it. The entry host registers the
    request anew, and the owner drops the repetition since it tracks the id.
    The grant lapses, and nothing brings the request back into the queue.
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


def test_end_that_was_lost_frees_the_slot():
    """A slot of an engine stays unused until the pool gets another owner.

    The message that a request has ended is lost with a broken connection. The
    entry host tells it only once, so the owner counts the request for ever.
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


def test_list_of_one_host_leaves_what_is_new_or_another_hosts():
    owned = pool()
    owned.register(build.register("other", host="yeka-1"), "i2", T0)
    owned.register(build.register("new"), "i1", T0 + 9.0)
    owned.retain_only("bole-1", frozenset(), T0 + 9.5)
    assert set(owned.tracked_by_id) == {"other", "new"}


def test_new_labels_leave_adopted_work_where_it_runs():
    """An engine gets a second full load after an operator changes a selector.

    The owner took over running requests. It takes them for waiting ones when
    the selectors change, withdraws them and queues them again, so that their
    slots seem free while the work goes on.
    """
    owned = pool()
    owned.announce(build.announce("e1", 1, zone="bole"), T0)
    owned.adopt_running(build.running("r1", "e1"), "i1", T0)
    selector = Selector({"zone": ("bole",)})
    decisions = owned.configure(build.config(2, selector), T0 + 1.0)
    assert granted(decisions) == []
    assert running_count(owned, "e1") == 1


def test_returned_request_follows_new_selectors():
    """A request goes to an engine that a changed selector has excluded.

    Its first grant was returned unused, and the owner still takes it for a
    granted one, which selectors do not touch.
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


def test_waiting_work_is_taken_over_together():
    """After a change of owner the only slot goes to the lowest tier.

    The entry hosts tell a new owner what waits, the bronze request first. Taken
    one by one it was granted before the owner had heard of the gold one, which
    then waited behind it, or could be shed while bronze work was not yet known.
    """
    owned = pool(settled_at=T0 + 1.0)
    owned.announce(build.announce("e1", 1), T0)
    owned.register(build.register("low", tier="bronze"), "i1", T0)
    owned.register(build.register("high", tier="gold"), "i1", T0)
    assert granted(owned.tick(T0 + 1.0)) == ["high"]
