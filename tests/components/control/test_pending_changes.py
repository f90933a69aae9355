"""Changes that are sent again while their first copy is still decided."""

import curio

from bitterntiller.components.settings.models import Timings
from bitterntiller.core.clock import ManualClock

from .builders import make_change, make_control, make_document

LINK_CALL = 0.2


class SlowCommits:
    """Lets proposals of a log wait until the test releases them."""

    def __init__(self, log):
        self.proposals = 0
        self.released = curio.Event()
        self._propose = log.async_propose
        log.async_propose = self._async_propose

    async def _async_propose(self, command, timeout):
        self.proposals += 1
        await self.released.wait()
        return await self._propose(command, timeout)


def numbered(number, document):
    change = make_change(f"number-{number}", 0, document)
    change.number = number
    return change


def run_control(main):
    async def run():
        timings = Timings(link_call=LINK_CALL)
        control, log = make_control(ManualClock(), timings=timings)
        await control.async_start(tick=False)
        async with control._runtime.stack:
            await main(control, log, SlowCommits(log))

    curio.run(run)


def test_copies_of_a_change_are_not_committed_beside_it():
    """Copies of a large change delayed it until no copy was acknowledged."""

    async def main(control, log, commits):
        change = numbered(7, make_document("llm"))
        tasks = [
            await curio.spawn(control.async_change, "operator", change)
            for _ in range(3)
        ]
        await curio.sleep(LINK_CALL / 4)
        await commits.released.set()
        replies = [await task.join() for task in tasks]
        assert [reply.status for reply in replies] == ["accepted"] * 3
        assert commits.proposals == 1

    run_control(main)


def test_caller_hears_of_an_undecided_change_before_its_call_ends():
    """The caller dropped the leader as lost, and its next copy was a new change."""

    async def main(control, log, commits):
        change = numbered(7, make_document("llm"))
        async with curio.timeout_after(LINK_CALL):
            reply = await control.async_change("operator", change)
        assert reply.status == "unknown"
        task = await curio.spawn(control.async_change, "operator", change)
        await commits.released.set()
        assert (await task.join()).status == "accepted"
        assert commits.proposals == 1

    run_control(main)


def test_acknowledged_change_is_not_committed_again():
    async def main(control, log, commits):
        await commits.released.set()
        change = numbered(7, make_document("llm"))
        older = numbered(6, make_document("map"))
        bad = numbered(5, make_document(bad=1))
        statuses = [
            (await control.async_change("operator", item)).status
            for item in (change, change, older, bad)
        ]
        assert statuses == ["accepted", "accepted", "accepted", "invalid"]
        assert (commits.proposals, control.state.configuration.number) == (1, 7)

    run_control(main)


def test_other_content_under_a_pending_number_is_decided_by_itself():
    async def main(control, log, commits):
        first = await curio.spawn(
            control.async_change, "operator", numbered(7, make_document("llm"))
        )
        await curio.sleep(LINK_CALL / 4)
        reply = await control.async_change("operator", numbered(7, {"bad": 1}))
        assert reply.status == "invalid"
        await commits.released.set()
        assert (await first.join()).status == "accepted"

    run_control(main)
