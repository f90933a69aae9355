"""Errors of crash detection."""

from bitterntiller.core.errors import CodedError


class DamagedHistoryError(CodedError):
    """Raised for a history file that can't be read."""

    code = "damaged-crash-history"
