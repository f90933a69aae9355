"""Errors of the dispatch role."""

from bitterntiller.core.errors import CodedError


class NotOwnerError(CodedError):
    """Raised for a message about a pool that this host does not own now."""

    code = "not-owner"
