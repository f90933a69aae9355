"""Restart of an upstream under the same name."""

from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.prefix import PrefixIndex
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.dispatch.speed import EngineSpeed, PoolSpeed
from bitterntiller.components.dispatch.upstreams import Upstream

from .builders import completion, request, upstream

NOW = 1000.0
PREFIXES = (11, 22)


def grants(decisions) -> list[str]:
    return [decision.request_id for decision in decisions]


def test_slots_are_free_at_once_after_a_restart():
    """Requests wait although an upstream is idle after its restart.

    The upstream crashed and started again under its name. The requests that it ran
    before count as in flight until their entry hosts notice the lost response.
    """
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=1, sequence=50), NOW)
    assert grants(scheduler.register(request("a"), NOW)) == ["a"]
    scheduler.started("a", NOW)
    assert scheduler.register(request("b"), NOW) == []
    again = upstream(slots=1, incarnation=2)
    accepted, decisions = scheduler.announce(again, NOW + 1)
    assert (accepted, grants(decisions)) == (True, ["b"])
    scheduler.started("b", NOW + 1)
    assert scheduler.finished(completion("a", outcome="unknown"), NOW + 1.1) == []
    assert scheduler.register(request("c"), NOW + 1.2) == []


def test_speed_and_cached_prefixes_are_reset_by_a_restart():
    """A restarted upstream gets little work for seconds, and the wrong requests.

    It was slow and held prefixes before the crash; now it is fast and its cache empty.
    """
    pool = PoolSpeed()
    known = Upstream(upstream(), PolicyParameters(), pool, PrefixIndex(), NOW)
    known.speed.learn_decode(100, 100.0, 1)
    known.prefixes.add(PREFIXES, 100_000, NOW, (64, 128))
    learned = known.speed
    assert known.prefixes.cached_tokens(PREFIXES, 500, (64, 128))
    known.restart()
    assert known.speed is not learned
    assert known.speed.seconds_per_token(1) == EngineSpeed(pool).seconds_per_token(1)
    assert not known.prefixes.cached_tokens(PREFIXES, 500, (64, 128))
