"""Upstreams that say in responses that they leave, or pause an entry host."""

import pytest

from bitterntiller.components.dispatch import make_scheduler
from bitterntiller.components.dispatch.models import NoticeUpdate
from bitterntiller.components.dispatch.owned_pool import OwnedPool
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.protocol import messages
from tests.components.dispatch import builders as build
from tests.components.dispatch import messages_builders as build_messages

NOW = 1000.0
HOST = "bole-1"
OTHER = "yeka-1"


def pool(*names: str, slots: int = 8) -> PoolScheduler:
    return build.registered_pool(*names, now=NOW, slots=slots)


def notice(
    upstream: str = "e1",
    leaving: bool = False,
    pause: float = 0.0,
    host: str = HOST,
    incarnation: str = "1",
) -> NoticeUpdate:
    return NoticeUpdate(upstream, incarnation, host, leaving, NOW + pause)


def grants(
    scheduler: PoolScheduler,
    count: int,
    now: float = NOW,
    host: str = HOST,
    name: str = "r",
) -> list[str]:
    """Return the upstreams that new requests of an entry host are granted to."""
    found: list[str] = []
    for number in range(count):
        request = build.request(
            f"{host}-{name}{number}", entry_host=host, arrived=now, deadline=now + 30
        )
        found += build.granted(scheduler.register(request, now))
    return found


def test_leaving_upstream_is_granted_to_no_host():
    scheduler = pool("e1", "e2")
    scheduler.apply_notice(notice(leaving=True), NOW)
    assert set(grants(scheduler, 4) + grants(scheduler, 4, host=OTHER)) == {"e2"}
    assert scheduler.describe(NOW)["upstreams_by_name"]["e1"]["leaving"]


def test_announcement_does_not_put_a_leaving_upstream_back_in_use():
    """Guards against an engine that says it leaves while it still announces ready."""
    scheduler = pool("e1", "e2")
    scheduler.apply_notice(notice(leaving=True), NOW)
    scheduler.announce(build.upstream("e1", slots=8, sequence=2), NOW + 1)
    assert set(grants(scheduler, 4, NOW + 1)) == {"e2"}


def test_new_process_of_an_upstream_is_neither_leaving_nor_paused():
    scheduler = pool("e1")
    scheduler.apply_notice(notice(leaving=True, pause=60), NOW)
    scheduler.announce(build.upstream("e1", slots=8, incarnation=2), NOW + 1)
    scheduler.apply_notice(notice(leaving=True, pause=60), NOW + 1)
    assert grants(scheduler, 1, NOW + 2) == ["e1"]


def test_pause_binds_the_host_that_got_it_alone():
    scheduler = pool("e1", "e2")
    scheduler.apply_notice(notice(pause=3), NOW)
    assert set(grants(scheduler, 4)) == {"e2"}
    assert "e1" in grants(scheduler, 4, host=OTHER)


def test_pause_ends():
    scheduler = pool("e1")
    scheduler.apply_notice(notice(pause=3), NOW)
    assert grants(scheduler, 1, NOW + 2.9) == []
    assert build.granted(scheduler.tick(NOW + 3.3)) == ["e1"]


def test_requests_that_wait_behind_a_paused_host_are_granted():
    """Guards against a host's pause that holds up the requests of all hosts."""
    scheduler = pool("e1", slots=1)
    assert grants(scheduler, 1, host=OTHER) == ["e1"]
    waiting = grants(scheduler, 2) + grants(scheduler, 1, host=OTHER, name="w")
    assert waiting == []
    scheduler.apply_notice(notice(pause=20), NOW)
    done = build.completion(f"{OTHER}-r0", "e1")
    assert build.granted(scheduler.finished(done, NOW + 1)) == ["e1"]


def test_grant_returned_for_a_pause_goes_elsewhere_without_blame():
    scheduler = pool("e1", "e2")
    first_by_id = {}
    for number in range(8):
        (first,) = grants(scheduler, 1, name=f"r{number}-")
        first_by_id[f"{HOST}-r{number}-0"] = first
    for request_id, first in first_by_id.items():
        again = scheduler.returned(request_id, "upstream-paused", True, NOW + 0.1)
        assert build.granted(again) == [name for name in ("e1", "e2") if name != first]
    upstreams = scheduler.describe(NOW)["upstreams_by_name"].values()
    assert not any(upstream["sick"] for upstream in upstreams)


@pytest.mark.parametrize("announced_first", [True, False])
def test_new_owner_receives_departures_and_upstreams_in_any_order(announced_first):
    made = OwnedPool(build_messages.POOL, 2, make_scheduler("engine"), NOW)
    made.configure(build_messages.config(), NOW)
    said = messages.UpstreamNotice(
        pool=build_messages.POOL,
        upstream="e1",
        incarnation="1",
        entry_host=HOST,
        leaving=True,
        pause_ms=0,
    )
    steps = [
        lambda: made.announce(build_messages.announce("e1", 4), NOW),
        lambda: made.apply_notice(said, NOW),
    ]
    for step in steps if announced_first else reversed(steps):
        step()
    assert made.scheduler.describe(NOW)["upstreams_by_name"]["e1"]["leaving"]


def test_pauses_are_in_the_state_and_logged():
    scheduler = pool("e1")
    scheduler.take_events()
    scheduler.apply_notice(notice(pause=3), NOW)
    state = scheduler.describe(NOW + 1)["upstreams_by_name"]["e1"]
    assert state["paused_seconds_by_host"] == {HOST: 2.0}
    (event,) = scheduler.take_events()
    assert (event.change, event.entry_host, event.paused_for) == ("paused", HOST, 3.0)
