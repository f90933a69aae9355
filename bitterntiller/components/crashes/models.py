"""Data types of the crash history; times in seconds."""

from typing import NamedTuple

from bitterntiller.components.crashes import const


class Crash(NamedTuple):
    """The end of one upstream's process while it ran a request.

    fingerprint identifies all copies of the request, or a part of its prompt; at is on
    this process's clock. workspace is a digest of the name of the request's workspace.
    ran is the time from the sending of the request to the end, None if it isn't known;
    of several requests at the process it is that of the one that was sent last.
    """

    fingerprint: int
    upstream: str
    incarnation: str
    at: float
    workspace: int = 0
    ran: float | None = None

    @property
    def sent_at(self) -> float:
        """Return when the request was sent, or when it ended if that isn't known."""
        return self.at - (self.ran or 0.0)

    def supersedes(self, known: "Crash") -> bool:
        """Return whether its request was sent later than that of a known equal crash.

        Of the requests at one process the last one says most: it was sent although the
        earlier crashes were known.
        """
        if self.ran is None:
            return False
        if known.ran is None:
            return True
        return self.sent_at > known.sent_at + const.TIME_TOLERANCE


class Clearing(NamedTuple):
    """A complete response or an operator's command, which voids all earlier crashes."""

    fingerprint: int
    at: float


class Block(NamedTuple):
    """An operator's order to keep a request or a part of prompts from upstreams.

    With a duration of 0 it ends an earlier one.
    """

    fingerprint: int
    at: float
    seconds: float

    @property
    def ends(self) -> float:
        """Return when it ends."""
        return self.at + self.seconds


class CrashUpdate(NamedTuple):
    """Crashes, clearings and blocks, as exchanged between hosts."""

    crashes: tuple[Crash, ...] = ()
    clearings: tuple[Clearing, ...] = ()
    blocks: tuple[Block, ...] = ()

    @property
    def empty(self) -> bool:
        """Return whether it has nothing."""
        return not any(self)

    @property
    def fingerprints(self) -> frozenset[int]:
        """Return the fingerprints of all that it has."""
        return frozenset(
            item.fingerprint for item in self.crashes + self.clearings + self.blocks
        )
