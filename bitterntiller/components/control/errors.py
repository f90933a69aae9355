"""Errors of the control part."""

from bitterntiller.core.errors import BrokenInvariantError, CodedError


class DamagedLogError(BrokenInvariantError):
    """Raised for a log file that is damaged before its end."""

    code = "damaged-log"


class TimingsError(CodedError):
    """Raised for timings under which a lease could outlive its replacement."""

    code = "timings"


class NoBootstrapError(CodedError):
    """Raised when this host may not open a log of a single replica."""

    code = "no-bootstrap"
