"""Timeouts that hold within each other: curio's, without what these lose or mix up.

A timeout that expires while its task is ready to run is kept by curio until the task
waits again. An inner one that begins and ends before that drops it; an inner one whose
own expiry is kept, and that is left after the outer one was due, hands it to that one,
which takes it for an error.
"""

from collections.abc import Awaitable
from types import TracebackType
from typing import Protocol, Self

import curio


class _CurioTimeout(Protocol):
    """What curio.timeout_after() and curio.ignore_after() return."""

    expired: bool

    async def __aenter__(self) -> object: ...

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None: ...


class Timeout:
    """A block that ends after some seconds, and that an outer timeout may end, too."""

    def __init__(self, timeout: _CurioTimeout) -> None:
        self._timeout = timeout
        self._task: curio.Task | None = None

    @property
    def expired(self) -> bool:
        """Whether this timeout has ended its block."""
        return self._timeout.expired

    async def __aenter__(self) -> Self:
        self._task = task = await curio.current_task()
        if task.cancel_pending is not None:
            await _async_end_at_outer()
        await self._timeout.__aenter__()
        return self

    def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> Awaitable[bool | None]:
        # The block is over. If an outer timeout has expired meanwhile, curio sets it
        # anew as the inner one is left.
        if isinstance(self._task.cancel_pending, curio.TaskTimeout):
            self._task.cancel_pending = None
        return self._timeout.__aexit__(kind, error, traceback)


async def _async_end_at_outer() -> None:
    """Raise the cancellation that waits for a task, so that none here handles it."""
    try:
        await curio.check_cancellation()
    except curio.TaskTimeout as error:
        raise curio.TimeoutCancellationError(*error.args) from None


def timeout_after(seconds: float) -> Timeout:
    """Return a block that raises curio.TaskTimeout after some seconds."""
    return Timeout(curio.timeout_after(seconds))


def ignore_after(seconds: float) -> Timeout:
    """Return a block that ends without an error after some seconds."""
    return Timeout(curio.ignore_after(seconds))
