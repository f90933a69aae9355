"""Errors of the crashes part."""

from bitterntiller.core.errors import CodedError


class DamagedHistoryError(CodedError):
    """Raised for a file of the history that can't be read."""

    code = "damaged-crash-history"
