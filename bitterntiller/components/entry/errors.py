"""Errors of the entry role."""

from bitterntiller.core.errors import BrokenInvariantError


class SentTwiceError(BrokenInvariantError):
    """Raised when a request is about to be sent while it may have run."""

    code = "sent-twice"
