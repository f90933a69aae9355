"""How long to wait for an answer, by the answers that came before."""

import random

from bitterntiller.components.entry.response_times import MIN_RESPONSES, ResponseTimes

OBJECTIVE = 0.4


def learned(median: float, spread: float, answers: int = 400) -> ResponseTimes:
    rng = random.Random(1)
    times = ResponseTimes()
    for _ in range(answers):
        times.note("portal", median * rng.lognormvariate(0.0, spread))
    return times


def test_nothing_is_known_of_a_service_at_first():
    times = learned(0.07, 0.6, MIN_RESPONSES - 1)
    assert times.attempt_timeout("portal", OBJECTIVE) is None
    assert times.attempt_timeout("other", OBJECTIVE) is None


def test_call_is_repeated_while_another_upstream_can_be_in_time():
    times = learned(0.07, 0.6)
    attempt_timeout = times.attempt_timeout("portal", OBJECTIVE)
    assert 0.15 < attempt_timeout < 0.3
    assert attempt_timeout + times.p95_estimate("portal") < OBJECTIVE + 0.1


def test_service_that_turns_slow_is_waited_for():
    """A service under load would be sent everything twice, and turn slower still."""
    times = learned(0.07, 0.6)
    for _ in range(100):
        times.note("portal", 0.9)
    assert times.attempt_timeout("portal", OBJECTIVE) > 0.8
