"""Tests of the rollouts in control's replicated state."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.control.state import ControlState
from bitterntiller.components.rollouts.const import DUPLICATE_ORDER_SECONDS
from bitterntiller.components.rollouts.models import Counts, Phase
from bitterntiller.components.rollouts.progression import Progress, most_exposed
from bitterntiller.components.settings.models import RolloutBounds
from bitterntiller.protocol import messages
from tests.components.control.builders import apply
from tests.components.rollouts.builders import POOL, order, registered, report, step

REPEAT_MS = int(DUPLICATE_ORDER_SECONDS * 1000)


def ordered(to="v2"):
    """Return a state in which v1 serves and a rollout to v2 or another is active."""
    state = ControlState()
    apply(state, 1, upstreams=[registered("e1", "v1")], settle_versions=True)
    assert apply(state, 2, rollout=order(to)).rollout.status == "accepted"
    return state


def allowed(state, **fields):
    return apply(state, 9, rollout_report=report(2, **fields)).rollout_report.allowed


def test_repeated_order_starts_no_second_rollout():
    """A retried order whose reply was lost starts a second rollout, or is refused."""
    state = ordered()
    again = apply(state, 3, rollout=order()).rollout
    assert (again.status, again.number) == ("accepted", 2)
    apply(state, 4, rollout_step=step(2, "reverted"))
    again = apply(state, 5, time_ms=REPEAT_MS, rollout=order()).rollout
    assert (again.status, again.number, again.phase) == ("accepted", 2, "reverted")


def test_reverted_version_may_be_ordered_again_later():
    state = ordered()
    apply(state, 4, rollout_step=step(2, "reverted"))
    again = apply(state, 5, time_ms=REPEAT_MS + 1, rollout=order()).rollout
    assert (again.status, again.number, again.phase) == ("accepted", 5, "judged")


def test_order_during_another_rollout_of_the_service_is_refused():
    state = ordered()
    refused = apply(state, 3, rollout=order("v3")).rollout
    assert refused.status == "conflict"
    assert "to v2 is under way" in refused.text
    assert apply(state, 4, rollout=order("v3", "trees")).rollout.status == "accepted"


def test_order_of_the_serving_version_is_refused():
    state = ControlState()
    apply(state, 1, upstreams=[registered("e1", "v1")], settle_versions=True)
    assert apply(state, 2, rollout=order("v1")).rollout.status == "invalid"


def test_late_verdict_is_ignored():
    """A deposed leader's verdict overrides the next one's, or hits the next order."""
    state = ordered()
    apply(state, 3, rollout_step=step(2, "complete"))
    apply(state, 4, rollout_step=step(2, "reverted"))
    assert state.rollouts.find(POOL).phase == Phase.COMPLETE
    apply(state, 5, rollout=order("v3"))
    apply(state, 6, rollout_step=step(2, "reverted"))
    assert state.rollouts.find(POOL).phase == Phase.JUDGED


@pytest.mark.parametrize(
    ("phase", "serving", "runs"),
    [
        ("", "v1", {"v1", "v2"}),
        ("complete", "v2", {"v2"}),
        ("reverted", "v1", {"v1"}),
    ],
)
def test_only_allowed_versions_run(phase, serving, runs):
    """A version gets requests although the version rules don't allow it."""
    state = ordered()
    if phase:
        apply(state, 3, rollout_step=step(2, phase))
    rules = state.rollouts.rules(POOL)
    assert rules.serving == serving
    assert {
        version for version in ("v1", "v2", "v9", "") if rules.may_run(version)
    } == (runs)


def test_version_without_an_order_gets_no_requests():
    """Upstreams of a new version get requests before its rollout is ordered."""
    state = ControlState()
    apply(state, 1, upstreams=[registered("e1", "v1")], settle_versions=True)
    apply(state, 2, upstreams=[registered("e2", "v2")], settle_versions=True)
    assert not state.rollouts.rules(POOL).may_run("v2")


def test_service_whose_upstreams_changed_version_without_an_order_is_served():
    """A service is unavailable although upstreams of an unordered version are ready."""
    state = ControlState()
    apply(state, 1, upstreams=[registered("e1", "v1")], settle_versions=True)
    apply(state, 2, upstreams=[registered("e2", "v2")], settle_versions=True)
    gone = registered("e1", "v1", "gone")
    apply(state, 3, upstreams=[gone], settle_versions=True)
    assert state.rollouts.rules(POOL).serving == "v2"


def test_reverted_version_does_not_serve_even_if_it_is_the_only_one_left():
    """A reverted version gets requests when all upstreams of the old version crash."""
    state = ordered()
    apply(state, 3, upstreams=[registered("e2", "v2")], settle_versions=True)
    apply(state, 4, rollout_step=step(2, "reverted"))
    silent = registered("e1", "v1", "silent")
    apply(state, 5, upstreams=[silent], settle_versions=True)
    assert not state.rollouts.rules(POOL).may_run("v2")
    assert state.rollouts.rules(POOL).may_run("v1")


def test_any_version_serves_without_ordered_only():
    state = ControlState()
    apply(state, 1, upstreams=[registered("e1", "v1"), registered("e2", "v2")])
    rules = state.rollouts.rules(POOL)
    assert rules.may_serve("v1")
    assert rules.may_serve("v2")


def test_snapshot_keeps_orders_evidence_and_allowances():
    """An order or an allowance is lost in a restart."""
    state = ordered()
    item = messages.EvidenceItem(
        second=1, route="r", upstream="n1", counts=[3, 1, 0, 0, 0, 0]
    )
    allowed(state, reached=100, exposed=5, cap=8, evidence=[item])
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    known = restored.rollouts.by_service[POOL]
    assert (known.number, known.allotted, known.exposed) == (2, 8, 5)
    assert list(known.counts_by_cell().values()) == [Counts(3, 1, 0, 0, 0, 0)]


def test_snapshot_without_rollouts_restores_none():
    state = ordered()
    earlier = ControlState().snapshot().replace(b"rollouts", b"elsewise")
    state.restore(earlier)
    assert state.rollouts.find(POOL).status == "absent"


def test_repeated_report_counts_once():
    state = ordered()
    for _ in range(3):
        allowed(state, reached=100, exposed=5)
    assert state.rollouts.by_service[POOL].reached == 100


def test_report_after_the_verdict_gets_no_allowance():
    state = ordered()
    apply(state, 3, rollout_step=step(2, "reverted"))
    assert allowed(state, reached=1000, cap=100) == 0


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 400), st.integers(0, 12_000)),
        max_size=40,
    )
)
def test_owners_together_are_allowed_no_more_than_the_bound(reports):
    """Two owners, or two leaders, each give the whole of what is left."""
    bounds = RolloutBounds()
    state = ordered()
    rollout = state.rollouts.by_service[POOL]
    reached = dict.fromkeys("abc", 0)
    for owner, more, elapsed_ms in reports:
        reached[owner] += more
        progress = Progress(elapsed_ms / 1000, 12.0, rollout.reached, 0, {})
        cap = most_exposed(progress, bounds)
        allowed(state, owner=owner, reached=reached[owner], cap=cap)
        total = sum(reached.values())
        assert rollout.allotted <= bounds.fraction * total + bounds.tolerance
