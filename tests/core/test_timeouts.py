"""Timeouts within timeouts, which expire while their task is ready to run."""

import contextlib
import time

import curio
import pytest

from bitterntiller.core.timeouts import ignore_after, timeout_after

SOON = 0.05
LATER = 4 * SOON
LONG = 10.0
"""Seconds of timeouts, and of a wait that one of them must end."""


async def _async_wake_late(event: curio.Event, seconds: float) -> None:
    """Keep the process from its timers for some seconds, then wake a task."""
    time.sleep(seconds)
    await event.set()


async def _async_ready_late(seconds: float) -> None:
    """Return in the pass in which the timeouts within some seconds have expired."""
    event = curio.Event()
    await curio.spawn(_async_wake_late, event, seconds, daemon=True)
    await event.wait()


@pytest.mark.parametrize("inner", [ignore_after, timeout_after])
def test_expired_timeout_is_not_lost_in_an_inner_one(inner):
    """A wait went on beyond its timeout, or forever."""

    async def async_main() -> bool:
        async with ignore_after(SOON) as outer:
            await _async_ready_late(2 * SOON)
            async with inner(LONG):
                pass
            await curio.sleep(LONG)
        return outer.expired

    began = time.monotonic()
    assert curio.run(async_main)
    assert time.monotonic() - began < LONG / 2


@pytest.mark.parametrize("inner", [ignore_after, timeout_after])
def test_expired_timeout_is_not_lost_with_the_one_around_it(inner):
    """The middle one of three took the outer one with it until it was left."""

    async def async_main() -> tuple[bool, bool]:
        async with ignore_after(LATER) as outer:
            async with ignore_after(SOON) as middle:
                await _async_ready_late(2 * SOON)
                async with inner(LONG):
                    pass
                await curio.sleep(LONG)
        return middle.expired, outer.expired

    assert curio.run(async_main) == (True, False)


def test_expired_timeout_is_not_taken_for_an_inner_one():
    """An exchange that had just begun was taken for one that had timed out."""

    async def async_main() -> bool:
        async with ignore_after(SOON) as outer:
            await _async_ready_late(2 * SOON)
            with contextlib.suppress(curio.TaskTimeout):
                async with timeout_after(LONG):
                    await curio.sleep(LONG)
            await curio.sleep(LONG)
        return outer.expired

    assert curio.run(async_main)


@pytest.mark.parametrize("inner", [ignore_after, timeout_after])
def test_expired_inner_timeout_does_not_end_the_outer_one(inner):
    """A timeout that its block had outrun reached the one around it as an error."""

    async def async_main() -> bool:
        async with ignore_after(LATER) as outer:
            async with inner(SOON):
                await _async_ready_late(2 * SOON)
                time.sleep(LATER)
            await curio.sleep(LONG)
        return outer.expired

    began = time.monotonic()
    assert curio.run(async_main)
    assert time.monotonic() - began < LONG / 2


@pytest.mark.parametrize("ready_late", [False, True])
def test_outer_timeout_ends_an_inner_block(ready_late):
    async def async_main() -> tuple[bool, bool]:
        async with ignore_after(SOON) as outer:
            async with ignore_after(LATER) as inner:
                if ready_late:
                    await _async_ready_late(2 * SOON)
                await curio.sleep(LONG)
        return outer.expired, inner.expired

    assert curio.run(async_main) == (True, False)


def test_inner_timeout_ends_its_block_only():
    async def async_main() -> tuple[bool, bool]:
        async with ignore_after(LATER) as outer:
            async with ignore_after(SOON) as inner:
                await curio.sleep(LONG)
            await curio.sleep(SOON)
        return outer.expired, inner.expired

    assert curio.run(async_main) == (False, True)


def test_timeout_raises():
    async def async_main() -> None:
        async with timeout_after(SOON):
            await curio.sleep(LONG)

    with pytest.raises(curio.TaskTimeout):
        curio.run(async_main)


def test_cancellation_passes_through():
    ended = []

    async def async_wait() -> None:
        try:
            async with ignore_after(LONG), ignore_after(LONG):
                await curio.sleep(LONG)
        except curio.TaskCancelled:
            ended.append(True)
            raise

    async def async_main() -> None:
        task = await curio.spawn(async_wait)
        await curio.sleep(SOON)
        await task.cancel()

    curio.run(async_main)
    assert ended == [True]


def test_cancellation_of_a_ready_task_reaches_a_block():
    async def async_wait(event: curio.Event) -> None:
        await event.wait()
        async with ignore_after(LONG):
            await curio.sleep(LONG)

    async def async_main() -> bool:
        event = curio.Event()
        task = await curio.spawn(async_wait, event)
        await curio.sleep(SOON)
        await event.set()
        await task.cancel()
        return task.cancelled

    assert curio.run(async_main)
