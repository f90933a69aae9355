"""The error of a configuration that can't be put in force."""

from bitterntiller.core.errors import CodedError
from bitterntiller.core.problems import Problem


class ConfigError(CodedError):
    """Raised for a configuration with problems, each with its key path."""

    code = "config"

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
