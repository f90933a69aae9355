"""The control state: command sequences, with and without a disabled check."""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from bitterntiller.components.control import claims
from bitterntiller.components.control.const import MAX_CONFIG_DEPTH
from bitterntiller.components.control.state import ControlState
from bitterntiller.components.control.validate import find_change_error
from bitterntiller.protocol import messages

from .builders import apply, make_change, make_claim, make_document
from .mutations import STATE_MUTATIONS
from .state_rules import ControlStateRules, small_table

FIXED = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


def test_sequences_of_commands():
    run_state_machine_as_test(ControlStateRules, settings=FIXED)


def test_sequences_with_a_full_table_of_change_ids():
    with small_table():
        run_state_machine_as_test(ControlStateRules, settings=FIXED)


@pytest.mark.parametrize("mutation", STATE_MUTATIONS, ids=lambda item: item.__name__)
def test_mutation_is_detected(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises(AssertionError), small_table():
        run_state_machine_as_test(ControlStateRules, settings=FIXED)


def test_resent_change_after_its_outcome_was_dropped():
    """
    The reply to an accepted change is lost, and the operator resends the change weeks
    later, when its outcome is no longer stored. A conflict would wrongly report that
    the change was rejected, so the reply is expired-id.
    """
    state = ControlState()
    change = make_change("c1", 0, make_document("llm"))
    assert apply(state, 1, time_ms=10, change=change).change.status == "accepted"
    result = apply(state, 2, time_ms=99, changes_ms=50, change=change).change
    assert (result.status, result.version) == ("expired-id", 1)
    other = make_change("c2", 1, make_document("map"))
    assert apply(state, 3, time_ms=99, change=other).change.status == "accepted"


def test_claims_are_dropped_by_age_only(monkeypatch):
    """
    Callers use more keys than can be stored. A claim that has not expired must not be
    evicted, or a copy of its request would run again: the new request is rejected.
    """
    monkeypatch.setattr(claims, "MAX_CLAIMS_PER_WORKSPACE", 1)
    state = ControlState()

    def take(index, key, **fields):
        return apply(state, index, claims=[make_claim(key=key)], **fields).claims[0]

    assert take(1, "k1", time_ms=10).status == "taken"
    assert take(2, "k2", time_ms=20).status == "full"
    assert take(3, "k2", time_ms=30, claims_ms=11).status == "taken"
    assert list(state.claims.records_by_key) == [("foresters", "k2")]


@pytest.mark.parametrize("levels", [MAX_CONFIG_DEPTH + 1, 500, 900, 977])
@pytest.mark.parametrize("number", [None, 8])
def test_deeply_nested_configuration_is_never_applied(levels, number):
    """A committed entry that can't be applied ends every control host for good."""
    state = ControlState()
    config = b'{"a":' * levels + b"1" + b"}" * levels
    change = messages.Change("c1", 0, config, number)
    assert find_change_error(change, lambda document, version: None)
    assert apply(state, 1, change=change).change.status == "invalid"
    assert state.configuration.version == 0


def test_configuration_of_the_greatest_depth_is_applied_and_restored():
    levels = MAX_CONFIG_DEPTH
    config = b'{"a":' * levels + b"1" + b"}" * levels
    change = messages.Change("c1", 0, config, 8)
    assert find_change_error(change, lambda document, version: None) == ""
    state = ControlState()
    assert apply(state, 1, change=change).change.status == "accepted"
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.configuration.text == config


def test_first_number_zero_is_applied_also_after_a_snapshot():
    """A first configuration numbered 0 was accepted without effect."""
    state = ControlState()
    state.restore(ControlState().snapshot())
    change = messages.Change("c1", 0, b'{"a":1}', 0)
    assert apply(state, 1, change=change).change.version == 1
    restored = ControlState()
    restored.restore(state.snapshot())
    repeated = messages.Change("c1", 0, b'{"a":2}', 0)
    assert apply(restored, 2, change=repeated).change.version == 1
