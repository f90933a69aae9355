"""An upstream that brings output is not sick, whatever single responses were lost."""

import pytest

from tests.components.dispatch import builders as build
from tests.components.dispatch.test_failed_paths import (
    CUT_OFF,
    NOW,
    SOUND,
    pool,
    register,
)


@pytest.mark.parametrize("reason", ["lost-answer", "refused-connection"])
def test_upstream_that_brings_output_to_another_host_stays_in_use(reason):
    """Only whole responses showed that an upstream is reached, not running streams.

    A stream lasts seconds; one host's timeouts made its upstream sick for all hosts
    while others got output from it.
    """
    scheduler = pool("e1")
    assert register(scheduler, "stream", SOUND, NOW) == ["e1"]
    scheduler.started("stream", NOW)
    for number in range(1, 20):
        scheduler.progress("stream", 10 * number, NOW + 0.1 * number, 0.1)
    now = NOW + 2.0
    for number in range(3):
        register(scheduler, f"c{number}", CUT_OFF, now)
        scheduler.returned(f"c{number}", reason, False, now)
    scheduler.progress("stream", 200, now, 0.1)
    assert register(scheduler, "next", SOUND, now) == ["e1"]
    scheduler.finished(build.completion("stream", "e1"), now + 0.05)


def sick(reason: str) -> bool:
    """Return whether e1 is sick by three failures, once a stream there goes on."""
    scheduler = pool("e1")
    register(scheduler, "stream", SOUND, NOW)
    scheduler.started("stream", NOW)
    for number in range(3):
        register(scheduler, f"c{number}", SOUND, NOW)
        scheduler.returned(f"c{number}", reason, False, NOW + 1.0)
    upstreams = scheduler.describe(NOW + 1.0)["upstreams_by_name"]
    assert upstreams["e1"]["sick"]
    scheduler.progress("stream", 10, NOW + 1.1, 0.1)
    return scheduler.describe(NOW + 1.1)["upstreams_by_name"]["e1"]["sick"]


def test_upstream_that_was_silent_is_used_again_with_its_first_output():
    """It had to end all that ran there before it got one request as a trial."""
    assert not sick("upstream-silent")


def test_output_of_one_request_does_not_make_up_for_failed_responses():
    assert sick("failed")
