"""Errors of configurations."""

from bitterntiller.core.errors import CodedError
from bitterntiller.core.problems import Problem


class ConfigError(CodedError):
    """Raised for an invalid configuration; each problem has its key path."""

    code = "config"

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
