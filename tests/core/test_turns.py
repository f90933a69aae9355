"""Tests of turns that a task takes while its peer's bytes are always there."""

import curio

from bitterntiller.core.turns import TURN_BYTES, TURN_READS, Turns


async def _async_counts_of_others(reads: int, size: int) -> int:
    """Return how often another task has run during some reads."""
    turns_of_other = 0

    async def async_count_turns() -> None:
        nonlocal turns_of_other
        while True:
            turns_of_other += 1
            await curio.sleep(0)

    other = await curio.spawn(async_count_turns)
    turns = Turns()
    for _ in range(reads):
        await turns.async_count(size)
    await other.cancel()
    return turns_of_other


def test_other_tasks_run_after_some_reads() -> None:
    assert curio.run(_async_counts_of_others, TURN_READS * 10, 1) >= 10


def test_other_tasks_run_after_some_bytes() -> None:
    assert curio.run(_async_counts_of_others, 10, TURN_BYTES) >= 10


def test_reads_that_are_always_served_end_at_a_timeout() -> None:
    async def async_read() -> bool:
        turns = Turns()
        async with curio.ignore_after(0.05):
            while True:
                await turns.async_count(1)
        return True

    assert curio.run(async_read)


def test_timeout_of_a_loop_holds_though_its_reads_have_their_own():
    """A timeout that expires during a turn is dropped by the next inner one."""

    async def async_read() -> bool:
        turns = Turns()
        async with curio.ignore_after(0.05):
            for _ in range(200_000):
                async with curio.timeout_after(10.0):
                    pass
                await turns.async_count(1)
            return False
        return True

    assert curio.run(async_read)
