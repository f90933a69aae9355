"""Tests of timeouts that are derived from measured response times."""

import random

from bitterntiller.components.entry.response_times import MIN_RESPONSES, ResponseTimes

OBJECTIVE = 0.4


def observed_times(median: float, spread: float, answers: int = 400) -> ResponseTimes:
    rng = random.Random(1)
    times = ResponseTimes()
    for _ in range(answers):
        times.record("portal", median * rng.lognormvariate(0.0, spread))
    return times


def test_timeout_is_unknown_before_enough_responses():
    times = observed_times(0.07, 0.6, MIN_RESPONSES - 1)
    assert times.attempt_timeout("portal", OBJECTIVE) is None
    assert times.attempt_timeout("other", OBJECTIVE) is None


def test_timeout_leaves_time_for_another_upstream():
    times = observed_times(0.07, 0.6)
    attempt_timeout = times.attempt_timeout("portal", OBJECTIVE)
    assert 0.15 < attempt_timeout < 0.3
    assert attempt_timeout + times.p95_estimate("portal") < OBJECTIVE + 0.1


def test_timeout_grows_with_a_slow_service():
    """A service that slows down under load gets each request twice and slows more."""
    times = observed_times(0.07, 0.6)
    for _ in range(100):
        times.record("portal", 0.9)
    assert times.attempt_timeout("portal", OBJECTIVE) > 0.8
