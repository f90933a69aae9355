"""Confirmation of leadership, shared by all callers that wait for one."""

import curio

from bitterntiller.core.interfaces import ReplicatedLog


class _Round:
    def __init__(self) -> None:
        self.done = curio.Event()
        self.index: int | None = None


class ConfirmationBatcher:
    """Batches the confirmations of callers that ask at about the same time.

    A caller gets the result of a confirmation that began after its call. One that was
    already in progress may have begun before the caller's heartbeat was sent, and so
    before the commit of a change that the node has to receive; a lease granted by it
    could run past the time by which the change is guaranteed to be in force.
    """

    def __init__(self, log: ReplicatedLog, timeout: float) -> None:
        self._log = log
        self._timeout = timeout
        self._next = _Round()
        self._requested = curio.Event()
        self.rounds = 0

    async def async_confirm(self) -> int | None:
        """Return the log index confirmed after this call, None without a quorum."""
        waiting_for = self._next
        await self._requested.set()
        await waiting_for.done.wait()
        return waiting_for.index

    async def async_run(self) -> None:
        """Run confirmations, one at a time, while callers wait for them."""
        while True:
            await self._requested.wait()
            self._requested.clear()
            current, self._next = self._next, _Round()
            self.rounds += 1
            current.index = await self._log.async_confirm(self._timeout)
            await current.done.set()
