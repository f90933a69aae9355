"""Errors of the orders component."""

from bitterntiller.core.errors import CodedError


class OrderMismatchError(CodedError):
    """Raised for a response that names a different order."""

    code = "foreign-answer"
