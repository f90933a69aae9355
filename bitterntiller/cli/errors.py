"""Errors that end a command; each has its exit code."""

from bitterntiller.cli import const
from bitterntiller.core.errors import CodedError


class ToolError(CodedError):
    """Base of the errors that end a command."""

    code = "failed"
    exit_code = const.EXIT_REFUSED


class UsageError(ToolError):
    """Raised for arguments that can't be used."""

    code = "usage"
    exit_code = const.EXIT_USAGE


class UnreachableError(ToolError):
    """Raised when no operator port gave an answer that can be used."""

    code = "unreachable"
    exit_code = const.EXIT_UNREACHABLE


class UnauthorizedError(ToolError):
    """Raised when the operator key is wrong."""

    code = "unauthorized"
    exit_code = const.EXIT_UNAUTHORIZED
