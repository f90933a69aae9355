"""Errors of settings files."""

from bitterntiller.core.errors import CodedError
from bitterntiller.core.problems import LocatedProblem


class SettingsError(CodedError):
    """Raised for an invalid settings file; each problem has its file, line and key."""

    code = "settings"

    def __init__(self, problems: list[LocatedProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
