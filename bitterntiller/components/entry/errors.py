"""Errors of the entry role."""

from bitterntiller.core.errors import BrokenInvariantError


class SentTwiceError(BrokenInvariantError):
    """Raised when a request would be sent again although it may have run."""

    code = "sent-twice"
