"""How long to wait for an answer, by the answers that came before."""

import random

from bitterntiller.components.entry.answer_times import LEAST_ANSWERS, AnswerTimes

OBJECTIVE = 0.4


def learned(median: float, spread: float, answers: int = 400) -> AnswerTimes:
    rng = random.Random(1)
    times = AnswerTimes()
    for _ in range(answers):
        times.note("portal", median * rng.lognormvariate(0.0, spread))
    return times


def test_nothing_is_known_of_a_service_at_first():
    times = learned(0.07, 0.6, LEAST_ANSWERS - 1)
    assert times.patience("portal", OBJECTIVE) is None
    assert times.patience("other", OBJECTIVE) is None


def test_call_is_repeated_while_another_upstream_can_be_in_time():
    times = learned(0.07, 0.6)
    patience = times.patience("portal", OBJECTIVE)
    assert 0.15 < patience < 0.3
    assert patience + times.usual("portal") < OBJECTIVE + 0.1


def test_service_that_turns_slow_is_waited_for():
    """A service under load would be sent everything twice, and turn slower still."""
    times = learned(0.07, 0.6)
    for _ in range(100):
        times.note("portal", 0.9)
    assert times.patience("portal", OBJECTIVE) > 0.8
