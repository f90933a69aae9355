"""Pools in states that keep a request from an upstream, and a load on a pool."""

import random
from collections.abc import Callable

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS
from bitterntiller.components.dispatch.models import (
    DEFAULT_PARAMETERS,
    Decision,
    Granted,
    NoticeUpdate,
    PolicyParameters,
    RateLimitUpdate,
)
from bitterntiller.components.dispatch.scheduler import PoolScheduler
from bitterntiller.components.rollouts.models import VersionRules
from tests.components.dispatch import builders as build

NOW = 1000.0
Change = Callable[[PoolScheduler], object]


def pool(parameters: PolicyParameters = REGISTERED_PARAMETERS) -> PoolScheduler:
    """Return a pool of two free engines of different versions."""
    scheduler = PoolScheduler(parameters)
    for name, version in (("e1", "v1"), ("e2", "v2")):
        labels = {"version": version}
        scheduler.announce(build.upstream(name, labels=labels, kv_tokens=5000), NOW)
    return scheduler


def announce(**changes: object) -> Change:
    """Return a change of what e1 announces."""
    state = build.upstream("e1", sequence=2, labels={"version": "v1"})
    return lambda scheduler: scheduler.announce(state._replace(**changes), NOW)


def pause(scheduler: PoolScheduler) -> None:
    """Let e1 ask the host of all requests for a pause."""
    scheduler.apply_notice(NoticeUpdate("e1", "1", "bole-1", False, NOW + 5), NOW)


def limit_rate(scheduler: PoolScheduler) -> None:
    """Let e1 state a rate limit, whose bucket begins empty."""
    scheduler.update_rate_limit(RateLimitUpdate("e1", "1", 1.0, NOW), NOW)


def set_versions(scheduler: PoolScheduler) -> None:
    """Let only the version of e2 serve."""
    scheduler.set_versions(VersionRules(serving="v2"), None, NOW)


def fail(reason: str) -> Change:
    """Return a change in which e1 fails a request in a way that needs no second one."""

    def change(scheduler: PoolScheduler) -> None:
        occupy(1, tried=("e2",))(scheduler)
        scheduler.returned("busy0", reason, False, NOW)

    return change


def occupy(count: int, **changes: object) -> Change:
    """Return a change in which e1 runs requests whose prefill is done."""

    def change(scheduler: PoolScheduler) -> None:
        for number in range(count):
            request = build.request(f"busy{number}", tried=("e2",))._replace(**changes)
            assert build.granted(scheduler.register(request, NOW)) == ["e1"]
            scheduler.started(request.request_id, NOW)
            if request.prompt_tokens < 4000:
                scheduler.progress(request.request_id, 1, NOW)

    return change


def decisions_under_load(ask: bool, upstreams: int, seed: int) -> list[Decision]:
    """Return the decisions on a random load, with queries between all calls or not."""
    rng = random.Random(seed)
    scheduler = PoolScheduler(DEFAULT_PARAMETERS._replace(uneven="on"))
    for number in range(upstreams):
        scheduler.announce(build.upstream(f"e{number}", slots=3), NOW)
    scheduler.update_rate_limit(RateLimitUpdate("e0", "1", 2.5, NOW), NOW)
    found: list[Decision] = []
    running: list[Granted] = []
    for number in range(400):
        now = NOW + 0.02 * number
        request = build.request(
            f"r{number}",
            workspace=f"w{rng.randrange(4)}",
            tier_rank=rng.randrange(3),
            prompt_tokens=rng.choice((100, 900, 6000)),
            arrived=now,
            deadline=now + rng.choice((0.3, 2.0, 20.0)),
        )
        decisions = scheduler.register(request, now)
        if running and rng.random() < 0.5:
            grant = running.pop(rng.randrange(len(running)))
            end = build.completion(grant.request_id, grant.upstream, total=0.4)
            decisions += scheduler.finished(end, now)
        decisions += scheduler.tick(now)
        running += [item for item in decisions if isinstance(item, Granted)]
        found += decisions
        before = _dump(scheduler, now)
        if ask:
            other = request._replace(upstream_names=frozenset({"e1"}), tier_rank=7)
            for asked in (request, other):
                scheduler.explain_placement(asked, now)
        assert _dump(scheduler, now) == before
    return found


def _dump(scheduler: PoolScheduler, now: float) -> dict:
    """Return the state dump without the times to retry, which are drawn at random."""
    found = scheduler.describe(now)
    for tier in found["tiers_by_rank"].values():
        del tier["retry_after"]
    return found
