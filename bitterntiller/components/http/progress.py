"""Progress of the body of a response, and the times that it has."""

from typing import NamedTuple, Protocol

import curio

from bitterntiller.components.http import const


class SilenceWatch(Protocol):
    """Is told that an upstream makes no progress, and that it has gone on.

    Bytes are no progress by themselves: the head of the final response is, and what the
    reader of the body reports by async_progress(). seconds is the time without progress
    after which an upstream counts as silent.
    """

    seconds: float

    async def async_begin_silence(self) -> None:
        """Record that there is no progress, again after each further seconds."""
        ...

    async def async_end_silence(self) -> None:
        """Record progress; raise IncompleteResponseError to drop it."""
        ...


class ReadLimits(NamedTuple):
    """Limits in seconds of the time without data, and of the whole time.

    The time in which the reader pauses is added to total, up to pause seconds.
    """

    idle: float
    total: float | None = None
    pause: float = 0.0


class Expiry(NamedTuple):
    """The limit that a response exceeded: the total time if overran, else the idle.

    idle states that no data arrived in the last interval.
    """

    overran: bool
    idle: bool


class Progress:
    """What the reader of a response does, and whether its upstream makes progress.

    awaiting is set while it waits for bytes, reading from the call for the next part of
    the body until it has that part. received counts bytes. The ticks count checks
    without bytes, and without progress.
    """

    def __init__(self) -> None:
        self.awaiting = False
        self.reading = False
        self.received = 0
        self.idle_ticks = 0
        self.stalled_ticks = 0
        self.watch: SilenceWatch | None = None
        self._silent = False

    def is_paused_since(self, received: int) -> bool:
        """Return whether the reader waits for its caller, and no byte has arrived.

        received is the number of bytes at the last check. A reader that awaits its turn
        among the tasks of this process is reading.
        """
        return not self.reading and self.received == received

    def begin_watch(self, watch: SilenceWatch | None) -> None:
        """Replace the watch; the time without progress begins anew."""
        self.watch = watch
        self.stalled_ticks = 0

    async def async_begin_silence(self) -> None:
        """Tell the watch that there is no progress."""
        self._silent = True
        if self.watch is not None:
            await self.watch.async_begin_silence()

    async def async_progress(self) -> None:
        """Record progress; raise IncompleteResponseError if that must be dropped."""
        self.stalled_ticks = 0
        if not self._silent:
            return
        self._silent = False
        if self.watch is not None:
            await self.watch.async_end_silence()

    def is_silence_due(self, interval: float) -> bool:
        """Return whether the watch is to be told, checking every interval seconds."""
        if self.watch is None:
            return False
        ticks = max(1, round(self.watch.seconds / interval))
        passed, early = divmod(self.stalled_ticks - 1, ticks)
        return passed > 0 and not early


async def async_expiry(progress: Progress, limits: ReadLimits) -> Expiry:
    """Wait until a response exceeds a limit; meanwhile, tell its watch of silences.

    It is checked READ_TIMEOUT_CHECKS times within the shortest time, so that an end of
    data is noticed one to two intervals late. The total is exact.
    """
    interval = _interval(progress, limits)
    most_ticks = round(limits.idle / interval)
    pause = limits.pause
    ends_at = None if limits.total is None else await curio.clock() + limits.total
    received = told_ticks = 0
    while progress.idle_ticks <= most_ticks:
        # While the caller reads nothing, neither is the upstream read.
        progress.idle_ticks = progress.idle_ticks + 1 if progress.awaiting else 0
        if not progress.is_paused_since(received):
            progress.stalled_ticks += 1
        received = progress.received
        seconds = interval
        if ends_at is not None:
            left = ends_at - await curio.clock()
            if left <= 0:
                return Expiry(overran=True, idle=progress.idle_ticks > 1)
            seconds = min(interval, left)
        await curio.sleep(seconds)
        if ends_at is not None and progress.is_paused_since(received):
            paused = min(seconds, pause)
            ends_at += paused
            pause -= paused
        if progress.stalled_ticks != told_ticks and progress.is_silence_due(interval):
            told_ticks = progress.stalled_ticks
            await progress.async_begin_silence()
    return Expiry(overran=False, idle=True)


def _interval(progress: Progress, limits: ReadLimits) -> float:
    """Return the seconds between two checks."""
    watch = progress.watch
    shortest = limits.idle if watch is None else min(limits.idle, watch.seconds)
    if limits.total is not None:
        shortest = min(shortest, limits.total, const.PAUSE_CHECK_SECONDS)
    return shortest / const.READ_TIMEOUT_CHECKS
