"""One confirmation of leadership for all heartbeats that wait for one."""

import curio

from bitterntiller.core.interfaces import ReplicatedLog


class _Round:
    def __init__(self) -> None:
        self.done = curio.Event()
        self.index: int | None = None


class ConfirmationBatcher:
    """Shares confirmations between those who ask at about the same time.

    A caller gets the result of a confirmation that began after it asked. One
    that was already under way may have begun before its heartbeat was sent,
    and so before a change was committed that the node must hear of; with it a
    lease could outlive the promise that the change is in force.
    """

    def __init__(self, log: ReplicatedLog, timeout: float) -> None:
        self._log = log
        self._timeout = timeout
        self._next = _Round()
        self._wanted = curio.Event()
        self.rounds = 0

    async def async_confirm(self) -> int | None:
        """Return the index confirmed since this call, None without a quorum."""
        waiting_for = self._next
        await self._wanted.set()
        await waiting_for.done.wait()
        return waiting_for.index

    async def async_run(self) -> None:
        """Carry out one confirmation after the other while any is wanted."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            current, self._next = self._next, _Round()
            self.rounds += 1
            current.index = await self._log.async_confirm(self._timeout)
            await current.done.set()
