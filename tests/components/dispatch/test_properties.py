"""Invariants of the scheduler in random runs: tiers, one decision each, limits."""

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from bitterntiller.components.dispatch import REGISTERED_PARAMETERS

from .checker import LIMITED, SILENCE, Checker

SEEDED = settings(
    phases=[Phase.explicit, Phase.generate],
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
RANKS = st.integers(0, 2)
NAMES = st.sampled_from([None, frozenset({"e0"}), frozenset({"e0", "e1"})])
ARRIVAL = st.tuples(
    st.just("arrive"),
    RANKS,
    st.sampled_from([20, 100, 400]),
    st.sampled_from([0.5, 3.0, 10.0, 30.0]),
    NAMES,
    st.sampled_from(["foresters", "research", LIMITED]),
)
BURST = st.tuples(st.just("burst"), RANKS, st.integers(5, 30))
EVENT = st.one_of(
    ARRIVAL,
    BURST,
    st.tuples(st.just("cancel"), st.integers(0, 99)),
    st.tuples(
        st.just("return"),
        st.integers(0, 99),
        st.sampled_from(["expired", "not-admitted", "refused-connection"]),
    ),
    st.tuples(st.just("slow"), st.integers(0, 2), st.sampled_from([1.0, 5.0])),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(0, 2)),
    st.tuples(st.just("failover")),
    st.tuples(st.just("advance"), st.sampled_from([0.1, 1.0, 4.0])),
)


def play(checker: Checker, event: tuple) -> None:
    """Apply one event to the simulation."""
    match event:
        case ("arrive", rank, output, seconds, names, workspace):
            checker.register(
                tier_rank=rank,
                output_tokens=output,
                deadline=checker.now + seconds,
                upstream_names=names,
                workspace=workspace,
            )
        case ("burst", rank, count):
            for _ in range(count):
                checker.register(
                    tier_rank=rank, output_tokens=200, deadline=checker.now + 14.0
                )
        case ("objective", rank, count, objective, patience):
            for number in range(count):
                checker.register(
                    tier_rank=rank,
                    prompt_tokens=1500 if number % 4 == 0 else 200,
                    output_tokens=40,
                    first_by=checker.now + objective,
                    start_by=checker.now + patience,
                    deadline=checker.now + 14.0,
                )
        case ("cancel", index):
            checker.cancel(index)
        case ("return", index, reason):
            checker.give_back(index, reason)
        case ("slow", index, factor):
            checker.slow_down(index, factor)
        case ("leave", index):
            checker.leave(index)
        case ("restart", index):
            checker.restart(index)
        case ("failover",):
            checker.fail_over()
        case ("advance", seconds):
            checker.advance(seconds)


@settings(SEEDED, max_examples=40)
@given(
    st.lists(st.integers(1, 4), min_size=1, max_size=3),
    st.lists(EVENT, min_size=10, max_size=40),
)
def test_promises_hold_at_every_step(slots, events):
    checker = Checker(slots)
    for event in events:
        play(checker, event)
    checker.advance(35.0)
    assert not checker.waiting_by_id, "what waited got no answer by its deadline"


ROUTED_EVENT = st.one_of(
    st.tuples(
        st.just("objective"),
        RANKS,
        st.integers(1, 20),
        st.sampled_from([0.3, 1.0]),
        st.sampled_from([2.0, 5.0]),
    ),
    st.tuples(st.just("cancel"), st.integers(0, 99)),
    st.tuples(st.just("slow"), st.integers(0, 2), st.sampled_from([1.0, 5.0])),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("restart"), st.integers(0, 2)),
    st.tuples(st.just("advance"), st.sampled_from([0.1, 0.5, 1.0, 4.0])),
)


@settings(SEEDED, max_examples=60)
@given(
    st.lists(st.integers(1, 4), min_size=1, max_size=3),
    st.lists(ROUTED_EVENT, min_size=10, max_size=40),
)
def test_promises_hold_for_requests_with_objectives(slots, events):
    checker = Checker(slots, REGISTERED_PARAMETERS._replace(silence_seconds=SILENCE))
    for event in events:
        play(checker, event)
    checker.advance(35.0)
    assert not checker.waiting_by_id, "what waited got no answer by its deadline"


def test_overload_of_three_tiers_is_shed_from_the_lowest():
    """A burst of the top tier arrives while lower tiers wait already.

    If the newest or the oldest request were shed, callers of the top tier would be
    refused although less important requests still wait.
    """
    checker = Checker([2, 2])
    for rank in (2, 1, 0):
        play(checker, ("burst", rank, 30))
    checker.advance(12.0)
    ranks = [waiting.tier_rank for waiting, _ in checker.refused]
    assert ranks
    assert checker.grants > 4
    assert ranks[:25] == [2] * 25
