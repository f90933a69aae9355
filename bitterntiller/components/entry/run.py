"""One run of a request at an upstream: its connection and the task of its response.

The response of a run that may be repeated is awaited and relayed by a task of its own.
While its upstream is silent, the pipeline can look for another one and still get what
this one sends. A silent run ends only once the response of another one has begun.

The states of a run:
- current: its task relays the response.
- silent: it makes no progress for some time, though bytes may arrive. It is current
  until it is set aside.
- set aside (the request's standby): the request waits for a grant of another upstream,
  or is sent to it.
- resumed: it makes progress after it was set aside. The request returns to it, and it
  is current again (taken back).
- kept: no other upstream takes the request, which returns to it though it is silent.
- superseded: the response of another run has begun. It ends and relays nothing more.
- ended: its response has ended before it resumed. The request needs another upstream.
"""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import NamedTuple

import curio

from bitterntiller.components.entry.models import (
    ActiveRequest,
    GrantReceived,
    RunResumed,
    RunSilent,
    SentState,
    Verdict,
)
from bitterntiller.components.http.errors import IncompleteResponseError
from bitterntiller.core.clock import Clock
from bitterntiller.core.timeouts import ignore_after

TAKEN_OVER = "another upstream has taken the request over"

Respond = Callable[[], Awaitable[Verdict]]
"""Awaits the response of a run, relays it and returns the result."""


class Run:
    """A request that was sent to the upstream of a grant.

    stack owns what the run holds. set_aside is set while the request may be sent to
    another upstream, resumed if this one goes on meanwhile, silent while it makes no
    progress. sends is how often the request had been sent when the run was set aside.
    """

    def __init__(
        self, active: ActiveRequest, grant: GrantReceived, clock: Clock
    ) -> None:
        self.grant = grant
        self._clock = clock
        self.stack = AsyncExitStack()
        self.set_aside = False
        self.resumed = False
        self.silent = False
        self.sends = 0
        self.result: Verdict | Exception | None = None
        self._active = active
        self._state: SentState | None = None
        self._superseded = False
        self._unreported_silence = False

    async def async_start(self, respond: Respond) -> None:
        """Start the task of the response, once the request was sent."""
        task = await curio.spawn(self._async_respond, respond, daemon=True)
        self.stack.push_async_callback(task.cancel)

    async def _async_respond(self, respond: Respond) -> None:
        # The kernel logs each exception that ends a task as a crash.
        try:
            self.result = await respond()
        except Exception as error:
            self.result = error
        await self._active.changed.set()

    async def async_wait(self) -> Verdict | RunSilent | RunResumed:
        """Return the result of the response, or that the upstream is silent.

        A silence is reported again at the deadline of the request. With a silent run on
        standby, return early if that one goes on. Raise what the task of the response
        raised.
        """
        changed = self._active.changed
        while True:
            changed.clear()
            if isinstance(self.result, Exception):
                raise self.result
            if self.result is not None:
                return self.result
            standby = self._active.standby
            if standby is not None and standby.resumed:
                return RunResumed(standby.grant.upstream)
            if self._unreported_silence:
                self._unreported_silence = False
                if standby is None and self._active.movable:
                    return RunSilent(self.grant.upstream)
            if not self.silent or standby is not None:
                await changed.wait()
                continue
            async with ignore_after(max(0.0, self._left())):
                await changed.wait()
            if self.silent and self._left() <= 0:
                return RunSilent(self.grant.upstream)

    def _left(self) -> float:
        """Return the seconds until the deadline of the request."""
        return self._active.prepared.identified.seconds_left(self._clock.now())

    @property
    def superseded(self) -> bool:
        """Return whether another run of the request has taken over."""
        return self._superseded

    @property
    def ended(self) -> bool:
        """Return whether the response has ended before the upstream went on."""
        return self.result is not None and not self.resumed

    def put_aside(self) -> None:
        """Prepare for another run of the request beside this one."""
        self.set_aside = True
        self.sends = self._active.sends
        self._state = self._active.sent_state

    def take_back(self) -> None:
        """Make this the current run of the request again."""
        self.set_aside = self.resumed = False
        self._restore()

    async def async_begin_silence(self) -> None:
        """Record that there is no progress for some time; see RunWatch."""
        self.silent = self._unreported_silence = True
        await self._active.changed.set()

    async def async_end_silence(self) -> None:
        """Record progress: output, or the end of the response.

        Raise IncompleteResponseError if another run has taken over.
        """
        if self._superseded:
            raise IncompleteResponseError(TAKEN_OVER)
        self.silent = self._unreported_silence = False
        if self.set_aside:
            self.resumed = True
            self._restore()
            await self._active.mailbox.put(RunResumed(self.grant.upstream))
            await self._active.changed.set()

    def _restore(self) -> None:
        if self._state is not None:
            self._active.restore_sent(self._state)

    async def async_supersede(self) -> bool:
        """End the run in favour of another; return False if it has gone on."""
        if self.resumed:
            return False
        self._superseded = True
        await self.async_close()
        return True

    async def async_close(self) -> None:
        """End the task of the response, and release or close the connection.

        A cancellation by a caller that leaves meanwhile is delivered afterwards.
        """
        async with curio.disable_cancellation():
            await self.stack.aclose()


class RunWatch(NamedTuple):
    """Tells a run that its upstream has made no progress for some seconds."""

    run: Run
    seconds: float

    async def async_begin_silence(self) -> None:
        """Record that there is no progress, again after each further seconds."""
        await self.run.async_begin_silence()

    async def async_end_silence(self) -> None:
        """Record progress; raise IncompleteResponseError to drop it."""
        await self.run.async_end_silence()
