"""Upstreams that fail a part of their requests."""

from bitterntiller.components.dispatch.health import Health
from bitterntiller.components.dispatch.models import PolicyParameters
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0


def test_upstream_that_fails_a_part_gets_less_of_the_work():
    """One call in four fails all day beside two upstreams that fail none.

    An upstream fails one call in four, and answers the others a little faster than the
    sound ones; three failures in a row are rare, so it is never taken for sick.
    """
    scheduler = PoolScheduler(PolicyParameters(kind="plain"))
    names = ("grey", "sound-1", "sound-2")
    granted = dict.fromkeys(names, 0)
    for number in range(400):
        now = NOW + number * 0.05
        for name in names:
            scheduler.announce(upstream(name, sequence=number + 1), now)
        asked = request(f"r{number}", prompt_tokens=0, arrived=now, deadline=now + 1)
        [grant] = scheduler.register(asked, now)
        granted[grant.upstream] += 1
        scheduler.started(asked.request_id, now)
        fails = grant.upstream == "grey" and granted["grey"] % 4 == 0
        seconds = 0.03 if grant.upstream == "grey" else 0.035
        done = completion(
            asked.request_id,
            grant.upstream,
            outcome="failed" if fails else "done",
            output_tokens=0,
            first_token=None,
            total=seconds,
        )
        scheduler.finished(done, now + seconds)
    assert granted["grey"] < 100
    assert granted["grey"] >= 2


def test_part_of_failures_is_forgotten_without_answers():
    """An upstream that has recovered gets no work again, as nobody finds it out."""
    health = Health()
    for number in range(40):
        if number % 2:
            health.success(NOW)
        else:
            health.failure(NOW)
    assert 0.4 < health.failing(NOW) < 0.6
    assert health.failing(NOW + 60) < 0.01
