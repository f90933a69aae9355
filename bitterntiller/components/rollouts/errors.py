"""Errors of rollouts."""

from bitterntiller.core.errors import CodedError


class OrderError(CodedError):
    """Raised for an invalid order of a rollout."""

    code = "bad-rollout"
