"""Errors of the node component."""

from bitterntiller.core.errors import CodedError


class ConfigGapError(CodedError):
    """Raised for changes that do not continue from the configuration in force."""

    code = "config-gap"


class DamagedConfigError(CodedError):
    """Raised for a loaded configuration whose bytes are not those of its copy."""

    code = "config-damaged"
