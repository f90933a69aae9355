"""Errors of the control part."""

from bitterntiller.core.errors import CodedError


class TimingsError(CodedError):
    """Raised for timings under which a lease could outlive its replacement."""

    code = "timings"
