"""The error of a settings file that can't be used."""

from bitterntiller.core.errors import CodedError
from bitterntiller.core.problems import LocatedProblem


class SettingsError(CodedError):
    """Raised for a settings file with problems; each names file, line and key."""

    code = "settings"

    def __init__(self, problems: list[LocatedProblem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems
