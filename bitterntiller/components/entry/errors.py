"""Errors of the entry role."""

from bitterntiller.core.errors import BrokenInvariantError, CodedError


class StopOverError(CodedError):
    """Raised in a request that is still in progress at the end of the stop."""

    code = "stop-over"


class SentTwiceError(BrokenInvariantError):
    """Raised when a request would be sent again although it may have run."""

    code = "sent-twice"
