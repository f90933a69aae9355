"""Failed paths between entry hosts and upstreams, which are not failed upstreams."""

import pytest

from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.paths.const import FIRST_PAUSE_SECONDS
from tests.components.dispatch import builders as build

NOW = 1000.0
CUT_OFF = "bole-1"
SOUND = "yeka-1"


def pool(*names: str, slots: int = 8) -> PoolScheduler:
    return build.registered_pool(*names, now=NOW, slots=slots)


def register(
    scheduler: PoolScheduler, request_id: str, host: str, now: float
) -> list[str]:
    request = build.request(request_id, entry_host=host, arrived=now, deadline=now + 30)
    return build.granted(scheduler.register(request, now))


def serve(scheduler: PoolScheduler, request_id: str, host: str, now: float) -> str:
    """Serve a request of a host at the upstream that it is granted to."""
    [name] = register(scheduler, request_id, host, now)
    scheduler.started(request_id, now)
    scheduler.finished(build.completion(request_id, name), now + 0.05)
    return name


@pytest.mark.parametrize("reason", ["refused-connection", "lost-answer"])
def test_failures_of_one_host_take_no_upstream_from_the_others(reason):
    """One host's failed connections made an upstream unhealthy for all hosts."""
    scheduler = pool("e1")
    for number in range(5):
        now = NOW + 0.4 * number
        assert serve(scheduler, f"s{number}", SOUND, now) == "e1"
        for again in range(3):
            name = f"c{number}-{again}"
            register(scheduler, name, CUT_OFF, now + 0.1)
            scheduler.returned(name, reason, False, now + 0.2)
        assert serve(scheduler, f"t{number}", SOUND, now + 0.3) == "e1"


def test_host_gets_other_upstreams_while_a_path_is_lost():
    """A host was granted the upstream again and again that it didn't reach."""
    scheduler = pool("e1", "e2")
    for number in range(8):
        serve(scheduler, f"s{number}", SOUND, NOW)
    [lost] = register(scheduler, "c", CUT_OFF, NOW + 0.1)
    scheduler.returned("c", "refused-connection", False, NOW + 0.1)
    found = {
        name
        for number in range(6)
        for name in register(scheduler, f"d{number}", CUT_OFF, NOW + 0.2)
    }
    assert found == {"e1", "e2"} - {lost}
    for number in range(6):
        scheduler.cancel(f"d{number}", NOW + 0.3)
    later = NOW + 0.1 + FIRST_PAUSE_SECONDS
    found = {
        name
        for number in range(6)
        for name in register(scheduler, f"e{number}", CUT_OFF, later)
    }
    assert lost in found


def test_restarted_upstream_is_granted_to_all_hosts_at_once():
    scheduler = pool("e1")
    serve(scheduler, "s", SOUND, NOW)
    register(scheduler, "c", CUT_OFF, NOW + 0.1)
    scheduler.returned("c", "refused-connection", False, NOW + 0.1)
    assert register(scheduler, "d", CUT_OFF, NOW + 0.2) == []
    scheduler.cancel("d", NOW + 0.2)
    scheduler.announce(build.upstream("e1", slots=8, incarnation=2), NOW + 0.3)
    assert register(scheduler, "e", CUT_OFF, NOW + 0.3) == ["e1"]


def test_upstream_that_no_host_reaches_is_unhealthy_for_all():
    """Each host kept trying an upstream that had ended."""
    scheduler = pool("e1")
    serve(scheduler, "s", SOUND, NOW)
    for number, host in enumerate((CUT_OFF, SOUND)):
        now = NOW + 0.1 + number / 10
        if register(scheduler, f"c{number}", host, now):
            scheduler.returned(f"c{number}", "refused-connection", False, now)
    assert register(scheduler, "other", "lideta-1", NOW + 0.3) == []
    assert scheduler.describe(NOW + 0.3)["upstreams_by_name"]["e1"]["sick"]


def test_grant_names_a_host_that_reaches_the_upstream():
    """Many hosts that were cut off searched for the only one that was not."""
    scheduler = pool("e1")
    serve(scheduler, "s", SOUND, NOW)
    [name] = register(scheduler, "c1", CUT_OFF, NOW + 0.1)
    scheduler.started("c1", NOW + 0.1)
    scheduler.finished(build.completion("c1", name, relay=SOUND), NOW + 0.2)
    request = build.request("c2", entry_host=CUT_OFF, arrived=NOW, deadline=NOW + 30)
    [grant] = scheduler.register(request, NOW + 0.3)
    assert grant.relays == (SOUND,)
    request = build.request("s2", entry_host=SOUND, arrived=NOW, deadline=NOW + 30)
    [grant] = scheduler.register(request, NOW + 0.3)
    assert grant.relays == ()


def test_broken_tunnel_blames_no_upstream():
    """Hosts between that were killed made an upstream unhealthy."""
    scheduler = pool("e1")
    for number in range(4):
        name = f"c{number}"
        register(scheduler, name, CUT_OFF, NOW)
        scheduler.started(name, NOW)
        end = build.completion(name, "e1", outcome="unknown", relay=SOUND)
        scheduler.finished(end, NOW + 0.1)
    assert not scheduler.describe(NOW + 0.2)["upstreams_by_name"]["e1"]["sick"]


def test_answer_to_an_earlier_request_does_not_regain_a_lost_path():
    """A host was granted an upstream again whose path it had lost meanwhile."""
    scheduler = pool("e1")
    register(scheduler, "c0", CUT_OFF, NOW)
    scheduler.started("c0", NOW)
    serve(scheduler, "s0", SOUND, NOW + 0.1)
    register(scheduler, "c1", CUT_OFF, NOW + 0.2)
    scheduler.returned("c1", "refused-connection", False, NOW + 0.2)
    scheduler.finished(build.completion("c0", "e1"), NOW + 0.3)
    assert register(scheduler, "c2", CUT_OFF, NOW + 0.3) == []
    assert serve(scheduler, "s1", SOUND, NOW + 0.3) == "e1"
