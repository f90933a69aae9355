"""Estimates for requests that state far more output than they use."""

from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
STATED = 500
"""By the initial speed estimate these tokens take longer than the deadline of 12 s."""


def new_scheduler() -> PoolScheduler:
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=16), NOW)
    return scheduler


def ask(scheduler: PoolScheduler, name: str, now: float) -> list:
    asked = request(name, output_tokens=STATED, arrived=now, deadline=now + 12)
    return scheduler.register(asked, now)


def test_new_owner_does_not_expect_all_of_the_stated_output():
    """Callers get 503 for some seconds after each change of owners, with idle engines.

    They state the maximum output that they allow, or tokens where an event of a stream
    holds several. The new owner has seen no response yet and expects all of it.
    """
    scheduler = new_scheduler()
    asked = [ask(scheduler, name, NOW)[0] for name in ("a", "b", "c")]
    assert [type(decision) for decision in asked] == [Granted] * 3


def test_first_responses_correct_the_expected_output():
    """Refusals last for dozens of responses if each changes the estimate little."""
    scheduler = new_scheduler()
    for number in range(3):
        now = NOW + 0.6 * number
        ask(scheduler, f"r{number}", now)
        scheduler.started(f"r{number}", now)
        done = completion(f"r{number}", output_tokens=STATED // 10, total=0.5)
        scheduler.finished(done, now + 0.5)
    [granted] = ask(scheduler, "next", NOW + 2)
    assert granted.basis.expected < 1.0
