"""Tests of how the leader handles orders and reports of rollouts."""

import functools
import inspect

import curio
import pytest

from bitterntiller.components.rollouts.progression import completion_time
from bitterntiller.core.clock import ManualClock
from bitterntiller.protocol import messages
from tests.components.control.builders import make_change, make_control, make_document
from tests.components.rollouts.builders import POOL, order, report


def with_control(test):
    """Run a test with a leader that has a configuration."""

    @functools.wraps(test)
    def run(**given):
        async def async_main():
            clock = ManualClock()
            control, log = make_control(clock)
            await control.async_start(tick=False)
            async with control._runtime.stack:
                change = make_change("c1", 0, make_document(POOL))
                await control.async_change("", change)
                await test(control, log, clock, **given)

        curio.run(async_main)

    signature = inspect.signature(test)
    kept = list(signature.parameters.values())[3:]
    run.__signature__ = signature.replace(parameters=kept)
    return run


async def start(control, **fields):
    return await control.rollouts.async_start_rollout("", order(**fields))


async def get(control, pool=POOL):
    return await control.rollouts.async_get_rollout("", messages.GetRollout(pool))


async def send_report(control, **fields):
    return await control.rollouts.async_report("", report(**fields))


@pytest.mark.parametrize(
    ("fields", "text"),
    [
        ({"pool": "trees"}, "no service 'trees'"),
        ({"to": ""}, "1 to 200 characters"),
        ({"to": "v" * 201}, "1 to 200 characters"),
        ({"seconds": 0.0}, "1 to 86400 seconds"),
    ],
)
@with_control
async def test_invalid_order_is_refused_with_the_reason(
    control, log, clock, fields, text
):
    refused = await start(control, **fields)
    assert refused.status == "invalid"
    assert text in refused.text


@with_control
async def test_order_is_accepted_once_it_is_committed(control, log, clock):
    """An order is confirmed although it is lost with the leader."""
    log.quorum = False
    assert (await start(control)).status == "unknown"
    assert control.state.rollouts.find(POOL).status == "absent"
    log.quorum = True
    assert (await start(control)).status == "accepted"


@with_control
async def test_state_is_read_only_from_a_confirmed_leader(control, log, clock):
    """A deposed leader returns an older state than an earlier read returned."""
    await start(control)
    assert (await get(control)).phase == "judged"
    log.quorum = False
    assert (await get(control)).status == "not-leader"


@with_control
async def test_rollout_without_an_order_is_absent(control, log, clock):
    assert (await get(control)).status == "absent"


@pytest.mark.parametrize(("failed", "wanted"), [(0, "complete"), (3, "reverted")])
@with_control
async def test_good_version_is_completed_in_time_and_a_bad_one_reverted(
    control, log, clock, failed, wanted
):
    number = (await start(control)).number
    evidence = [
        messages.EvidenceItem(
            second=1, route="r", upstream=name, counts=[size, bad, 0, 0, 0, 0]
        )
        for name, size, bad in (
            ("", 100, 0),
            ("n1", 6, failed),
            ("n2", 6, failed),
            ("n3", 6, failed),
            ("n4", 6, failed),
        )
    ]
    reply = await send_report(control, number=number, reached=200, evidence=evidence)
    assert reply.allowed > 0
    clock.advance(completion_time(12.0) + 0.01)
    await control.rollouts.async_evaluate()
    assert (await get(control)).phase == wanted
    assert (await send_report(control, number=number, reached=400)).phase == wanted


@with_control
async def test_next_leader_uses_the_evidence_of_the_previous_one(control, log, clock):
    """Failures reported to one leader are not counted under the next."""
    number = (await start(control)).number
    evidence = [
        messages.EvidenceItem(
            second=1, route="r", upstream=f"n{n}", counts=[4, 4, 0, 0, 0, 0]
        )
        for n in range(4)
    ]
    await send_report(control, number=number, reached=20, evidence=evidence)
    log.term = 2
    await control.rollouts.async_evaluate()
    assert (await get(control)).phase == "reverted"


@with_control
async def test_owners_get_the_elapsed_time(control, log, clock):
    number = (await start(control)).number
    clock.advance(2.5)
    assert (await send_report(control, number=number)).elapsed_ms == 2500


@with_control
async def test_operators_get_all_rollouts(control, log, clock):
    await start(control)
    shown = (await get(control, "")).document
    assert b'"phase": "judged"' in shown
