"""Errors of the control plane."""

from bitterntiller.core.errors import CodedError


class TimingsError(CodedError):
    """Raised for timings under which an owner's lease could outlast its replacement."""

    code = "timings"


class DocumentDepthError(CodedError):
    """Raised for a configuration that is nested too deeply."""

    code = "document-depth"
