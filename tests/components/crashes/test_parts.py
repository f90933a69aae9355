"""Evidence against parts of prompts: which requests it keeps from upstreams."""

import curio
import pytest

from bitterntiller.components.crashes import const
from bitterntiller.components.crashes.broken_responses import BrokenResponses
from bitterntiller.components.crashes.history import CrashHistory
from bitterntiller.components.crashes.models import Clearing, Crash, CrashUpdate
from bitterntiller.core.interfaces import SentRequest
from tests.components.crashes.test_coordinator import (
    CONFIRMED,
    Hosts,
    async_closed_address,
)

NOW = 1010.0
SHARED, BAD, OWN = 0b110, 0b1010, 0b1110
"""Fingerprints of parts."""

WHOLE, OTHER_WHOLE = 0b101, 0b1001


def crashed(history: CrashHistory, upstream: str, *fingerprints: int) -> None:
    items = tuple(Crash(item, upstream, "1", NOW) for item in fingerprints)
    history.merge(CrashUpdate(items), NOW)


def cleared(history: CrashHistory, at: float, *fingerprints: int) -> None:
    items = tuple(Clearing(item, at) for item in fingerprints)
    history.merge(CrashUpdate(clearings=items), at)


def test_part_convicts_requests_that_hold_it_whatever_else_they_hold():
    """Requests with one bad part, no two alike, crashed upstream after upstream."""
    history = CrashHistory()
    for number in range(3):
        own = 1000 + 4 * number
        crashed(history, f"e{number}", own + 1, SHARED, BAD, own + 2)
    cleared(history, NOW + 0.1, SHARED)
    found = history.conviction((WHOLE, SHARED, BAD, OWN), NOW)
    assert found is not None
    assert (found.fingerprint, found.crashes) == (BAD, 3)
    assert history.conviction((OTHER_WHOLE, SHARED, OWN), NOW) is None


def test_sound_one_of_two_parts_that_come_together_is_tried_alone():
    history = CrashHistory()
    for number in range(3):
        crashed(history, f"e{number}", SHARED, BAD)
    assert history.conviction((WHOLE, SHARED, BAD), NOW)
    assert history.conviction((WHOLE, SHARED), NOW) is None
    crashed(history, "e3", BAD)
    assert history.conviction((WHOLE, BAD, OWN), NOW)
    assert history.conviction((WHOLE, SHARED), NOW) is None


def test_copies_of_one_request_convict_no_other_request_with_its_parts():
    history = CrashHistory()
    for number in range(3):
        crashed(history, f"e{number}", WHOLE, BAD, OWN)
    assert history.conviction((WHOLE, BAD, OWN), NOW)
    assert history.conviction((OTHER_WHOLE, BAD, 2002), NOW) is None
    crashed(history, "e3", OTHER_WHOLE, BAD, 2002)
    assert history.conviction((2005, BAD, 2006), NOW)


def test_equal_crashes_under_a_cleared_fingerprint_explain_nothing():
    history = CrashHistory()
    for number in range(3):
        crashed(history, f"e{number}", SHARED, BAD)
    cleared(history, NOW + 0.1, SHARED)
    assert history.conviction((WHOLE, BAD), NOW)
    assert not history.count(SHARED, NOW)


def test_request_that_ran_beside_a_bad_part_is_tried_while_that_explains_its_ends():
    """Equal sound streams ran at six engines that a bad part ended at one moment."""
    history = CrashHistory()
    for number in range(6):
        crashed(history, f"e{number}", 1001 + 4 * number, BAD, WHOLE)
    assert history.conviction((WHOLE,), NOW) is None
    crashed(history, "e6", OTHER_WHOLE, BAD, OWN)
    assert history.conviction((OTHER_WHOLE, BAD, OWN), NOW)
    assert history.conviction((WHOLE,), NOW) is None


def test_request_beside_a_bad_part_is_tried_soon_after_that_is_sound_again():
    """Equal sound streams were refused for minutes once the part did no more harm."""
    history = CrashHistory()
    for number in range(6):
        crashed(history, f"e{number}", 1001 + 4 * number, BAD, WHOLE)
    cleared(history, NOW + 1.0, BAD)
    assert history.conviction((WHOLE,), NOW + 1.0)
    later = NOW + const.FIRST_QUARANTINE_SECONDS
    assert history.conviction((WHOLE,), later) is None


def test_few_crashes_are_forgotten_before_those_of_a_quarantine():
    history = CrashHistory()
    crashed(history, "e0", SHARED, BAD)
    crashed(history, "e1", BAD)
    crashed(history, "e2", BAD)
    later = NOW + const.SUSPICION_SECONDS + 1
    assert not history.count(SHARED, later)
    assert history.count(BAD, later) == 3


@pytest.mark.parametrize(("others", "convicted_at"), [(0, 3), (8, 3), (20, 5)])
def test_more_crashes_convict_where_upstreams_crash_for_other_reasons(
    others: int, convicted_at: int
):
    """Parts of short, popular requests were convicted while engines ended at random."""
    history = CrashHistory()
    for number in range(others):
        crashed(history, f"other-{number}", 1001 + 4 * number)
    found = []
    for number in range(5):
        crashed(history, f"e{number}", BAD)
        found.append(history.conviction((WHOLE, BAD), NOW) is not None)
    assert found.index(True) + 1 == convicted_at


def test_crashes_whose_suspects_were_cleared_still_count_as_others():
    history = CrashHistory()
    for number in range(20):
        crashed(history, f"other-{number}", SHARED)
    cleared(history, NOW + 0.1, SHARED)
    for number in range(3):
        crashed(history, f"e{number}", BAD)
    assert history.conviction((WHOLE, BAD), NOW) is None


def test_history_without_crashes_says_so():
    history = CrashHistory()
    assert not history.any
    crashed(history, "e0", BAD)
    assert history.any
    cleared(history, NOW + 1.0, BAD)
    assert not history.any


def test_evicted_fingerprints_explain_nothing(monkeypatch):
    monkeypatch.setattr(const, "MAX_FINGERPRINTS", 2)
    history = CrashHistory()
    for number in range(3):
        crashed(history, f"e{number}", SHARED, BAD)
    crashed(history, "e4", BAD, 2002)
    assert history.count(2002, NOW) == 0
    crashed(history, "e5", BAD)
    assert history.conviction((WHOLE, BAD), NOW)


def test_workspace_that_crashes_upstreams_evicts_no_evidence_of_others(monkeypatch):
    """A caller with a new bad part in each request made hosts forget the rest."""
    monkeypatch.setattr(const, "MAX_FINGERPRINTS", 20)
    history = CrashHistory()
    crashed(history, "e0", BAD)
    for number in range(100):
        crash = Crash(1001 + 4 * number, f"x{number}", "1", NOW + number, workspace=7)
        history.merge(CrashUpdate((crash,)), NOW + number)
    assert history.count(BAD, NOW + 100) == 1
    assert len(list(history.fingerprints())) == 20


def test_broken_response_is_unexplained_until_the_crash_is_known():
    history = CrashHistory()
    broken = BrokenResponses(history)
    broken.add((BAD, SHARED), "e1", NOW)
    broken.add((BAD,), "e2", NOW)
    assert (broken.count(BAD, NOW), broken.count(SHARED, NOW)) == (2, 1)
    crashed(history, "e1", BAD)
    cleared(history, NOW + 0.1, SHARED)
    broken.review((BAD, SHARED), NOW)
    assert (broken.count(BAD, NOW), broken.count(SHARED, NOW)) == (1, 0)
    broken.add((BAD,), "e1", NOW)
    assert broken.count(BAD, NOW) == 1
    assert broken.count(BAD, NOW + const.EXPLANATION_SECONDS) == 0
    assert not broken.any


@pytest.mark.parametrize("owner", ["a", "b"])
def test_crash_under_a_part_is_known_to_all_hosts_within_a_second(owner: str):
    """An owner that found a crash itself told the other hosts ten seconds later."""

    async def async_main() -> list[int]:
        hosts = Hosts("a", "b", "c", owner=owner)
        sent = SentRequest("r1", WHOLE, "e1", "1", await async_closed_address())
        async with hosts.running("a", "b", "c"):
            await curio.sleep(0.05)
            await hosts.coordinators_by_name["a"].async_check_crash(
                sent._replace(parts=(BAD, OWN)), False, CONFIRMED
            )
            await curio.sleep(const.PROBE_INTERVAL + 0.3)
        now = hosts.clock.now()
        coordinators = hosts.coordinators_by_name.values()
        return [item.count(BAD, now) for item in coordinators]

    assert curio.run(async_main) == [1, 1, 1]


def test_new_evidence_is_sent_without_the_rest_of_the_history():
    async def async_main() -> tuple[int, int, int]:
        hosts = Hosts("a", "b", owner="b")
        coordinator = hosts.coordinators_by_name["a"]
        crashed(coordinator.history, "e0", *range(1001, 1401, 4))
        async with hosts.running("a"):
            await curio.sleep(0.05)
            hosts.calls.clear()
            await coordinator.async_record_success(1001, 1005)
            await curio.sleep(0.05)
        (sent,) = hosts.calls
        owner = hosts.coordinators_by_name["b"]
        reply = await owner.async_on_report("a", sent)
        return (
            len(sent.crashes) + len(sent.clearings),
            len(reply.crashes) + len(reply.clearings),
            owner.count(1001, NOW),
        )

    assert curio.run(async_main) == (2, 0, 0)
