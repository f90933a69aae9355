"""The control leader's replies, on fakes of the log and the clock."""

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
from .mutations import confirmation_in_progress_shared


class HeldLog:
    """A log that confirms leadership only when the test releases it."""

    def __init__(self):
        self.released = curio.Semaphore(0)

    async def async_confirm(self, timeout):
        await self.released.acquire()
        return 7


async def second_confirmation_waits():
    log = HeldLog()
    batch = ConfirmationBatcher(log, 1.0)
    run = await curio.spawn(batch.async_run)
    first = await curio.spawn(batch.async_confirm)
    await curio.sleep(0.01)
    second = await curio.spawn(batch.async_confirm)
    await log.released.release()
    assert await first.join() == 7
    await curio.sleep(0.01)
    waited = not second.terminated
    await log.released.release()
    await curio.sleep(0.01)
    await run.cancel()
    await second.cancel()
    return waited


def test_confirmation_in_progress_is_not_shared(monkeypatch):
    """
    Guards against a host using an old version for longer than a lease after a change
    was accepted. Its heartbeat would arrive while a deposed leader waits for
    acknowledgements sent before the change, and be granted by them. The second half
    disables the check, to show that this test detects the failure.
    """
    assert curio.run(second_confirmation_waits)
    confirmation_in_progress_shared(monkeypatch)
    assert not curio.run(second_confirmation_waits)


def run_control(main, **fields):
    async def run():
        clock = ManualClock()
        control, log = make_control(clock, **fields)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            await main(control, log, clock)

    curio.run(run)


def test_change_with_a_lost_reply():
    """
    A leader is deposed after it committed a change and before it replied. The operator
    gets unknown and resends the change with the same id after another one was accepted:
    the reply is accepted, with the version that the change created.
    """

    async def main(control, log, clock):
        change = make_change("c1", 0, make_document("llm"))
        log.lose_replies = True
        reply = await control.async_change("operator", change)
        assert reply.status == "unknown"
        assert "same change id" in reply.text
        log.lose_replies = False
        other = make_change("c2", 1, make_document("llm", "map"))
        assert (await control.async_change("operator", other)).status == "accepted"
        reply = await control.async_change("operator", change)
        assert (reply.status, reply.version) == ("accepted", 1)

    run_control(main)


def test_invalid_configuration_is_not_proposed():
    async def main(control, log, clock):
        for number, config in enumerate((b'{"bad": 1}', b"[", b"[1]", b"[" * 100000)):
            change = make_change(f"c{number}", 0, {})
            change.config = config
            reply = await control.async_change("operator", change)
            assert reply.status == "invalid"
            assert reply.text
        assert log.index == 0

    run_control(main)


def test_configuration_larger_than_a_frame_is_rejected():
    """
    A configuration with many characters that JSON escapes is small enough as received
    and too large as sent to nodes. If it were accepted, no node could receive it and
    the whole deployment would reject requests.
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


async def assign_pool(control, clock):
    """Make kirkos-1 the owner of the only pool, as the only host with a session."""
    change = make_change("c1", 0, make_document("llm"))
    await control.async_change("operator", change)
    await control.async_heartbeat("kirkos-1", make_heartbeat(leased=True))
    clock.advance(1.1)
    await control.async_heartbeat("kirkos-1", make_heartbeat(leased=True))
    await control.async_place()
    assert control.state.ownership.owners_by_pool["llm"].host == "kirkos-1"


def test_pools_of_an_owner_without_a_lease_move():
    """
    After an upgrade of the other hosts, one host can't parse the latest configuration.
    It sends heartbeats but holds no lease, so its pools are blocked. They move to
    another host, and then its heartbeats are granted again.
    """

    async def main(control, log, clock):
        await assign_pool(control, clock)
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
    A host dies while a request with an idempotency key runs. A copy of the request on
    another host gets running only while the holder may be alive: for an owner lease, or
    until another process of that host sends a heartbeat.
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


def test_cluster_time_continues_under_a_new_leader():
    """
    The clock of a new leader has just been started. Outcomes recorded earlier must
    neither be dropped at once nor be kept forever.
    """

    async def main(control, log, clock):
        log.index = 1
        control.state.apply(1, make_command(time_ms=9_000_000))
        assert control.leader_term().cluster_ms(clock.now()) == 9_000_000
        clock.advance(2)
        assert control.leader_term().cluster_ms(clock.now()) == 9_002_000

    run_control(main)


def test_change_whose_commit_outlasts_its_calls_is_acknowledged_when_repeated():
    """Each repetition was committed again, which took as long as the first time."""

    async def main(control, log, clock):
        log.lose_replies = True
        change = make_change("c1", 0, make_document("llm"))
        change.number = 7
        assert (await control.async_change("x", change)).status == "unknown"
        assert (await control.async_change("x", change)).status == "accepted"
        assert log.index == 1
        change.number = 6
        assert (await control.async_change("x", change)).status == "accepted"
        invalid = make_change("c2", 0, {"bad": 1})
        invalid.number = 6
        assert (await control.async_change("x", invalid)).status == "invalid"
        change.number = 8
        assert (await control.async_change("x", change)).status == "unknown"

    run_control(main)
