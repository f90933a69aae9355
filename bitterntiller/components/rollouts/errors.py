"""Errors of the rollouts part."""

from bitterntiller.core.errors import CodedError


class OrderError(CodedError):
    """Raised for an order of a rollout that can't be carried out."""

    code = "bad-rollout"
