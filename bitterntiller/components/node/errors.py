"""Errors of the node part."""

from bitterntiller.core.errors import CodedError


class ConfigGapError(CodedError):
    """Raised for changes that do not follow on the configuration in force."""

    code = "config-gap"
