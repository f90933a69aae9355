"""Errors that end a command, each with its exit code."""

from bitterntiller.cli import const
from bitterntiller.core.errors import CodedError


class ToolError(CodedError):
    """Base of the errors that end a command."""

    code = "failed"
    exit_code = const.EXIT_REFUSED


class UsageError(ToolError):
    """Raised for invalid arguments or input files."""

    code = "usage"
    exit_code = const.EXIT_USAGE


class UnreachableError(ToolError):
    """Raised when no operator port gave a usable response."""

    code = "unreachable"
    exit_code = const.EXIT_UNREACHABLE


class UnauthorizedError(ToolError):
    """Raised when an operator port rejects the operator key."""

    code = "unauthorized"
    exit_code = const.EXIT_UNAUTHORIZED
