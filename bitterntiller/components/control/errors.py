"""Errors of the control plane."""

from bitterntiller.core.errors import CodedError


class TimingsError(CodedError):
    """Raised for timings under which an owner's lease could outlast its replacement."""

    code = "timings"
