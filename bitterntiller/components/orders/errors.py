"""Errors of the orders part."""

from bitterntiller.core.errors import CodedError


class OrderMismatchError(CodedError):
    """Raised for an answer that names another order."""

    code = "foreign-answer"
