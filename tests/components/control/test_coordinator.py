"""The leader's answers on fakes of the log and the clock."""

import curio

from bitterntiller.components.control.confirm import ConfirmationBatcher
from bitterntiller.core.clock import ManualClock

from .builders import (
    make_change,
    make_claim,
    make_command,
    make_control,
    make_document,
    make_heartbeat,
)
from .mutations import confirmation_under_way_shared


class HeldLog:
    """Confirms only when the test lets it."""

    def __init__(self):
        self.let = curio.Semaphore(0)

    async def async_confirm(self, timeout):
        await self.let.acquire()
        return 7


async def second_waits_for_its_own():
    log = HeldLog()
    batch = ConfirmationBatcher(log, 1.0)
    run = await curio.spawn(batch.async_run)
    first = await curio.spawn(batch.async_confirm)
    await curio.sleep(0.01)
    second = await curio.spawn(batch.async_confirm)
    await log.let.release()
    assert await first.join() == 7
    await curio.sleep(0.01)
    waited = not second.terminated
    await log.let.release()
    await curio.sleep(0.01)
    await run.cancel()
    await second.cancel()
    return waited


def test_a_confirmation_under_way_is_not_shared(monkeypatch):
    """
    An operator's change is accepted, yet a host works on under the old version
    for longer than a lease. Its heartbeat came while a deposed leader waited
    for acknowledgements that were sent before the change, and was granted by
    them. The second half breaks the guard, to show that this test notices.
    """
    assert curio.run(second_waits_for_its_own)
    confirmation_under_way_shared(monkeypatch)
    assert not curio.run(second_waits_for_its_own)


def run_control(main, **fields):
    async def run():
        clock = ManualClock()
        control, log = make_control(clock, **fields)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            await main(control, log, clock)

    curio.run(run)


def test_change_with_a_lost_answer():
    """
    A leader is deposed after a change was committed and before it answers. The
    operator hears unknown, resends with the same id after another change was
    accepted, and hears that the first was accepted, with the version it made.
    """

    async def main(control, log, clock):
        change = make_change("c1", 0, make_document("llm"))
        log.lose_answers = True
        reply = await control.async_change("operator", change)
        assert reply.status == "unknown"
        assert "same change id" in reply.text
        log.lose_answers = False
        other = make_change("c2", 1, make_document("llm", "map"))
        assert (await control.async_change("operator", other)).status == "accepted"
        reply = await control.async_change("operator", change)
        assert (reply.status, reply.version) == ("accepted", 1)

    run_control(main)


def test_a_bad_configuration_is_never_proposed():
    async def main(control, log, clock):
        for number, config in enumerate((b'{"bad": 1}', b"[", b"[1]", b"[" * 100000)):
            change = make_change(f"c{number}", 0, {})
            change.config = config
            reply = await control.async_change("operator", change)
            assert reply.status == "invalid"
            assert reply.text
        assert log.index == 0

    run_control(main)


def test_a_configuration_that_no_frame_can_carry_is_refused():
    """
    An operator applies a configuration full of letters that JSON escapes. It is
    small as it comes and too large as it is sent on: accepted, it would reach
    no node, and the whole deployment would refuse work.
    """

    async def main(control, log, clock):
        change = make_change("c1", 0, {})
        change.config = '{"services": {}, "x": "%s"}'.replace("%s", "õ" * 300_000)
        change.config = change.config.encode()
        reply = await control.async_change("operator", change)
        assert (reply.status, log.index) == ("invalid", 0)

    run_control(main)


def test_without_quorum_nothing_is_granted():
    async def main(control, log, clock):
        log.quorum = False
        reply = await control.async_heartbeat("kirkos-1", make_heartbeat())
        assert (reply.status, reply.lease_ms) == ("not-leader", 0)
        assert (await control.async_get_config("", None)).status == "not-leader"
        claim = await control.async_claim("kirkos-1", make_claim())
        assert claim.status == "unknown"

    run_control(main)


async def own_pool(control, clock):
    """Have kirkos-1 own the only pool, as the first host that is heard."""
    change = make_change("c1", 0, make_document("llm"))
    await control.async_change("operator", change)
    await control.async_heartbeat("kirkos-1", make_heartbeat(leased=True))
    clock.advance(1.1)
    await control.async_heartbeat("kirkos-1", make_heartbeat(leased=True))
    await control.async_place()
    assert control.state.ownership.owners_by_pool["llm"].host == "kirkos-1"


def test_pools_of_an_owner_that_can_not_use_its_lease_move():
    """
    After an upgrade of the others, one host can't read the newest
    configuration. It still sends heartbeats, but takes no lease, so its pools
    stand still. They move to another host, and the host is heard again.
    """

    async def main(control, log, clock):
        await own_pool(control, clock)
        for _ in range(20):
            clock.advance(0.5)
            other = make_heartbeat("bole-1", leased=True)
            await control.async_heartbeat("bole-1", other)
            stuck = make_heartbeat("kirkos-1", leased=False)
            reply = await control.async_heartbeat("kirkos-1", stuck)
            await control.async_place()
        assert control.state.ownership.owners_by_pool["llm"].host == "bole-1"
        assert reply.status == "granted"

    run_control(main)


def test_claim_of_a_dead_holder_is_orphaned():
    """
    A host dies while a keyed request runs. A copy of the key arrives elsewhere
    and hears running only while the holder may live: for an owner lease, or
    until another process of that host is heard.
    """

    async def main(control, log, clock):
        await control.async_heartbeat("kirkos-1", make_heartbeat(incarnation="a"))
        assert (await control.async_claim("", make_claim())).status == "taken"
        copy = make_claim(request_id="r2", host="bole-1")
        assert (await control.async_claim("", copy)).status == "running"
        clock.advance(4.1)
        assert (await control.async_claim("", copy)).status == "orphaned"
        await control.async_heartbeat("kirkos-1", make_heartbeat(incarnation="a"))
        find = make_claim("find")
        assert (await control.async_claim("", find)).status == "running"
        await control.async_heartbeat("kirkos-1", make_heartbeat(incarnation="b"))
        assert (await control.async_claim("", find)).status == "orphaned"

    run_control(main)


def test_ages_go_on_under_a_new_leader():
    """
    A leader with a clock that was just started takes over. Outcomes recorded
    before must neither be dropped at once nor be kept for ever.
    """

    async def main(control, log, clock):
        log.index = 1
        control.state.apply(1, make_command(time_ms=9_000_000))
        assert control.leader_term().cluster_ms(clock.now()) == 9_000_000
        clock.advance(2)
        assert control.leader_term().cluster_ms(clock.now()) == 9_002_000

    run_control(main)
