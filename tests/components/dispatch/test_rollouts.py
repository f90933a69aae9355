"""Owned pools with upstreams of two versions during a rollout."""

from typing import Any

import pytest

from bitterntiller.components.dispatch import make_registered_scheduler
from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.owned_pool import OwnedPool
from bitterntiller.components.rollouts.const import CANARY_UPSTREAMS
from bitterntiller.components.rollouts.models import ANY_VERSION, VersionRules
from bitterntiller.protocol import messages
from tests.components.dispatch import messages_builders as build

T0 = 1000.0
CANDIDATE = VersionRules("v1", "v2", "", 7)
COMPLETE = VersionRules("v2", "", "", 7)
REVERTED = VersionRules("v1", "", "v2", 7)


def pool(rules: VersionRules = CANDIDATE, old: int = 2, new: int = 6) -> OwnedPool:
    owned = OwnedPool(build.POOL, 1, make_registered_scheduler("engine"), T0)
    owned.configure(build.config(), T0)
    for number in range(old):
        owned.announce(build.announce(f"old{number}", 4, version="v1"), T0)
    for number in range(new):
        owned.announce(build.announce(f"new{number}", 4, version="v2"), T0)
    owned.set_versions(rules, T0)
    return owned


def upstreams_of(decisions: list[Any]) -> list[str]:
    return [item.upstream for item in decisions if isinstance(item, Granted)]


def register(owned: OwnedPool, count: int, first: int = 0) -> list[Any]:
    decisions = []
    for number in range(first, first + count):
        decisions += owned.register(build.register(f"r{number}"), "i1", T0)
    return decisions


@pytest.mark.parametrize(
    ("rules", "used"),
    [
        (ANY_VERSION, {"old", "new"}),
        (CANDIDATE, {"old"}),
        (COMPLETE, {"new"}),
        (REVERTED, {"old"}),
    ],
    ids=["any", "candidate", "complete", "reverted"],
)
def test_only_allowed_versions_get_requests(rules, used):
    """A version gets requests although the version rules don't allow it."""
    granted = upstreams_of(register(pool(rules), 30))
    assert {name[:3] for name in granted} == used


def test_candidate_version_gets_only_its_allowance():
    """A candidate version that may be faulty gets more requests than allowed."""
    owned = pool()
    owned.renew_allowance(7, 5, T0 + 1, T0)
    granted = upstreams_of(register(owned, 40))
    assert sum(name.startswith("new") for name in granted) == 5
    assert owned.rollout.trial.exposed == 5
    assert owned.rollout.trial.reached == 40


def test_request_that_waited_at_another_owner_is_not_counted_again():
    """Each new owner counts waiting requests again, so that the allowance grows."""
    owned = pool()
    owned.register(build.register("r0", waited_ms=900), "i1", T0)
    owned.register(build.register("r1", waited_ms=10), "i1", T0)
    assert owned.rollout.trial.reached == 1


def test_allowance_of_another_rollout_is_not_used():
    owned = pool()
    owned.renew_allowance(6, 5, T0 + 1, T0)
    granted = upstreams_of(register(owned, 20))
    assert not any(name.startswith("new") for name in granted)


def test_paused_upstream_of_the_candidate_version_gets_no_request_of_that_host():
    """A host is granted, and returns again and again, what it may not send now."""
    owned = pool(new=1)
    paused = messages.UpstreamNotice(
        pool=build.POOL,
        upstream="new0",
        incarnation="1",
        entry_host=build.register("r0").entry_host,
        leaving=False,
        pause_ms=5000,
    )
    owned.apply_notice(paused, T0)
    owned.renew_allowance(7, 5, T0 + 1, T0)
    granted = upstreams_of(register(owned, 6))
    assert granted and "new0" not in granted


def test_few_upstreams_get_all_canary_requests():
    """A fault under load never shows, since no upstream of the new version is busy."""
    owned = pool()
    owned.renew_allowance(7, 4 * CANARY_UPSTREAMS, T0 + 1, T0)
    granted = upstreams_of(register(owned, 40))
    assert len({name for name in granted if name.startswith("new")}) == CANARY_UPSTREAMS


def test_new_allowance_grants_requests_while_the_old_version_is_full():
    """The new version is idle while requests wait for the full old version."""
    owned = pool(old=1)
    register(owned, 20)
    granted = upstreams_of(owned.renew_allowance(7, 6, T0 + 1, T0))
    assert len(granted) == 6
    assert all(name.startswith("new") for name in granted)


def test_retry_uses_the_allowance_again():
    """With retries a faulty version gets more requests than allowed."""
    owned = pool(old=1, new=3)
    owned.renew_allowance(7, 2, T0 + 1, T0)
    (grant,) = [item for item in register(owned, 1) if isinstance(item, Granted)]
    returned = messages.Returned(
        request_id="r0",
        pool=build.POOL,
        upstream=grant.upstream,
        reason="failed",
        still_waiting=True,
    )
    owned.returned(returned, T0)
    register(owned, 10, first=1)
    assert owned.rollout.trial.exposed == 2


def test_retried_failure_counts_against_the_version():
    """A version passes because retries hide its failures."""
    owned = pool()
    owned.rollout.trial.started_at = T0
    owned.renew_allowance(7, 1, T0 + 1, T0)
    register(owned, 1)
    owned.returned(
        messages.Returned(
            request_id="r0",
            pool=build.POOL,
            upstream="new0",
            reason="lost-answer",
            still_waiting=False,
        ),
        T0,
    )
    (counts,) = owned.rollout.trial.take_evidence().values()
    assert (counts.answered, counts.failed) == (1, 1)


@pytest.mark.parametrize(("complete", "used"), [(True, "new"), (False, "old")])
def test_verdict_takes_effect_before_the_next_heartbeat(complete, used):
    """Requests are sent to old upstreams that stopped when the rollout completed."""
    owned = pool()
    owned.renew_allowance(7, 5, T0 + 1, T0)
    owned.end_trial(7, complete, T0)
    assert {name[:3] for name in upstreams_of(register(owned, 20))} == {used}


def test_verdict_on_another_rollout_is_ignored():
    owned = pool()
    assert owned.end_trial(6, True, T0) == []
    assert {name[:3] for name in upstreams_of(register(owned, 20))} == {"old"}


def test_requests_on_the_old_version_still_run_after_a_verdict():
    """Running requests of a version that gets no more requests count as ended."""
    owned = pool()
    granted = upstreams_of(register(owned, 3))
    owned.set_versions(COMPLETE, T0)
    view = owned.scheduler.describe(T0)["upstreams_by_name"]
    assert sum(view[name]["running"] for name in set(granted)) == 3
