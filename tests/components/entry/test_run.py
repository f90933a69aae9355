"""Tests of one run of a request at an upstream."""

import curio

from bitterntiller.components.entry.run import Run


def test_run_gives_its_connection_back_though_its_closing_is_cancelled():
    """A caller that left in two ways at once left its upstream's connection open."""
    given_back = []

    async def async_give_back() -> None:
        await curio.sleep(0.01)
        given_back.append(True)

    async def async_main() -> None:
        run = Run(None, None, None)
        run.stack.push_async_callback(async_give_back)
        closing = await curio.spawn(run.async_close)
        await curio.sleep(0)
        await closing.cancel()

    curio.run(async_main)
    assert given_back
