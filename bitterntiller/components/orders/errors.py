"""Errors of the orders part."""

from bitterntiller.core.errors import CodedError


class ForeignAnswerError(CodedError):
    """Raised for an answer that names another order."""

    code = "foreign-answer"
