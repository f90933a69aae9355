"""What a new owner expects of requests that state far more output than they get."""

from bitterntiller.components.dispatch.models import Granted
from bitterntiller.components.dispatch.scheduler import PoolScheduler

from .builders import completion, request, upstream

NOW = 1000.0
STATED = 500
"""At the first guess of the speed these tokens take longer than the 12 seconds."""


def made() -> PoolScheduler:
    scheduler = PoolScheduler()
    scheduler.announce(upstream(slots=16), NOW)
    return scheduler


def ask(scheduler: PoolScheduler, name: str, now: float) -> list:
    asked = request(name, output_tokens=STATED, arrived=now, deadline=now + 12)
    return scheduler.register(asked, now)


def test_new_owner_refuses_nothing_for_the_most_that_may_come():
    """Callers get 503 beside idle engines for some seconds after each change of owners.

    They state the most output they allow, or tokens of which a stream's event holds
    several; the new owner has seen no answer yet, and expects all of it.
    """
    scheduler = made()
    asked = [ask(scheduler, name, NOW)[0] for name in ("a", "b", "c")]
    assert [type(decision) for decision in asked] == [Granted] * 3


def test_first_answers_tell_what_is_used_of_the_stated_output():
    """The same lasts for dozens of answers, as each moves what is expected a little."""
    scheduler = made()
    for number in range(3):
        now = NOW + 0.6 * number
        ask(scheduler, f"r{number}", now)
        scheduler.started(f"r{number}", now)
        done = completion(f"r{number}", output_tokens=STATED // 10, total=0.5)
        scheduler.finished(done, now + 0.5)
    [granted] = ask(scheduler, "next", NOW + 2)
    assert granted.basis.expected < 1.0
