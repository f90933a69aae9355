"""Tests of the progression of a rollout."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bitterntiller.components.rollouts.models import Counts, Phase
from bitterntiller.components.rollouts.progression import (
    Progress,
    completion_time,
    most_exposed,
    next_step,
)
from bitterntiller.components.settings.models import RolloutBounds
from tests.components.rollouts.builders import evidence

BOUNDS = RolloutBounds()
GOOD = evidence(Counts(answered=4), Counts(answered=60, failed=1))
BAD = evidence(Counts(answered=4, failed=3), Counts(answered=60, failed=1))
DOUBTFUL = evidence(
    Counts(answered=5, failed=1), Counts(answered=60, failed=1), seconds=2
)


def progress(elapsed, duration=12.0, reached=400, counts=GOOD):
    return Progress(elapsed, duration, reached, 3, counts)


@given(
    st.floats(1.0, 600.0),
    st.floats(0.0, 1.0),
    st.integers(0, 200_000),
    st.floats(0.0, 1.0),
    st.integers(0, 1000),
)
def test_exposure_is_within_its_bound_at_any_moment(
    duration, part, reached, fraction, tolerance
):
    """A bad version gets more than its part while it is judged."""
    bounds = RolloutBounds(fraction, tolerance)
    most = most_exposed(progress(part * duration, duration, reached), bounds)
    assert 0 <= most <= fraction * reached + tolerance


@pytest.mark.parametrize("rate", [3, 30, 200, 600])
@pytest.mark.parametrize("duration", [6.0, 12.0, 30.0])
def test_bound_holds_even_if_a_bad_version_is_completed(rate, duration):
    """A bad version that is not detected exceeds the bound by the time limit."""
    until = completion_time(duration)
    before = most_exposed(progress(until, duration, int(rate * until)), BOUNDS)
    after = rate * (duration - until)
    assert before + after <= BOUNDS.fraction * rate * duration + BOUNDS.tolerance


@pytest.mark.parametrize("rate", [3, 30, 200])
def test_exposure_suffices_for_the_analysis(rate):
    """The candidate gets too few requests to be found good."""
    until = completion_time(12.0)
    assert most_exposed(progress(until, 12.0, int(rate * until)), BOUNDS) >= 24


def test_bad_version_is_reverted_immediately():
    assert next_step(progress(1.0, counts=BAD)).phase is Phase.REVERTED


def test_good_version_is_completed_within_the_time_limit():
    assert next_step(progress(completion_time(12.0) - 0.1)) is None
    step = next_step(progress(completion_time(12.0)))
    assert step.phase is Phase.COMPLETE
    assert completion_time(12.0) < 12.0


@pytest.mark.parametrize("counts", [{}, DOUBTFUL], ids=["no responses", "in doubt"])
def test_version_without_enough_evidence_is_reverted(counts):
    """A version with hardly any responses gets all requests."""
    assert next_step(progress(6.0, counts=counts)) is None
    step = next_step(progress(completion_time(12.0), counts=counts))
    assert step.phase is Phase.REVERTED
